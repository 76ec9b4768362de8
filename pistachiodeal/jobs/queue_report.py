"""The report on queues that ``GET /queues`` returns, as a JSON document.

A column that is None is not known: its feature is off, or the entry's version lacks it.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRow:
    """One queue.

    :param waiting_jobs: jobs none of whose tasks has been placed.
    :param active_jobs: all other open jobs with work to do now.
    :param work_ahead: core-seconds ordered before a new job.
    :param drain_rate: core-seconds completed per second.
    :param rejected: jobs rejected in the last minute, by reason.
    :param shares: served part of the demanded work, by size class.
    :param obstacle: what keeps most steps waiting.
    """

    queue: str
    waiting_jobs: int | None = None
    active_jobs: int | None = None
    running_tasks: int | None = None
    work_ahead: float | None = None
    drain_rate: float | None = None
    predicted_wait_s: float | None = None
    rejected: dict[str, int] | None = None
    shares: dict[str, float] | None = None
    obstacle: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowWorker:
    """A worker that is slower than the others.

    :param speed: relative to the usual speed.
    """

    place: str
    speed: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueReport:
    """What an entry knows of all queues.

    :param leads: whether the entry leads; another knows only the leader's summary.
    :param leader: peer address of the leader, empty if none is known.
    :param epoch: of the leader whose figures these are, 0 without any.
    :param age_s: age of the summary of the load, None without one.
    """

    leads: bool
    leader: str
    epoch: int
    age_s: float | None
    queues: list[QueueRow]
    slow_workers: list[SlowWorker] | None = None


def encode_report(report: QueueReport) -> bytes:
    """Return the body of an answer."""
    return orjson.dumps(report)
