"""Runs the whole system on one machine and kills an agent: ``make demo``."""
