"""The agent: runs beside a worker and decides what that worker takes on."""
