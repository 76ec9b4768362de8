"""Slopes of processor time, memory, messages and rows, for docs/CAPACITY.md."""
