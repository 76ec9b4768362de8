"""Scenarios: stories of failures, played by the real programs."""
