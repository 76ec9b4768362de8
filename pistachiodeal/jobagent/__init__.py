"""The agent of the users' platform: one beside each runner, its only caller."""
