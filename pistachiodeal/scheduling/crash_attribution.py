"""Which task is to blame for a worker that crashed, and when it is given up.

The load that this answers: a task that ends each runner that starts it. Queued again
like the work of any lost worker it goes first, and takes one worker after another down
with everything that is on it. So the runs that had just begun are blamed; who is
blamed goes alone to one worker after that, and who ends that one as well is given up.
Neighbours are cleared as soon as they have run for a moment beside nobody.

The counts are of crashes that nothing else explains: a worker that had said that it
would leave, that was only cut off, or that went down with its rack tells nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# What has worked for this long has not ended its worker by starting.
STARTUP_S = 0.5
# Few tasks are hit by a stranger's crash within this time of their start.
AT_ONCE_S = 0.1
# Starts this close to the last one are as likely to be the cause: orders for one worker
# travel together, and its end is noticed by the next call.
TOGETHER_S = 0.1
# How much a crash weighs against who is blamed: two that came at once, the second with
# nothing else that had just begun, are enough, and so are three within ``STARTUP_S``.
BLAME_IMMEDIATE = 3
BLAME_STARTUP = 2
BLAMES_TO_GIVE_UP = 6
# How much less while workers crash for no task that had just begun: such workers, going
# down and up by turns, hit a task that moves between them two and three times.
RESTLESS_DISCOUNT = 1
# Crashes in a row, whoever was blamed: what ends its worker late is given up as well.
# Nobody is isolated for these: workers that crash by themselves make whole fleets of
# bystanders, and serving tasks would wait in line for a worker of their own.
CRASHES_TO_GIVE_UP = 5
# Work of this long, and no crash counts any more: a task that lasts for days sees many.
CRASH_RESET_S = 10.0
# Crashes on all workers of a rack so close to each other are the rack's.
RACK_FAILURE_WINDOW_S = 0.3
# Suspects are alone with the rest of the work on this share of the workers at most,
# and on one at least: together they would take the whole fleet down.
EXPOSED_SHARE = 1 / 4


class CrashCounts(Protocol):
    """What is counted against a task."""

    crashes: int
    blames: int


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that ended with its worker.

    :param age_s: from its start to the worker's end, None where nobody has seen its
        start.
    :param suspect: whether it was alone on probation there.
    """

    task: str
    age_s: float | None
    suspect: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a crash means for the tasks on the worker.

    :param blames: tasks of which one is the likely cause, and how much it weighs.
    :param involved: tasks that may be the cause, the blamed ones among them.
    :param explained: whether a task had begun so shortly before that it is the cause.
    """

    blames: dict[str, int]
    involved: frozenset[str]
    explained: bool = False


def attribute_crash(
    casualties: Iterable[CrashedRun], *, recent_unexplained: bool = False
) -> Verdict:
    """Return who is to blame for the end of a worker.

    :param recent_unexplained: whether another crash of the last seconds has no explanation.
    """
    everybody = list(casualties)
    fresh = [
        one for one in everybody if one.age_s is not None and one.age_s <= STARTUP_S
    ]
    if not fresh:
        return Verdict({}, frozenset(one.task for one in everybody))
    involved = frozenset(one.task for one in fresh)
    suspects = [one for one in fresh if one.suspect]
    blamed = suspects or _list_youngest(fresh)
    weights = {one.task: _weigh(one, recent_unexplained) for one in blamed}
    return Verdict(weights, involved, any(map(_is_at_once, blamed)))


def is_suspect(task: CrashCounts) -> bool:
    """Tell whether a task has to start alone."""
    return task.blames > 0


def should_give_up(task: CrashCounts) -> bool:
    """Tell whether a task is given up."""
    return task.blames >= BLAMES_TO_GIVE_UP or task.crashes >= CRASHES_TO_GIVE_UP


def compute_isolation_limit(workers: int) -> int:
    """Return on how many of the workers suspects may be, or may have crashed."""
    return max(1, int(workers * EXPOSED_SHARE))


def _weigh(blamed: CrashedRun, recent_unexplained: bool) -> int:
    weight = BLAME_IMMEDIATE if _is_at_once(blamed) else BLAME_STARTUP
    return weight - RESTLESS_DISCOUNT if recent_unexplained else weight


def _is_at_once(blamed: CrashedRun) -> bool:
    return blamed.age_s is not None and blamed.age_s <= AT_ONCE_S


def _list_youngest(fresh: list[CrashedRun]) -> list[CrashedRun]:
    youngest_s = min(one.age_s or 0.0 for one in fresh)
    return [one for one in fresh if (one.age_s or 0.0) - youngest_s <= TOGETHER_S]
