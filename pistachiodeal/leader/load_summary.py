"""Computes the leader's summary of the backlog, by which entries accept jobs."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Job, Queue
from pistachiodeal.jobs.record import JobRecord
from pistachiodeal.leader.drain_observer import DrainObserver
from pistachiodeal.leader.load_messages import decode_rejection
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.rejection_counts import RejectionCounts
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.admission import MIN_WAIT_S, LoadSummary
from pistachiodeal.scheduling.backlog import (
    NewJob,
    OpenJob,
    describe_new_job,
    summarize_backlog,
)
from pistachiodeal.scheduling.ordering import (
    LATE_FACTOR,
    WaitingStep,
    compute_objective_s,
    rank_step,
)
from pistachiodeal.scheduling.returning_callers import ReturningCallers
from pistachiodeal.scheduling.views import get_reserved_size
from pistachiodeal.wire.job_messages import JobNotice

# The reason of all rejections of which entries notify the leader.
OVERLOADED = "overloaded"
MIN_INTERVAL_S = 0.25
# Longer intervals would make entries' copies too old for a decision.
MAX_INTERVAL_S = 0.8
# The pause after a summary is this many times as long as it took: 5% of the core.
REST_FACTOR = 19.0


class LoadSummarizer:
    """Keeps the newest summary of the backlog and the rejected jobs.

    :param find_queue: returns the queue as defined by the newest configuration.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        find_queue: Callable[[Queue], Queue],
        epoch: int,
        events: EventLog,
    ) -> None:
        self._registry = registry
        self._fleet = fleet
        self._find_queue = find_queue
        self._epoch = epoch
        self._events = events
        self._drains = DrainObserver()
        self._returning = ReturningCallers()
        self._rejections = RejectionCounts()
        self._finite: dict[str, NewJob | None] = {}
        self._current: LoadSummary | None = None

    @property
    def current(self) -> LoadSummary | None:
        """Return the newest summary, None before the first."""
        return self._current

    @property
    def rejections(self) -> RejectionCounts:
        """Return the rejections of which entries have notified this leader."""
        return self._rejections

    def record(self, notice: JobNotice, now: float) -> None:
        """Keep a job that an entry has rejected, or whose insert got no answer."""
        job = decode_rejection(notice)
        if job is None:
            self._events.emit("notice.unreadable", key=notice.key)
        elif notice.uncertain:
            self._returning.record_uncertain(notice.key, now)
        else:
            self._rejections.record(job.queue, OVERLOADED, now)
            retry_after_s = notice.retry_ms / 1000
            self._returning.record_rejection(notice.key, job, now, retry_after_s)

    async def run(self) -> None:
        """Compute summaries without end."""
        while True:
            began_at = time.thread_time()
            self.refresh(read_boot_clock(), time.time())
            took_s = time.thread_time() - began_at
            self._events.stats.time("load_summary", took_s)
            pause_s = max(MIN_INTERVAL_S, REST_FACTOR * took_s)
            await curio.sleep(min(MAX_INTERVAL_S, pause_s))

    def refresh(self, now: float, time_of_day_s: float) -> LoadSummary:
        """Compute a summary.

        :param now: seconds of the boot clock.
        """
        records = self._list_finite()
        waiting = {
            job.demand
            for record, job in records
            if not record.begun and time_of_day_s - record.job.accepted_s >= MIN_WAIT_S
        }
        demands = [(record, job.demand) for record, job in records]
        remaining = self._drains.observe(demands, waiting, now)
        names = {record.job.queue.name for record, _ in records}
        estimator = self._registry.estimator
        usual_work = {name: estimator.get_average_work(name) for name in names}
        jobs = [
            self._describe(
                record,
                job,
                remaining[record.job_id],
                usual_work[record.job.queue.name],
                time_of_day_s,
            )
            for record, job in records
        ]
        rows = summarize_backlog(jobs, self._drains.estimate(now))
        loads = {(row.queue, row.demand): row for row in rows}
        self._returning.forget(self._registry.records, now)
        self._returning.forget(self._registry.tombstones, now)
        invited, loads = self._returning.invite(loads, now)
        self._current = LoadSummary(self._epoch, now, loads, frozenset(invited))
        return self._current

    def _list_finite(self) -> list[tuple[JobRecord, NewJob]]:
        """Return the open jobs that end by themselves.

        Jobs that are too large for any worker are left out: no other job waits for
        them, and while only they wait, the drain rate shows the load.
        """
        finite: dict[str, NewJob | None] = {}
        largest = self._find_largest()
        records = []
        for job_id, record in self._registry.open_records.items():
            if job_id in self._finite:
                job = self._finite[job_id]
            else:
                job = _describe_finite(record.job)
            finite[job_id] = job
            steps = record.occurrences.get(0)
            if job is None or steps is None:
                continue
            service = self._find_queue(record.job.queue).service
            whole = largest.get(service, Resources())
            if not record.begun and not _fits(record.job, whole):
                continue
            if not record.work:
                self._registry.estimator.estimate_steps(record, steps)
            records.append((record, job))
        self._finite = finite
        return records

    def _find_largest(self) -> dict[str, Resources]:
        """Return the most of each resource that a worker of a service has."""
        largest: dict[str, Resources] = {}
        for worker in self._fleet.workers.values():
            known = largest.get(worker.service, worker.capacity)
            largest[worker.service] = known.elementwise_max(worker.capacity)
        return largest

    def _describe(
        self,
        record: JobRecord,
        job: NewJob,
        work: float,
        usual_work: float,
        time_of_day_s: float,
    ) -> OpenJob:
        queue = self._find_queue(record.job.queue)
        path_s = remaining_s = record.critical_path_s
        unfinished = record.work
        if record.begun:
            steps = record.occurrences[0]
            remaining_s = record.compute_remaining_s(steps)
            unfinished = sum(step.remaining_work for step in steps)
        objective_s = compute_objective_s(path_s, queue.stretch, queue.aim_s)
        age_s = max(0.0, time_of_day_s - record.job.accepted_s)
        rank = rank_step(
            WaitingStep(
                queue.priority,
                False,
                age_s,
                remaining_s,
                objective_s,
                unfinished,
                record.work,
                usual_work,
            )
        )
        return OpenJob(
            queue.name,
            job.demand,
            rank,
            LATE_FACTOR * objective_s - age_s - remaining_s,
            objective_s - path_s,
            path_s,
            work,
            job.work,
            -1.0 if record.begun else age_s,
        )


def _fits(job: Job, whole: Resources) -> bool:
    """Tell whether any first step of a job has tasks that fit on a whole worker."""
    return any(
        get_reserved_size(step).fits(whole) for step in job.steps if not step.after
    )


def _describe_finite(job: Job) -> NewJob | None:
    """Return what the backlog needs of a job, None if it doesn't end by itself."""
    if job.repeats or any(step.lasts for step in job.steps):
        return None
    return describe_new_job(job)
