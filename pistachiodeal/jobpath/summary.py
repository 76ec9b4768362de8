"""Summarises how long jobs spend in each part, by queue."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from pistachiodeal.jobpath.paces import PaceTimeline
from pistachiodeal.jobpath.parts import measure_parts
from pistachiodeal.jobpath.traces import JobTrace, Tracer


@dataclass(frozen=True, slots=True)
class PartSummary:
    """The times of one part, over all jobs of a queue.

    :param late_share: share of this part in the total time of late jobs.
    """

    part: str
    median_ms: int
    p95_ms: int
    p99_ms: int
    late_share: float


@dataclass(frozen=True, slots=True)
class QueueSummary:
    """The ended jobs of one queue.

    :param late: how many jobs failed or took longer than their objective.
    :param parts: ordered by their share in the time of late jobs, the largest first.
    """

    queue: str
    ended: int
    late: int
    parts: tuple[PartSummary, ...]


def summarise(tracer: Tracer) -> list[QueueSummary]:
    """Return a summary of each queue that has ended jobs."""
    by_queue: dict[str, list[JobTrace]] = defaultdict(list)
    for job in tracer.jobs.values():
        if job.state:
            by_queue[job.queue].append(job)
    return [
        _summarise_queue(queue, jobs, tracer.paces)
        for queue, jobs in sorted(by_queue.items())
    ]


def pick_percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that a share of the values doesn't exceed, or 0.0."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _summarise_queue(
    queue: str, jobs: list[JobTrace], paces: PaceTimeline
) -> QueueSummary:
    job_parts = [measure_parts(job, paces) for job in jobs]
    late: dict[str, float] = defaultdict(float)
    for job, times in zip(jobs, job_parts, strict=True):
        for part, seconds in times.items():
            late[part] += seconds if job.late else 0.0
    total_late_s = sum(late.values())
    parts = [
        PartSummary(
            part,
            *_measure([times.get(part, 0.0) for times in job_parts]),
            late[part] / total_late_s if total_late_s else 0.0,
        )
        for part in {part for times in job_parts for part in times}
    ]
    parts.sort(key=lambda one: (-one.late_share, -one.median_ms, one.part))
    return QueueSummary(queue, len(jobs), sum(job.late for job in jobs), tuple(parts))


def _measure(seconds: list[float]) -> tuple[int, int, int]:
    """Return median, 95th and 99th percentile, milliseconds."""
    median, p95, p99 = (
        round(pick_percentile(seconds, share) * 1000) for share in (0.5, 0.95, 0.99)
    )
    return median, p95, p99
