"""Finds the runs of jobs that can't have any value any more."""

from __future__ import annotations

import time
from collections.abc import Iterator

from pistachiodeal.jobs.record import JobRecord, Task
from pistachiodeal.leader.deadlines import Deadline, find_deadline, measure_age_s
from pistachiodeal.leader.preemptor import QueueLookup
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.scheduling.ordering import compute_objective_s
from pistachiodeal.scheduling.yielding import ExpiredRun

# Computing the deadline of a job takes some 20 microseconds, and thousands may run.
DEADLINE_AGE_S = 0.5


class ExpiredRuns:
    """Lists expired runs by place.

    :param find_queue: returns the queue as defined by the newest configuration.
    """

    def __init__(self, registry: JobRegistry, find_queue: QueueLookup) -> None:
        self._registry = registry
        self._find_queue = find_queue
        self._deadlines: dict[tuple[str, int], Deadline] = {}
        self._forgotten_at = 0.0

    def forget_old(self, now: float) -> None:
        """Forget deadlines before they are out of date.

        :param now: seconds of the boot clock.
        """
        if now - self._forgotten_at >= DEADLINE_AGE_S:
            self._forgotten_at = now
            self._deadlines.clear()

    def iterate(self, place: str) -> Iterator[ExpiredRun]:
        """Return the listed runs of expired jobs at a place that aren't stopping."""
        for name, task in self._registry.get_runs(place).items():
            if task.stopping or not task.running or task.step.lasts:
                continue
            if not self.get_deadline(task).expired:
                continue
            record = self._registry.records[task.name.job_id]
            yield ExpiredRun(
                name,
                task.name.step_key,
                task.step,
                self._find_queue(record.job.queue).priority,
                task.percent,
                self._registry.get_expected_s(task),
            )

    def get_deadline(self, task: Task) -> Deadline:
        """Return the deadline of a task's job."""
        key = task.name.job_id, task.name.occurrence
        if key not in self._deadlines:
            record = self._registry.records[key[0]]
            self._deadlines[key] = self._find_deadline(record, key[1])
        return self._deadlines[key]

    def _find_deadline(self, record: JobRecord, occurrence: int) -> Deadline:
        steps = record.occurrences[occurrence]
        # Long-running steps have value as long as they run.
        if any(one.step.lasts for one in steps):
            return Deadline(0.0, 0.0, 0.0)
        queue, now = self._find_queue(record.job.queue), time.time()
        path_s = record.critical_path_s
        objective_s = compute_objective_s(path_s, queue.stretch, queue.aim_s)
        whole = Deadline(measure_age_s(record, occurrence, now), path_s, objective_s)
        if not whole.expired:
            return whole
        # Estimates are current only for steps that were ranked a moment ago.
        self._registry.estimator.estimate_steps(record, steps)
        return find_deadline(record, steps, queue, now)
