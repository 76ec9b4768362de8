"""Attributes worker crashes to tasks, and decides when a task is given up.

A task can crash every runner that starts it. If it is requeued like any task of a lost
worker, it is placed first again and crashes one worker after another, with all other
tasks on it. So the runs that had just started are blamed for a crash. A blamed task is
then started in isolation on one worker, and is given up if it crashes that one as well.
Other tasks are cleared as soon as they have run in isolation for a moment. Tasks that
have waited long for that start in groups; a crash under a group counts against its
tasks and blames none of them. After the second one a task starts in isolation only.

Only crashes without another explanation count. A worker that had announced its
departure, that only lost its connection, or that failed together with its rack does not
count against a task.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# A task that has run for this long did not crash its worker by starting.
STARTUP_S = 0.5
# Few tasks are hit within this time of their start by a crash that they did not cause.
IMMEDIATE_CRASH_S = 0.1
# Runs that started within this time of the latest start are equally likely causes:
# orders for one worker are sent together, and its end is detected by the next call.
SAME_START_WINDOW_S = 0.1
# Blame for one crash. Two immediate crashes, the second one in isolation, are enough to
# give a task up, and so are three within ``STARTUP_S``.
BLAME_IMMEDIATE = 3
BLAME_STARTUP = 2
BLAME_TO_GIVE_UP = 6
# Reduction of the blame while workers crash without a task that had just started: such
# workers, crashing in turns, hit a task that moves between them two or three times.
UNEXPLAINED_DISCOUNT = 1
# Crashes in a row after which a task is given up even if it was never blamed, for tasks
# that crash their worker late. These counts do not cause isolation: when workers crash
# by themselves, most counted tasks are not at fault, and serving tasks would queue for
# isolated workers.
CRASHES_TO_GIVE_UP = 5
# A task that one more crash would fail is held for this long. A crash of another worker
# meanwhile shows that workers crash by themselves: those that crash in turns, a second
# apart, can hit a short task each time.
OBSERVATION_S = 2.0
# Running for this long resets the counts: a task that runs for days sees many crashes.
CRASH_RESET_S = 10.0
# Crashes of all workers of a rack within this time are attributed to the rack.
RACK_FAILURE_WINDOW_S = 0.3
# Suspects that have waited for this long start in groups of two, and in groups twice as
# large after each further second.
GROUP_WAIT_S = 3.0
MAX_GROUP_DOUBLINGS = 6
# A task that crashes its workers must be given up after five crashes, and two in
# isolation may be needed to be sure.
MAX_CRASHES_IN_GROUPS = 3
# Suspect tasks are started in isolation on at most this share of the workers, and on at
# least one: all at once, they could crash the whole fleet.
MAX_ISOLATION_SHARE = 1 / 4


class CrashCounts(Protocol):
    """The counters that are kept for a task.

    :param crashes: worker crashes in a row under the task.
    :param blames: accumulated blame for crashes.
    """

    crashes: int
    blames: int


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that ended with its worker.

    :param age_s: time from its start to the worker's end, None if its start was not
        observed.
    :param suspect: whether it was started there in isolation, on probation.
    """

    task: str
    age_s: float | None
    suspect: bool


@dataclass(frozen=True, slots=True)
class CrashAttribution:
    """The consequences of a crash for the tasks on the worker.

    :param blames: added blame by task, for the likely causes.
    :param involved: all tasks that may be the cause, including the blamed ones.
    :param explained: whether a task had started so shortly before that it is the cause.
    """

    blames: dict[str, int]
    involved: frozenset[str]
    explained: bool = False


def attribute_crash(
    crashed: Iterable[CrashedRun], *, recent_unexplained: bool = False
) -> CrashAttribution:
    """Return which runs are to blame for the end of a worker.

    :param recent_unexplained: whether another crash in the last seconds has no
        explanation.
    """
    runs = list(crashed)
    fresh = [run for run in runs if run.age_s is not None and run.age_s <= STARTUP_S]
    if not fresh:
        return CrashAttribution({}, frozenset(run.task for run in runs))
    involved = frozenset(run.task for run in fresh)
    suspects = [run for run in fresh if run.suspect]
    blamed = suspects or _list_youngest(fresh)
    explained = any(map(_is_immediate, blamed))
    if len(suspects) > 1:
        # A group of suspects: all but one of them are innocent.
        weights = {run.task: 0 for run in suspects}
        return CrashAttribution(weights, frozenset(weights), explained)
    weights = {run.task: _compute_weight(run, recent_unexplained) for run in blamed}
    return CrashAttribution(weights, involved, explained)


def is_suspect(task: CrashCounts) -> bool:
    """Tell whether a task has to start in isolation."""
    return task.blames > 0


def should_give_up(task: CrashCounts) -> bool:
    """Tell whether a task must not be started again."""
    return task.blames >= BLAME_TO_GIVE_UP or task.crashes >= CRASHES_TO_GIVE_UP


def needs_observation(task: CrashCounts) -> bool:
    """Tell whether one more crash, without any blame, would fail the task's job."""
    return task.crashes == CRASHES_TO_GIVE_UP - 1


def compute_group_size(task: CrashCounts, waited_s: float) -> int:
    """Return in how large a group a suspect may start.

    :param waited_s: time that it has waited, seconds.
    """
    if waited_s < GROUP_WAIT_S or task.crashes >= MAX_CRASHES_IN_GROUPS:
        return 1
    return 2 ** min(1 + int(waited_s - GROUP_WAIT_S), MAX_GROUP_DOUBLINGS)


def compute_isolation_limit(workers: int) -> int:
    """Return how many workers may run, or have crashed under, suspect tasks."""
    return max(1, int(workers * MAX_ISOLATION_SHARE))


def _compute_weight(blamed: CrashedRun, recent_unexplained: bool) -> int:
    weight = BLAME_IMMEDIATE if _is_immediate(blamed) else BLAME_STARTUP
    return weight - UNEXPLAINED_DISCOUNT if recent_unexplained else weight


def _is_immediate(blamed: CrashedRun) -> bool:
    return blamed.age_s is not None and blamed.age_s <= IMMEDIATE_CRASH_S


def _list_youngest(fresh: list[CrashedRun]) -> list[CrashedRun]:
    youngest_s = min(run.age_s or 0.0 for run in fresh)
    return [
        run for run in fresh if (run.age_s or 0.0) - youngest_s <= SAME_START_WINDOW_S
    ]
