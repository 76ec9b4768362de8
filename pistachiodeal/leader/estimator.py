"""What the leader expects of jobs: how long their tasks take, and how much work."""

from __future__ import annotations

from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.scheduling.durations import DurationModel

# A queue's usual job is that of about its last ten.
WORK_AVERAGE_WEIGHT = 0.1


class JobEstimator:
    """Learns from what was done, by queue."""

    def __init__(self) -> None:
        self._durations = DurationModel()
        self._average_work: dict[str, float] = {}

    @property
    def durations(self) -> DurationModel:
        """Return what is known of how long tasks take."""
        return self._durations

    def estimate_steps(self, record: JobRecord, steps: list[StepRecord]) -> None:
        """Work out how long the steps of an occurrence will take."""
        queue = record.job.queue.name
        for one in steps:
            if one.timed:
                one.expected_s = one.took_s / one.timed
            else:
                declared_s = one.step.estimate_s
                one.expected_s = self._durations.expect_s(queue, declared_s)
        record.take_expectations(steps)

    def note_took(self, record: JobRecord, task: Task, took_s: float) -> None:
        """Learn from a task that was done how long its like take."""
        step = record.find_step(task.name)
        step.note_took(took_s)
        self._durations.observe(
            record.job.queue.name, task.step.estimate_s, took_s, 1 / len(step.tasks)
        )

    def observe_work(self, record: JobRecord) -> None:
        """Learn from an accepted job how much work its queue's jobs are."""
        queue = record.job.queue.name
        average = self._average_work.get(queue, record.work)
        self._average_work[queue] = average + WORK_AVERAGE_WEIGHT * (
            record.work - average
        )

    def get_average_work(self, queue: str) -> float:
        """Return the core-seconds of a usual job of a queue."""
        return self._average_work.get(queue, 0.0)
