"""Orders the steps that are ready to be placed.

During a burst of large jobs, more work waits than can be completed in time. First come,
first served then makes every job late, and so does earliest deadline first: every job
gets its first step, falls behind, and is overtaken by newer ones. Here, a job that can
still finish in time goes before one that is late anyway, and among those the job with
the least remaining work relative to its value goes first. Started jobs are therefore
finished, and some jobs meet their objective when not all of them can.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# Up to this many times its objective a job still earns part of its value, then nothing.
LATE_FACTOR = 3.0
# Share of a job's value that depends on its own work; the rest depends on the usual
# work of its queue.
WORK_VALUE_SHARE = 0.7


class DeadlineStatus(IntEnum):
    """Whether a job can still meet its objective; the lowest value goes first."""

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step that waits for placement, with all that determines its rank.

    :param priority: priority of its queue, 0 is the highest.
    :param lasts: whether its tasks run until they are cancelled. Their value grows
        with their running time, so any time spent waiting is lost.
    :param age_s: time since the job was accepted, or its occurrence was due.
    :param remaining_s: duration of the remaining critical path.
    :param objective_s: age at which the job must be done to be in time.
    :param remaining_work: remaining core-seconds.
    :param work: core-seconds of the whole job.
    :param usual_work: core-seconds of a typical job of its queue.
    :param underserved: whether jobs of its queue and size get less than their share.
    """

    priority: int
    lasts: bool
    age_s: float
    remaining_s: float
    objective_s: float
    remaining_work: float = 0.0
    work: float = 0.0
    usual_work: float = 0.0
    underserved: bool = False


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sort key of a step: the lowest is placed first."""

    priority: int
    finite: bool
    status: DeadlineStatus
    served: bool
    remaining_share: float
    slack_s: float


def compute_objective_s(critical_path_s: float, stretch: float, aim_s: float) -> float:
    """Return the age in seconds at which a job must be done to be in time."""
    return stretch * critical_path_s + aim_s


def rank_step(waiting: WaitingStep) -> Rank:
    """Return the sort key of a waiting step."""
    done_at = waiting.age_s + waiting.remaining_s
    if done_at <= waiting.objective_s:
        status, limit = DeadlineStatus.IN_TIME, waiting.objective_s
    elif done_at <= LATE_FACTOR * waiting.objective_s:
        status, limit = DeadlineStatus.LATE, LATE_FACTOR * waiting.objective_s
    else:
        # Jobs that no longer earn anything are ordered by age, the oldest first.
        status, limit = DeadlineStatus.EXPIRED, done_at - waiting.age_s
    return Rank(
        waiting.priority,
        not waiting.lasts,
        status,
        status is not DeadlineStatus.IN_TIME or not waiting.underserved,
        _compute_remaining_share(waiting),
        limit - done_at,
    )


def _compute_remaining_share(waiting: WaitingStep) -> float:
    """Return the remaining work relative to the job's value."""
    value = (
        WORK_VALUE_SHARE * waiting.work + (1 - WORK_VALUE_SHARE) * waiting.usual_work
    )
    # Rounded, so that jobs with similar shares are ordered by the slack that remains.
    return round(waiting.remaining_work / value, 1) if value > 0 else 0.0
