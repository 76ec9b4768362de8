"""The model of jobs, steps and tasks, their states and their stored rows."""
