"""Estimates how long tasks take and how much work the jobs of a queue are."""

from __future__ import annotations

from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.scheduling.durations import DurationModel

# Weight of the newest job in a queue's moving average: about its last ten jobs count.
WORK_AVERAGE_WEIGHT = 0.1


class JobEstimator:
    """Learns estimates by queue from completed tasks and accepted jobs."""

    def __init__(self) -> None:
        self._durations = DurationModel()
        self._average_work: dict[str, float] = {}

    @property
    def durations(self) -> DurationModel:
        """Return the model of task durations."""
        return self._durations

    def estimate_steps(self, record: JobRecord, steps: list[StepRecord]) -> None:
        """Set the expected task times of an occurrence's steps."""
        queue = record.job.queue.name
        for step in steps:
            if step.timed_tasks:
                step.expected_s = step.total_time_s / step.timed_tasks
            else:
                declared_s = step.step.estimate_s
                step.expected_s = self._durations.predict_s(queue, declared_s)
        record.update_estimates(steps)

    def observe_duration(self, record: JobRecord, task: Task, took_s: float) -> None:
        """Learn from a completed task how long similar tasks take."""
        step = record.find_step(task.name)
        step.record_duration(took_s)
        self._durations.observe(
            record.job.queue.name, task.step.estimate_s, took_s, 1 / len(step.tasks)
        )

    def observe_work(self, record: JobRecord) -> None:
        """Add an accepted job to the average work of its queue's jobs."""
        queue = record.job.queue.name
        average = self._average_work.get(queue, record.work)
        self._average_work[queue] = average + WORK_AVERAGE_WEIGHT * (
            record.work - average
        )

    def get_average_work(self, queue: str) -> float:
        """Return the average work of a queue's jobs, in core-seconds."""
        return self._average_work.get(queue, 0.0)
