"""Decides where an interactive request goes, and whether it may go at all."""
