"""Keeps account of the work of all jobs, by queue and size."""

from __future__ import annotations

import time
from dataclasses import dataclass

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import JobState, Queue
from pistachiodeal.jobs.record import JobRecord, StepRecord
from pistachiodeal.leader.deadlines import find_deadline, measure_done_work
from pistachiodeal.leader.preemptor import QueueLookup
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.scheduling.fair_share import ClassShare, ShareBook, SizeClass

# Agents list their runs every 0.4 s.
UPDATE_INTERVAL_S = 0.5
# A job takes some 15 microseconds; a planning round may last 30 ms.
JOBS_PER_ROUND = 300

OccurrenceKey = tuple[str, int]
"""A job and the number of its occurrence."""


@dataclass(slots=True)
class _Tracked:
    """What has been recorded of one occurrence of a job, in core-seconds.

    :param demanded: work that should be done by now.
    :param served: work that was done; work that is repeated counts once.
    """

    record: JobRecord
    steps: list[StepRecord]
    queue: Queue
    size_class: SizeClass
    demanded: float
    served: float


class ShareKeeper:
    """Keeps the shares of all classes up to date, for the rank of waiting steps.

    A job demands its work evenly over the time of its objective: the demand of a large
    job would otherwise seem unserved from the moment of its acceptance.

    A new leader begins without sums, so it ranks as without shares for some seconds.

    :param find_queue: returns the queue as defined by the newest configuration.
    """

    def __init__(
        self, registry: JobRegistry, find_queue: QueueLookup, events: EventLog
    ) -> None:
        self._registry = registry
        self._find_queue = find_queue
        self._events = events
        self._book = ShareBook()
        self._tracked: dict[OccurrenceKey, _Tracked] = {}
        self._underserved: frozenset[tuple[str, SizeClass]] = frozenset()
        self._remaining: list[JobRecord] = []
        self._seen: set[OccurrenceKey] = set()
        self._began_at = 0.0

    @property
    def book(self) -> ShareBook:
        """Return the demand and served work of all classes."""
        return self._book

    def is_underserved(self, step: StepRecord) -> bool:
        """Tell whether jobs of a step's queue and size get less than their share."""
        if not self._underserved:
            return False
        tracked = self._tracked.get(step.key[:2])
        if tracked is None:
            return False
        return (tracked.queue.name, tracked.size_class) in self._underserved

    def update(self, now: float) -> None:
        """Record the progress of some jobs; new shares are in use after all of them.

        :param now: seconds of the boot clock.
        """
        if not self._remaining:
            if now - self._began_at < UPDATE_INTERVAL_S:
                return
            self._began_at = now
            self._seen = set()
            self._remaining = list(self._registry.open_records.values())
        time_of_day_s = time.time()
        some = self._remaining[-JOBS_PER_ROUND:]
        del self._remaining[-JOBS_PER_ROUND:]
        for record in some:
            for steps in record.occurrences.values():
                if not any(one.step.lasts for one in steps):
                    self._update_one(record, steps, now, time_of_day_s)
        if not self._remaining:
            for key in self._tracked.keys() - self._seen:
                self._close(self._tracked.pop(key), now)
            self._publish(self._book.list_shares(now))

    def _update_one(
        self,
        record: JobRecord,
        steps: list[StepRecord],
        now: float,
        time_of_day_s: float,
    ) -> None:
        queue = self._find_queue(record.job.queue)
        if not record.work:
            # It was read from its rows, and none of its steps has been ranked yet.
            self._registry.estimator.estimate_steps(record, steps)
        deadline = find_deadline(record, steps, queue, time_of_day_s)
        due = min(1.0, deadline.age_s / max(deadline.objective_s, 0.001))
        demanded, served = record.work * due, measure_done_work(steps)
        key = record.job_id, steps[0].occurrence
        self._seen.add(key)
        tracked = self._tracked.get(key)
        if tracked is None:
            group = queue.service, queue.priority
            self._book.record_job(queue.name, record.work, group)
            size_class = self._book.classify(queue.name, record.work)
            self._tracked[key] = _Tracked(
                record, steps, queue, size_class, demanded, served
            )
            return
        self._record(tracked, demanded, served, now)
        if _is_late_by_waiting(record, deadline.over_s, now):
            self._book.record_overload((queue.service, queue.priority), now)

    def _record(
        self, tracked: _Tracked, demanded: float, served: float, now: float
    ) -> None:
        queue, size_class = tracked.queue.name, tracked.size_class
        if demanded > tracked.demanded:
            core_s = demanded - tracked.demanded
            self._book.record_demand(queue, size_class, core_s, now)
            self._events.stats.count(f"work_demanded_ms_{queue}", int(core_s * 1000))
            tracked.demanded = demanded
        if served > tracked.served:
            core_s = served - tracked.served
            self._book.record_work(queue, size_class, core_s, now)
            self._events.stats.count(f"work_served_ms_{queue}", int(core_s * 1000))
            tracked.served = served

    def _close(self, tracked: _Tracked, now: float) -> None:
        """Record the rest of an occurrence that has ended.

        What a cancelled or failed job has not received is no demand any more.
        """
        record = tracked.record
        if record.state in (JobState.CANCELLED, JobState.FAILED):
            return
        work = sum(one.total_work for one in tracked.steps)
        self._record(tracked, work, work, now)

    def _publish(self, shares: list[ClassShare]) -> None:
        """Use new shares, and log the classes for which that makes a difference."""
        rows = {(row.queue, row.size_class): row for row in shares}
        underserved = frozenset(key for key, row in rows.items() if row.underserved)
        for key in sorted(underserved ^ self._underserved):
            row = rows.get(key)
            self._events.emit(
                "share.underserved",
                queue=key[0],
                size=key[1].value,
                underserved=key in underserved,
                share=round(row.share, 2) if row else None,
                best=round(row.best, 2) if row else None,
                demand_core_s=round(row.demand, 1) if row else 0.0,
                known_ms=int(row.age_s * 1000) if row else None,
            )
        self._underserved = underserved


def _is_late_by_waiting(record: JobRecord, over_s: float, now: float) -> bool:
    """Tell whether a job has become late just now, and only because a step waits.

    :param over_s: by how much the job will miss its objective.
    """
    if not 0 < over_s <= 2 * UPDATE_INTERVAL_S:
        return False
    return any(
        task.waits and now - task.ready_at >= over_s
        for step in record.list_ready()
        for task in step.tasks
    )
