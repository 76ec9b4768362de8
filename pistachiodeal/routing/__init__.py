"""Admission of interactive requests, and choice of the target for each."""
