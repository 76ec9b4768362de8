"""The leader: the one entry that knows all jobs and places their tasks.

A decision is durable before any process acts on it. Writes are fenced by an epoch,
which each successor increments; see ``docs/design/platform.md``.
"""
