"""The batch task queue: partitions, journals, placement and task leases."""
