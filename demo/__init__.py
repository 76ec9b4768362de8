"""The whole system on one machine, with a failure: ``make demo``."""
