"""Profiles: the stored document, its changes, and the policies in force."""
