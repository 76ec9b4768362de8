"""Plays ways of deciding on the same simulated days, and compares them in pairs."""
