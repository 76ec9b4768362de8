"""Unit tests."""
