"""Clients of the platform's table, object store and worker runtime."""
