"""Data classes shared by all packages: resources, tasks and policies."""
