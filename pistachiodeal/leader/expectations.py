"""What the leader expects of jobs: how long their tasks take, and how much work."""

from __future__ import annotations

from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.scheduling.durations import DurationModel

# A queue's usual job is that of about its last ten.
USUAL_WEIGHT = 0.1


class Expectations:
    """Learns from what was done, by queue."""

    def __init__(self) -> None:
        self._durations = DurationModel()
        self._usual_work: dict[str, float] = {}

    @property
    def durations(self) -> DurationModel:
        """Return what is known of how long tasks take."""
        return self._durations

    def expect(self, record: JobRecord, steps: list[StepRecord]) -> None:
        """Work out how long the steps of an occurrence will take."""
        queue = record.job.queue.name
        for one in steps:
            if one.timed_tasks:
                one.expected_s = one.total_time_s / one.timed_tasks
            else:
                declared_s = one.step.estimate_s
                one.expected_s = self._durations.expect_s(queue, declared_s)
        record.update_estimates(steps)

    def note_took(self, record: JobRecord, task: Task, took_s: float) -> None:
        """Learn from a task that was done how long its like take."""
        step = record.find_step(task.name)
        step.note_took(took_s)
        self._durations.observe(
            record.job.queue.name, task.step.estimate_s, took_s, 1 / len(step.tasks)
        )

    def note_work(self, record: JobRecord) -> None:
        """Learn from an accepted job how much work its queue's jobs are."""
        queue = record.job.queue.name
        usual = self._usual_work.get(queue, record.work)
        self._usual_work[queue] = usual + USUAL_WEIGHT * (record.work - usual)

    def get_usual_work(self, queue: str) -> float:
        """Return the core-seconds of a usual job of a queue."""
        return self._usual_work.get(queue, 0.0)
