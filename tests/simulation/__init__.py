"""Runs real entries against a store and a network in simulated time."""
