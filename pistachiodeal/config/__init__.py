"""Settings, declared as typed fields and validated at load."""
