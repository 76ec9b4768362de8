"""A run as one that could be stopped."""

from __future__ import annotations

from pistachiodeal.jobs.record import Task
from pistachiodeal.scheduling.preemption import Victim
from pistachiodeal.scheduling.views import get_reserved_size


def build_victim(task: Task, priority: int, now: float, move_s: float) -> Victim:
    """Return what stopping a task's run would cost, and set free.

    :param priority: of its queue.
    :param now: seconds of the boot clock.
    :param move_s: for how long a task is not at work when it is moved.
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
