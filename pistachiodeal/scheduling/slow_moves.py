"""Decides which runs move away from a slow worker.

Load pattern: a worker becomes several times slower while tasks run there.
"""

from __future__ import annotations

from collections.abc import Iterable

from pistachiodeal.jobs.model import Step
from pistachiodeal.jobs.record import Task

# What a runner lists of a long-running task that serves.
SERVING_PERCENT = 100


def compute_gain_s(task: Task, expected_s: float, speed: float, move_s: float) -> float:
    """Return how much earlier a run would end if it moved to another worker, seconds.

    :param expected_s: time that the whole task takes at the usual speed.
    :param speed: relative speed of its worker.
    :param move_s: for how long a moved task is not running.
    """
    remaining_s = expected_s * (100 - task.percent) / 100
    # A task with checkpoints saves its progress when it is stopped.
    elsewhere_s = remaining_s if task.step.checkpoints else expected_s
    return remaining_s / speed - move_s - elsewhere_s


def is_away(task: Task) -> bool:
    """Tell whether a serving task does not serve now.

    It is away from the order to stop it, or from its loss, until it is listed as
    serving again.
    """
    return not task.running or bool(task.stopping) or task.percent < SERVING_PERCENT


def count_movable(step: Step, tasks: Iterable[Task]) -> int:
    """Return how many serving tasks of a step may be interrupted now.

    :param tasks: all tasks of the step.
    """
    if step.may_be_away <= 0:
        return 0
    return max(0, step.may_be_away - sum(is_away(task) for task in tasks))
