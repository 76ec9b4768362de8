"""Profiles: the document in the table, its changes, and what is in force here."""
