"""A randomized soak test: real programs as processes, with injected faults."""
