"""A scheduler for latency-critical and batch work on the same VMs."""

__version__ = "0.1.0"
