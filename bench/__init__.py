"""Measures the decisions under load against simple ways of deciding."""
