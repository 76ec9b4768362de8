"""Analyses in the logs of entries and agents where jobs spend their time."""
