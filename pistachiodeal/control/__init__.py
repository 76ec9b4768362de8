"""Throttles and evicts batch work to protect the latency of services beside it."""
