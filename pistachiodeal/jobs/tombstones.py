"""Marks the ids of jobs that were cancelled before their submission was stored.

The store may carry out a submission without an answer seconds later, on condition that
the job's row is absent. A tombstone takes the place of that row, so the submission has
no effect whenever it arrives, whichever entry sent it and whoever leads.
"""

from __future__ import annotations

TOMBSTONE_PREFIX = b'{"cancelled":'
TOMBSTONE_VALUE = TOMBSTONE_PREFIX + b"true}"
# An entry sends a submission no later than this after it has received it.
MAX_INSERT_S = 30.0
# Twice that: the store may carry out the last try seconds after it was sent.
TOMBSTONE_KEPT_S = 60.0


def is_tombstone(value: bytes) -> bool:
    """Tell whether a row of the jobs table is a tombstone."""
    return value.startswith(TOMBSTONE_PREFIX)
