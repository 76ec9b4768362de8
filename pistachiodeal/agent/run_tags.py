"""What the worker keeps with each run, for an agent that finds it running."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

UNKNOWN_LEASE_S = 60.0  # for a run whose tag can't be read


@dataclass(frozen=True, slots=True)
class RunTag:
    """What the worker keeps with a run for the next agent.

    :param lease_s: length of its lease, seconds.
    :param min_run_s: how long it is left alone before an eviction, seconds.
    :param resume_key: object from which the next attempt goes on.
    """

    partition: int
    epoch: int
    lease_s: float = UNKNOWN_LEASE_S
    min_run_s: float = 0.0
    profile: str = ""
    evictions: int = 0
    resume_key: str = ""


def write_tag(tag: RunTag) -> str:
    """Return a tag as text."""
    return orjson.dumps(tag).decode()


def read_tag(text: str, task_id: str) -> RunTag:
    """Return what a tag says; the partition comes from the task's id if it is bad."""
    try:
        return RunTag(**orjson.loads(text))
    except (ValueError, TypeError):
        prefix = task_id.partition("-")[0]
        return RunTag(int(prefix) if prefix.isdecimal() else 0, 0)
