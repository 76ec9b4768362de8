"""Builds preemption candidates from running tasks."""

from __future__ import annotations

from pistachiodeal.jobs.record import Task
from pistachiodeal.scheduling.preemption import Victim
from pistachiodeal.scheduling.views import get_reserved_size


def build_victim(task: Task, priority: int, now: float, move_s: float) -> Victim:
    """Return a candidate with the cost and freed room of stopping a task's run.

    :param priority: priority of the task's queue.
    :param now: seconds of the boot clock.
    :param move_s: for how long a moved task is not running, in seconds.
    """
    return Victim(
        str(task.name),
        task.place,
        priority,
        task.step.checkpoints,
        now - task.began_at,
        move_s,
        get_reserved_size(task.step),
    )
