"""Jobs of steps and tasks: what they are, their states and their rows."""
