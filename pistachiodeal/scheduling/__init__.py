"""Pure decision logic for queue order, placement and pacing; performs no I/O."""
