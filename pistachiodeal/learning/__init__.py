"""Models of interference, task sizes and worker health, from delayed measurements."""
