"""Tags that the worker stores with runs, read by an agent that adopts them."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

UNKNOWN_LEASE_S = 60.0  # assumed for a run whose tag is unreadable


@dataclass(frozen=True, slots=True)
class RunTag:
    """Data of a run that a restarted agent needs, stored by the worker.

    :param lease_s: length of its lease, seconds.
    :param min_run_s: time that it runs before it may be evicted, seconds.
    :param resume_key: key of the checkpoint from which the next attempt resumes.
    """

    partition: int
    epoch: int
    lease_s: float = UNKNOWN_LEASE_S
    min_run_s: float = 0.0
    profile: str = ""
    evictions: int = 0
    resume_key: str = ""


def write_tag(tag: RunTag) -> str:
    """Return a tag encoded as JSON."""
    return orjson.dumps(tag).decode()


def read_tag(text: str, task_id: str) -> RunTag:
    """Decode a tag; if it is unreadable, take the partition from the task's id."""
    try:
        return RunTag(**orjson.loads(text))
    except (ValueError, TypeError):
        prefix = task_id.partition("-")[0]
        return RunTag(int(prefix) if prefix.isdecimal() else 0, 0)
