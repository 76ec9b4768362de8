"""The leader: one entry that knows all jobs and places their tasks.

What it decides is durable before anybody acts on it, under an epoch that a successor
raises; see ``docs/design/platform.md``.
"""
