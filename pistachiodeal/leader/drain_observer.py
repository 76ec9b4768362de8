"""Observes how much work of open jobs is completed, by demand."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.record import JobRecord, StepRecord
from pistachiodeal.scheduling.drain_rate import DrainMeter, DrainRate


@dataclass(slots=True)
class _Progress:
    """What remains of a job: by step, the tasks and the seconds that they have done."""

    record: JobRecord
    demand: str
    begun: bool
    steps: list[tuple[StepRecord, int, float]]

    def compute_remaining(self) -> float:
        """Return the remaining core-seconds by the present estimates."""
        if not self.begun:
            return self.record.work
        total = 0.0
        for step, count, done_s in self.steps:
            left_s = count * step.expected_s - done_s
            if left_s > 0:
                total += step.step.size.cpu_milli / 1000 * left_s
        return total


class DrainObserver:
    """Compares the remaining work of each job with that at the last observation.

    Work is counted by the present estimate of a task's time, so a new estimate counts
    as no progress. Work that is lost with a run counts as negative.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _Progress] = {}
        self._meters: dict[str, DrainMeter] = {}
        self._waiting: set[str] = set()
        self._observed_at = 0.0

    def observe(
        self,
        jobs: Iterable[tuple[JobRecord, str]],
        waiting: set[str],
        now: float,
    ) -> dict[str, float]:
        """Update the rates; return the remaining core-seconds of each job.

        :param jobs: open jobs with their demands.
        :param waiting: demands of which jobs wait.
        """
        present = {record.job_id: _measure(record, demand) for record, demand in jobs}
        remaining = {
            job_id: progress.compute_remaining() for job_id, progress in present.items()
        }
        done: dict[str, float] = defaultdict(float)
        for job_id, before in self._jobs.items():
            left = remaining.get(job_id)
            if left is None and before.record.state is not JobState.COMPLETED:
                continue
            if before.begun or before.record.begun:
                done[before.demand] += before.compute_remaining() - (left or 0.0)
        for demand in waiting & self._waiting:
            meter = self._meters.setdefault(demand, DrainMeter())
            meter.add(now, now - self._observed_at, done[demand])
        self._jobs, self._waiting, self._observed_at = present, waiting, now
        return remaining

    def estimate(self, now: float) -> dict[str, DrainRate | None]:
        """Return the drain rates; forget demands without jobs."""
        open_demands = {progress.demand for progress in self._jobs.values()}
        for demand in self._meters.keys() - open_demands:
            del self._meters[demand]
        return {demand: meter.estimate(now) for demand, meter in self._meters.items()}


def _measure(record: JobRecord, demand: str) -> _Progress:
    if not record.begun:
        return _Progress(record, demand, False, [])
    steps = [
        (step, step.remaining, _sum_done_s(step))
        for step in record.occurrences.get(0, [])
        if step.remaining
    ]
    return _Progress(record, demand, True, steps)


def _sum_done_s(step: StepRecord) -> float:
    """Return the seconds of work that the step's remaining tasks have done."""
    expected_s = step.expected_s
    total_s = 0.0
    for task in step.tasks:
        if not task.done and (task.place or task.checkpoint):
            # A leader that has not seen the start of a run knows its share only.
            done_s = max(task.work_s, task.percent / 100 * expected_s)
            total_s += min(expected_s, done_s)
    return total_s
