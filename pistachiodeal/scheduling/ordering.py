"""The order in which steps that are ready get their places.

The load that this answers: a burst of large jobs fills all workers, and more work waits
than can be done in time. First come, first served then makes every job late, and so
does earliest deadline first: every job gets its first step, falls behind, and gives way
to newer ones. Here a job that can still be in time goes before one that is late anyway,
and among those the one that has least work left for what it is worth: what was begun
is finished, and some jobs are in time at the cost of those that could not all be.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

# A job earns a smaller part up to this many times its objective, then nothing.
LATE_FACTOR = 3.0
# The part of a job's worth that goes by its work; the rest is the same for all.
WORTH_BY_WORK = 0.7


class Hope(IntEnum):
    """What a job can still reach; lower goes first."""

    IN_TIME = 0
    LATE = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """What the order of a step depends on.

    :param priority: of its queue, 0 first.
    :param lasts: whether its tasks run until they are cancelled: they earn by the
        time at work, so each moment of waiting is lost.
    :param age_s: since the job was accepted, or its occurrence was due.
    :param left_s: longest chain of work that is left.
    :param objective_s: the job is in time when it is done at this age.
    :param left_work: core-seconds that are left.
    :param work: core-seconds of the whole job.
    :param usual_work: core-seconds of a usual job of its queue.
    """

    priority: int
    lasts: bool
    age_s: float
    left_s: float
    objective_s: float
    left_work: float = 0.0
    work: float = 0.0
    usual_work: float = 0.0


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sorts steps: the lowest goes first."""

    priority: int
    lasts_not: bool
    hope: Hope
    left_share: float
    slack_s: float


def compute_objective_s(chain_s: float, stretch: float, aim_s: float) -> float:
    """Return the age at which a job has to be done to be in time, seconds."""
    return stretch * chain_s + aim_s


def rank_step(waiting: WaitingStep) -> Rank:
    """Return the place of a step in the order."""
    done_at = waiting.age_s + waiting.left_s
    if done_at <= waiting.objective_s:
        hope, limit = Hope.IN_TIME, waiting.objective_s
    elif done_at <= LATE_FACTOR * waiting.objective_s:
        hope, limit = Hope.LATE, LATE_FACTOR * waiting.objective_s
    else:
        # Among those that earn nothing any more, the one that waited longest.
        hope, limit = Hope.GONE, done_at - waiting.age_s
    return Rank(
        waiting.priority,
        not waiting.lasts,
        hope,
        _compute_left_share(waiting),
        limit - done_at,
    )


def _compute_left_share(waiting: WaitingStep) -> float:
    """Return the work that is left against what the job is worth."""
    value = WORTH_BY_WORK * waiting.work + (1 - WORTH_BY_WORK) * waiting.usual_work
    # In steps, so that jobs that differ little go by the time that they have left.
    return round(waiting.left_work / value, 1) if value > 0 else 0.0
