"""How long each part of a job's way takes, by queue."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from pistachiodeal.jobpath.paces import PaceTimeline
from pistachiodeal.jobpath.parts import split_path
from pistachiodeal.jobpath.traces import JobTrace, Tracer


@dataclass(frozen=True, slots=True)
class PartSummary:
    """One part of the way, over all jobs of a queue.

    :param late_share: of the time that late jobs took, what went into this part.
    """

    part: str
    median_ms: int
    p95_ms: int
    p99_ms: int
    late_share: float


@dataclass(frozen=True, slots=True)
class QueueSummary:
    """The jobs of one queue that have ended.

    :param late: how many failed or took longer than their objective.
    :param parts: the part that took most of the time of late jobs first.
    """

    queue: str
    ended: int
    late: int
    parts: tuple[PartSummary, ...]


def summarise(tracer: Tracer) -> list[QueueSummary]:
    """Return a summary of each queue that has jobs which ended."""
    by_queue: dict[str, list[JobTrace]] = defaultdict(list)
    for job in tracer.jobs.values():
        if job.state:
            by_queue[job.queue].append(job)
    return [
        _summarise_queue(queue, those, tracer.paces)
        for queue, those in sorted(by_queue.items())
    ]


def pick_percentile(values: Sequence[float], share: float) -> float:
    """Return the value that a share of the values is not above; 0.0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _summarise_queue(
    queue: str, jobs: list[JobTrace], paces: PaceTimeline
) -> QueueSummary:
    paths = [split_path(job, paces) for job in jobs]
    late: dict[str, float] = defaultdict(float)
    for job, path in zip(jobs, paths, strict=True):
        for part, seconds in path.items():
            late[part] += seconds if job.late else 0.0
    whole = sum(late.values())
    parts = [
        PartSummary(
            part,
            *_measure([path.get(part, 0.0) for path in paths]),
            late[part] / whole if whole else 0.0,
        )
        for part in {part for path in paths for part in path}
    ]
    parts.sort(key=lambda one: (-one.late_share, -one.median_ms, one.part))
    return QueueSummary(queue, len(jobs), sum(job.late for job in jobs), tuple(parts))


def _measure(seconds: list[float]) -> tuple[int, int, int]:
    """Return median, 95th and 99th percentile in ms."""
    median, p95, p99 = (
        round(pick_percentile(seconds, share) * 1000) for share in (0.5, 0.95, 0.99)
    )
    return median, p95, p99
