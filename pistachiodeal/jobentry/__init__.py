"""The entry of the users' platform: callers' jobs, and the leader's seat."""
