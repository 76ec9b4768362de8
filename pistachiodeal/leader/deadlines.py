"""Determines how much time the jobs of the leader have left."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.jobs.model import Queue, compute_critical_path_s
from pistachiodeal.jobs.record import JobRecord, StepRecord
from pistachiodeal.scheduling.ordering import LATE_FACTOR, compute_objective_s


@dataclass(frozen=True, slots=True)
class Deadline:
    """The time that an occurrence of a job has, in seconds.

    :param age_s: time since it was accepted or due.
    :param remaining_s: duration of its remaining critical path at full speed.
    :param objective_s: age at which it must be done to be in time.
    """

    age_s: float
    remaining_s: float
    objective_s: float

    @property
    def over_s(self) -> float:
        """Return by how much it will miss its objective; negative if it won't."""
        return self.age_s + self.remaining_s - self.objective_s

    @property
    def expired(self) -> bool:
        """Tell whether it can't have any value any more."""
        return self.age_s + self.remaining_s > LATE_FACTOR * self.objective_s


def measure_age_s(record: JobRecord, occurrence: int, time_of_day_s: float) -> float:
    """Return the time since an occurrence of a job was accepted or due, in seconds."""
    job = record.job
    due_s = job.accepted_s
    if job.repeats:
        due_s = job.first_run_s + occurrence * job.interval_s
    return max(0.0, time_of_day_s - due_s)


def is_late(record: JobRecord, time_of_day_s: float) -> bool:
    """Tell whether a job can't be in time, even if all its tasks begin now."""
    job = record.job
    if job.repeats:
        return False
    number, steps = next(iter(record.occurrences.items()))
    deadline = Deadline(
        measure_age_s(record, number, time_of_day_s),
        record.compute_remaining_s(steps),
        compute_objective_s(record.critical_path_s, job.queue.stretch, job.queue.aim_s),
    )
    return deadline.over_s > 0


def find_deadline(
    record: JobRecord, steps: list[StepRecord], queue: Queue, time_of_day_s: float
) -> Deadline:
    """Return the deadline of an occurrence by its progress.

    :param steps: of the occurrence, with current estimates.
    :param queue: as defined by the newest configuration.
    """
    return Deadline(
        measure_age_s(record, steps[0].occurrence, time_of_day_s),
        compute_critical_path_s(
            (one.step for one in steps), (_measure_left_s(one) for one in steps)
        ),
        compute_objective_s(record.critical_path_s, queue.stretch, queue.aim_s),
    )


def measure_done_work(steps: list[StepRecord]) -> float:
    """Return the core-seconds of the work that is done, also of running tasks."""
    total = 0.0
    for record in steps:
        percent = 100 * (len(record.tasks) - record.remaining)
        if record.remaining:
            percent += sum(
                task.percent for task in record.tasks if task.running and not task.done
            )
        total += record.step.size.cpu_milli / 1000 * record.expected_s * percent / 100
    return total


def _measure_left_s(record: StepRecord) -> float:
    """Return how long the step's least advanced task still takes, in seconds."""
    if record.done:
        return 0.0
    least = min(
        task.percent if task.running else 0 for task in record.tasks if not task.done
    )
    return record.expected_s * (100 - least) / 100
