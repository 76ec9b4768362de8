"""Failure scenarios, which run the real programs."""
