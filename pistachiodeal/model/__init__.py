"""Data classes shared by all parts: resources, tasks and policies."""
