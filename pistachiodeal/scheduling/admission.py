"""Decides whether a job is accepted, by the leader's summary of the backlog.

Load pattern: far more work is accepted than can be completed while it still has value;
callers wait, time out, and return in a wave.

A job is rejected only if accepting it could not give its caller anything: if it would
end after the age from which on it is worth nothing, by the most favourable assumptions.
Whatever is missing, old or contradictory leads to acceptance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pistachiodeal.scheduling.backlog import (
    NewJob,
    Prediction,
    QueueLoad,
    predict_completion_s,
)

# A summary is sent every second at least. An older one means that the leader or the
# link is gone, and the work ahead may be done meanwhile.
MAX_AGE_S = 1.5
# Rejections of a queue end only when the prediction is this far below the limit, so
# that callers of similar jobs get the same answer for some seconds.
RELIEF = 0.8
# Jobs of a queue that is served wait less than this for their placement, whatever work
# of other queues is ahead.
MIN_WAIT_S = 1.0
# A single job that waits may be one that no worker can take.
MIN_WAITING_JOBS = 2


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """The leader's summary of the backlog.

    :param computed_at: seconds of this process's clock.
    :param loads: by queue and demand.
    :param invited: ids of rejected jobs that may enter now.
    """

    epoch: int
    computed_at: float
    loads: dict[tuple[str, str], QueueLoad]
    invited: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is rejected.

    :param room_in_s: predicted time until jobs like it are accepted.
    """

    load: QueueLoad
    prediction: Prediction
    age_s: float
    epoch: int
    room_in_s: float


ChangeHandler = Callable[[str, bool, QueueLoad | None], None]


class Admission:
    """Keeps the last two summaries and decides on jobs.

    :param on_change: called with a queue when its jobs begin (True) or cease to be
        rejected, and with its load if there is one.
    """

    def __init__(self, on_change: ChangeHandler) -> None:
        self._on_change = on_change
        self._previous: LoadSummary | None = None
        self._current: LoadSummary | None = None
        # By queue that rejects: the latest end that was allowed to a rejected job, and
        # the lowest level of one. Jobs of lower levels overtake these jobs.
        self._rejecting: dict[tuple[str, str], tuple[float, int]] = {}

    @property
    def current(self) -> LoadSummary | None:
        """Return the newest summary."""
        return self._current

    def apply(self, summary: LoadSummary) -> bool:
        """Take over a summary; tell whether it is newer than all before."""
        current = self._current
        if current is not None:
            if summary.epoch < current.epoch:
                return False
            if (
                summary.epoch == current.epoch
                and summary.computed_at <= current.computed_at
            ):
                return False
            gap_s = summary.computed_at - current.computed_at
            if summary.epoch > current.epoch or gap_s > MAX_AGE_S:
                current = None
        self._previous, self._current = current, summary
        for key in list(self._rejecting):
            if current is None or key not in summary.loads:
                self._relieve(key, None)
        return True

    def decide(
        self, job_id: str, job: NewJob, now: float, epoch: int
    ) -> Rejection | None:
        """Return why a job is rejected, None if it is accepted.

        :param epoch: the highest known epoch of a leader.
        """
        current = self._current
        if current is None or current.epoch < epoch:
            return None
        age_s = now - current.computed_at
        if age_s > MAX_AGE_S or job_id in current.invited:
            return None
        key = (job.queue, job.demand)
        load = current.loads.get(key)
        if load is None or not is_overloadable(load):
            self._relieve(key, load)
            return None
        prediction = predict_completion_s(load, job)
        if not self._is_hopeless(key, job, load, prediction):
            return None
        self._begin_rejecting(key, prediction.limit_s, load, job)
        return Rejection(
            load, prediction, age_s, current.epoch, _predict_room_s(load, prediction)
        )

    def _is_hopeless(
        self,
        key: tuple[str, str],
        job: NewJob,
        load: QueueLoad,
        prediction: Prediction,
    ) -> bool:
        limit_s = prediction.limit_s
        # A job that is too long by itself doesn't gain from waiting elsewhere.
        if prediction.path_s >= RELIEF * limit_s:
            return False
        latest_s, lowest = self._rejecting.get(key, (0.0, 0))
        if limit_s <= latest_s and load.find_level(job.work) >= lowest:
            if prediction.completion_s > RELIEF * limit_s:
                return True
            self._relieve(key, load)
            return False
        if prediction.completion_s <= limit_s:
            return False
        earlier = self._find_previous(key)
        if earlier is None:
            return False
        before = predict_completion_s(earlier, job)
        return before.completion_s > before.limit_s

    def _find_previous(self, key: tuple[str, str]) -> QueueLoad | None:
        previous = self._previous
        if previous is None:
            return None
        load = previous.loads.get(key)
        return load if load is not None and is_overloadable(load) else None

    def _begin_rejecting(
        self, key: tuple[str, str], limit_s: float, load: QueueLoad, job: NewJob
    ) -> None:
        level = load.find_level(job.work)
        known = self._rejecting.get(key)
        latest_s, lowest = known or (limit_s, level)
        self._rejecting[key] = max(limit_s, latest_s), min(level, lowest)
        if known is None:
            self._on_change(key[0], True, load)

    def _relieve(self, key: tuple[str, str], load: QueueLoad | None) -> None:
        if self._rejecting.pop(key, None) is not None:
            self._on_change(key[0], False, load)


def is_overloadable(load: QueueLoad) -> bool:
    """Tell whether jobs of a queue wait, and at what rate the work ahead drains."""
    return (
        load.waiting_jobs >= MIN_WAITING_JOBS
        and load.oldest_wait_s >= MIN_WAIT_S
        and load.drain > 0
        and load.drain_high >= load.drain
    )


def has_room(load: QueueLoad, job: NewJob) -> bool:
    """Tell whether a rejected job may enter."""
    if not is_overloadable(load):
        return True
    prediction = predict_completion_s(load, job)
    return prediction.completion_s <= RELIEF * prediction.limit_s


def _predict_room_s(load: QueueLoad, prediction: Prediction) -> float:
    """Return the time until the work ahead leaves room, seconds."""
    allowed_s = RELIEF * prediction.limit_s - prediction.path_s
    excess = prediction.ahead - allowed_s * load.drain_high + load.returning_work
    return max(0.0, excess / load.drain)
