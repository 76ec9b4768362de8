"""Sums up the work that is ordered before a new job of each queue.

Load pattern: far more work is accepted than can be completed while it still has value.

A new job overtakes the jobs that are late already, see
:mod:`pistachiodeal.scheduling.ordering`. If it can be in time behind the timely jobs
before it, it waits for these only. Otherwise it becomes late itself, and all jobs that
are not expired go before it. So two sums of work are kept, for each share of a job's
work that remains. Jobs that need different workers don't wait for each other; the sums
are by demand.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import accumulate

from pistachiodeal.jobs.model import Job, compute_critical_path_s
from pistachiodeal.scheduling.drain_rate import DrainRate
from pistachiodeal.scheduling.ordering import (
    LATE_FACTOR,
    WORK_VALUE_SHARE,
    DeadlineStatus,
    Rank,
)

# Remaining shares for which the work ahead is summed up. Most new jobs have a share
# between 0.8 and 1.2; a job counts with the next lower level.
SHARE_LEVELS = (0.0, 0.3, 0.6, 0.8, 0.9, 1.0, 1.2)
MAX_QUEUES = 32


@dataclass(slots=True)
class OpenJob:
    """An accepted job that is not final.

    :param demand: see :func:`describe_demand`.
    :param late_slack_s: time that it can lose before it is worth nothing.
    :param own_slack_s: time that it could lose and be in time when it was new.
    :param path_s: its whole critical path.
    :param work: remaining core-seconds.
    :param declared_work: core-seconds of the whole job by its declared times.
    :param wait_s: its age if none of its tasks has begun, otherwise -1.
    """

    queue: str
    demand: str
    rank: Rank
    late_slack_s: float
    own_slack_s: float
    path_s: float
    work: float
    declared_work: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class NewJob:
    """A submitted job, with what decides whether it can be completed in time.

    :param work: core-seconds of all its tasks by their declared times.
    :param path_s: its critical path by declared times.
    :param stretch: of its queue, see :func:`compute_objective_s`.
    :param aim_s: of its queue.
    """

    queue: str
    demand: str
    work: float
    path_s: float
    stretch: float
    aim_s: float


@dataclass(frozen=True, slots=True)
class LoadLevel:
    """Core-seconds ordered before a new job with a certain share.

    :param timely: before it while it can be in time.
    :param waiting: before it once it is late.
    """

    timely: float
    waiting: float


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The work ahead of new jobs of one queue with one demand.

    :param waiting_jobs: jobs of this queue that have not begun.
    :param drain: core-seconds completed per second; 0 if not known.
    :param drain_high: upper bound of that rate.
    :param oldest_wait_s: age of the oldest job that has not begun.
    :param usual_path_s: mean critical path of the queue's jobs.
    :param usual_work: mean work of the queue's jobs by declared times, to which that of
        a new job is compared.
    :param returning_work: work of rejected jobs that wait to return.
    :param levels: by :data:`SHARE_LEVELS`.
    """

    queue: str
    demand: str
    waiting_jobs: int
    drain: float
    drain_high: float
    oldest_wait_s: float
    usual_path_s: float
    usual_work: float
    returning_work: float
    levels: tuple[LoadLevel, ...]

    @property
    def waiting_work(self) -> float:
        """Return the most work that a new job may wait for."""
        return self.levels[-1].waiting

    def find_level(self, work: float) -> int:
        """Return the index of the level that a new job with some work has."""
        value = WORK_VALUE_SHARE * work + (1 - WORK_VALUE_SHARE) * self.usual_work
        share = round(work / value, 1) if value > 0 else 0.0
        return bisect_right(SHARE_LEVELS, share) - 1


@dataclass(frozen=True, slots=True)
class Prediction:
    """When a new job would end, by the most favourable assumptions.

    :param completion_s: predicted age at its end.
    :param limit_s: age from which on it is worth nothing.
    :param ahead: core-seconds that it waits for.
    :param path_s: critical path that was assumed.
    """

    completion_s: float
    limit_s: float
    ahead: float
    path_s: float


def describe_demand(job: Job) -> str:
    """Return a text that is equal for jobs that compete for the same workers."""
    steps = job.steps
    fills = any(step.fills for step in steps)
    accelerated = any(step.size.accelerators for step in steps)
    labels = ",".join(sorted({step.label for step in steps if step.label}))
    return f"{job.queue.service}/{fills:d}{accelerated:d}/{labels}"


