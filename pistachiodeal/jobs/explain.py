"""Explains what a job waits for, from its stored rows alone."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.jobs.record import JobRecord, StepRecord, Task


@dataclass(frozen=True, slots=True)
class StepReport:
    """The progress of one step of a job.

    :param name: occurrence and number of the step.
    :param why: what the step's tasks wait for, empty for a step that is done.
    """

    name: str
    tasks: int
    done: int
    placed: int
    failures: int
    why: str


def explain_job(record: JobRecord, *, cancelled: bool, leader: str) -> str:
    """Return in one sentence why a job is not done, empty for a final job.

    :param leader: node of the leader, empty while there is none.
    """
    if record.state.final:
        return ""
    if cancelled:
        return "its cancellation is accepted; its tasks are being stopped"
    if not leader:
        return "nobody leads; it goes on once an entry has taken the lead"
    if not record.occurrences:
        return "no occurrence is due yet"
    open_steps = [
        step for steps in record.occurrences.values() for step in steps if not step.done
    ]
    if any(task.place for step in open_steps for task in step.tasks):
        return "its tasks are at work, or on their way to a worker"
    return "its tasks wait for a worker; the leader logs step.waits with the reasons"


def report_steps(record: JobRecord) -> list[StepReport]:
    """Return the progress of each step of the open occurrences."""
    return [
        _report(step, steps)
        for _, steps in sorted(record.occurrences.items())
        for step in steps
    ]


def _report(step: StepRecord, steps: list[StepRecord]) -> StepReport:
    placed = [task for task in step.tasks if task.place]
    return StepReport(
        f"{step.occurrence}.{step.number}",
        len(step.tasks),
        len(step.tasks) - step.remaining,
        len(placed),
        sum(task.failures for task in step.tasks),
        _explain_step(step, steps, placed),
    )


def _explain_step(step: StepRecord, steps: list[StepRecord], placed: list[Task]) -> str:
    if step.done:
        return ""
    earlier = [number for number in step.step.after if not steps[number].done]
    if earlier:
        return "after step " + ", ".join(str(number) for number in earlier)
    if placed:
        return "at " + ", ".join(sorted({task.place for task in placed}))
    if any(task.crashes for task in step.tasks):
        return "waits for a worker; workers have ended under its tasks"
    return "waits for a worker"
