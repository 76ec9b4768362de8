"""The batch queue: partitions, their journals, placement and task leases."""