def describe_new_job(job: Job) -> NewJob:
    """Return what decides on a job."""
    steps = job.steps
    return NewJob(
        job.queue.name,
        describe_demand(job),
        sum(
            step.count * step.size.cpu_milli / 1000 * step.estimate_s for step in steps
        ),
        compute_critical_path_s(steps, (step.estimate_s for step in steps)),
        job.queue.stretch,
        job.queue.aim_s,
    )


def predict_completion_s(load: QueueLoad, job: NewJob) -> Prediction:
    """Predict the end of a new job, assuming the highest likely drain rate.

    Declared times may be far too short. A longer critical path allows a later end, so
    the longer of the declared and the usual one is assumed.
    """
    path_s = max(job.path_s, load.usual_path_s)
    objective_s = job.stretch * path_s + job.aim_s
    level = load.levels[load.find_level(job.work)]
    ahead = level.timely
    if ahead / load.drain_high + path_s > objective_s:
        ahead = level.waiting
    return Prediction(
        ahead / load.drain_high + path_s, LATE_FACTOR * objective_s, ahead, path_s
    )


def summarize_backlog(
    jobs: Iterable[OpenJob],
    rates: Mapping[str, DrainRate | None],
) -> list[QueueLoad]:
    """Return the loads of the queues with waiting jobs, the highest first.

    :param rates: drain rates by demand.
    """
    by_demand: dict[str, list[OpenJob]] = defaultdict(list)
    for job in jobs:
        if job.rank.status is not DeadlineStatus.EXPIRED:
            by_demand[job.demand].append(job)
    loads = []
    for demand, members in by_demand.items():
        loads += _summarize_demand(members, rates.get(demand))
    loads.sort(key=lambda load: load.waiting_work, reverse=True)
    return loads[:MAX_QUEUES]


class _OrderedWork:
    """Sums of work by priority, share and slack."""

    def __init__(self, entries: Iterable[tuple[Rank, float, float]]) -> None:
        grouped: dict[tuple[int, float], list[tuple[float, float]]] = defaultdict(list)
        for rank, slack_s, work in entries:
            grouped[rank.priority, rank.remaining_share].append((slack_s, work))
        self._groups = {}
        for key, group in grouped.items():
            group.sort()
            slacks = [slack_s for slack_s, _ in group]
            sums = [0.0, *accumulate(work for _, work in group)]
            self._groups[key] = slacks, sums

    def sum_before(self, priority: int, share: float, slack_s: float) -> float:
        """Return the work that is ordered before a job with the given rank."""
        total = 0.0
        for key, (slacks, sums) in self._groups.items():
            if key < (priority, share):
                total += sums[-1]
            elif key == (priority, share):
                total += sums[bisect_right(slacks, slack_s)]
        return total


def _summarize_demand(jobs: list[OpenJob], rate: DrainRate | None) -> list[QueueLoad]:
    timely = _OrderedWork(
        (job.rank, job.rank.slack_s, job.work)
        for job in jobs
        if job.rank.status is DeadlineStatus.IN_TIME
    )
    waiting = _OrderedWork((job.rank, job.late_slack_s, job.work) for job in jobs)
    by_queue: dict[str, list[OpenJob]] = defaultdict(list)
    for job in jobs:
        by_queue[job.queue].append(job)
    loads = []
    for queue, members in by_queue.items():
        waits = [job.wait_s for job in members if job.wait_s >= 0]
        if not waits:
            continue
        priority = members[0].rank.priority
        slack_s = sum(job.own_slack_s for job in members) / len(members)
        path_s = sum(job.path_s for job in members) / len(members)
        late_slack_s = LATE_FACTOR * (slack_s + path_s) - path_s
        levels = tuple(
            LoadLevel(
                timely.sum_before(priority, share, slack_s),
                waiting.sum_before(priority, share, late_slack_s),
            )
            for share in SHARE_LEVELS
        )
        loads.append(
            QueueLoad(
                queue,
                members[0].demand,
                len(waits),
                rate.mean if rate else 0.0,
                rate.high if rate else 0.0,
                max(waits),
                path_s,
                sum(job.declared_work for job in members) / len(members),
                0.0,
                levels,
            )
        )
    return loads
