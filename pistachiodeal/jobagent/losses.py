"""Ends of incarnations of the runner, with the runs that were lost with them.

A loss is reported to each leader until it has answered: a leader may end before it has
written the consequences, so its successor must receive the report too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobs.model import LossCause
from pistachiodeal.wire.job_messages import EndedTask, LostRun, WorkerLoss

# Age of a run that this agent has not started.
UNKNOWN_AGE_MS = -1
# How long losses are reported: longer than it takes until a failed leader is replaced,
# and than most network partitions last.
RETENTION_S = 20.0
# Bounds the report of a worker that crashes again and again, every few seconds.
MAX_LOSSES = 8
# How long a run whose start got no answer is kept unsettled for the runner's next
# start, which may still receive the call and start it. A longer time would delay the
# task when the runner doesn't return.
UNSETTLED_S = 5.0


@dataclass(slots=True)
class Loss:
    """The end of one incarnation.

    :param at: when its first call went unanswered, seconds of the boot clock.
    :param reported_in: number of the first report on this link that holds the loss, 0
        before.
    :param acknowledged: whether the leader has answered that report.
    :param unsettled: runs that may still be started at the next incarnation.
    :param ends: ends that it had listed and that no leader has acknowledged.
    """

    worker: str
    cause: LossCause
    at: float
    runs: tuple[LostRun, ...]
    reported_in: int = 0
    acknowledged: bool = False
    unsettled: frozenset[RunKey] = frozenset()
    ends: tuple[EndedTask, ...] = ()


@dataclass(slots=True)
class LossHistory:
    """Recent losses of earlier incarnations of the worker."""

    _losses: deque[Loss] = field(default_factory=lambda: deque(maxlen=MAX_LOSSES))

    def add(self, loss: Loss) -> None:
        """Add the loss of an incarnation, and report all others again.

        A run of an earlier incarnation may have waited for this one to settle it. The
        leader requeues runs only by the loss of the incarnation that it ordered.
        """
        self.reset_reports()
        self._losses.append(loss)

    def discard(self, worker: str) -> None:
        """Remove the losses of an incarnation that answers again after a silence."""
        kept = [loss for loss in self._losses if loss.worker != worker]
        self._losses = deque(kept, MAX_LOSSES)

    def awaits_acknowledgement(self, worker: str, now: float) -> bool:
        """Return whether the leader has yet to acknowledge an incarnation's end."""
        return any(
            loss.worker == worker
            and not loss.acknowledged
            and now - loss.at < RETENTION_S
            for loss in self._losses
        )

    def pop_unsettled(self) -> set[RunKey]:
        """Remove and return the runs that a new incarnation has to settle."""
        keys: set[RunKey] = set()
        for loss in self._losses:
            keys |= loss.unsettled
            loss.unsettled = frozenset()
        return keys

    def expire_unsettled(self, now: float) -> None:
        """Give up unsettled runs that have waited too long for a new incarnation."""
        for loss in self._losses:
            if loss.unsettled and now - loss.at >= UNSETTLED_S:
                # All are reported once more, as the leader has kept these runs until
                # now, maybe as those of an earlier incarnation.
                loss.unsettled = frozenset()
                self.reset_reports()

    def list_unsettled(self) -> set[RunKey]:
        """Return the runs that the leader must not give up yet."""
        return {key for loss in self._losses for key in loss.unsettled}

    def report(self, beat: int, now: float) -> tuple[WorkerLoss, ...]:
        """Return the losses to include in a report."""
        reported = []
        for loss in self._losses:
            if loss.acknowledged or now - loss.at >= RETENTION_S:
                continue
            loss.reported_in = loss.reported_in or beat
            ago_ms = round((now - loss.at) * 1000)
            reported.append(
                WorkerLoss(loss.worker, loss.cause.value, ago_ms, loss.runs, loss.ends)
            )
        return tuple(reported)

    def acknowledge(self, beat: int) -> None:
        """Record that the leader has answered a report."""
        for loss in self._losses:
            loss.acknowledged |= 0 < loss.reported_in <= beat

    def reset_reports(self) -> None:
        """Report all losses again, for example to another leader."""
        for loss in self._losses:
            loss.reported_in, loss.acknowledged = 0, False


class RunAgeTracker:
    """Tracks how old each run was when the runner stopped answering."""

    def __init__(self) -> None:
        self._started: dict[RunKey, float] = {}
        self._silent_since = 0.0

    def record_start(self, key: RunKey, now: float) -> None:
        """Record that a start was sent.

        :param now: seconds of the boot clock, as in all methods of this class.
        """
        self._started[key] = now

    def record_listing(self, keys: Iterable[RunKey]) -> None:
        """Record that the runner has listed its runs, and forget all other runs.

        :param keys: runs that are running, or whose start is in transit.
        """
        self._silent_since = 0.0
        known = self._started
        self._started = {key: known[key] for key in keys if key in known}

    def record_unanswered_call(self, now: float) -> None:
        """Record that a call was not answered."""
        self._silent_since = self._silent_since or now

    def build_loss(
        self, worker: str, cause: LossCause, keys: Iterable[RunKey], now: float
    ) -> Loss:
        """Return the loss of an incarnation with its runs, the youngest first."""
        end = self._silent_since or now
        lost = [LostRun(*key, self._measure_age_ms(key, end)) for key in keys]
        lost.sort(key=lambda run: (run.age_ms < 0, run.age_ms))
        return Loss(worker, cause, end, tuple(lost))

    def _measure_age_ms(self, key: RunKey, end: float) -> int:
        if key not in self._started:
            return UNKNOWN_AGE_MS
        return max(0, round((end - self._started[key]) * 1000))
