"""Measures how CPU time, memory, messages and rows grow with the size of a system.

The slopes are the input of docs/CAPACITY.md.
"""
