"""Decisions about waiting, placement and pacing, without input or output."""
