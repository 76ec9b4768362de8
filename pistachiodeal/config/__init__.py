"""Settings: declared once as typed fields, checked at load."""
