"""How the runner ended, and which runs it took with it.

Each leader hears of it until it has answered: one may end before it has written what
that means, and its successor has to hear it, too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobs.model import LossCause
from pistachiodeal.wire.job_messages import LostRun, WorkerLoss

# Of a run whose start this agent has not seen.
UNKNOWN_AGE_MS = -1
# Longer than the lead is vacant, or than most cuts last.
KEPT_S = 20.0
# A worker that ends again and again is back after some seconds each time.
MOST_KEPT = 8
# How long a run whose order had no answer waits for the runner's next start, which may
# still be made to begin it. Longer, and its task is missed on a worker that stays away.
UNSETTLED_S = 5.0


@dataclass(slots=True)
class Loss:
    """The end of one incarnation.

    :param at: its first silence, seconds of the boot clock.
    :param reported_in: the first report on this link that tells of it, 0 before.
    :param heard: whether the leader has answered that report.
    :param unsettled: runs that the next incarnation may still be made to begin.
    """

    worker: str
    cause: LossCause
    at: float
    runs: tuple[LostRun, ...]
    reported_in: int = 0
    heard: bool = False
    unsettled: frozenset[RunKey] = frozenset()


@dataclass(slots=True)
class LossHistory:
    """Earlier incarnations of the worker that ended lately."""

    _losses: deque[Loss] = field(default_factory=lambda: deque(maxlen=MOST_KEPT))

    def add(self, loss: Loss) -> None:
        """Note an end."""
        self._losses.append(loss)

    def take_back(self, worker: str) -> None:
        """Note that an incarnation that was silent answers again."""
        kept = [loss for loss in self._losses if loss.worker != worker]
        self._losses = deque(kept, MOST_KEPT)

    def awaits_hearing(self, worker: str, now: float) -> bool:
        """Tell whether the leader has yet to hear that an incarnation ended."""
        return any(
            loss.worker == worker and not loss.heard and now - loss.at < KEPT_S
            for loss in self._losses
        )

    def take_unsettled(self) -> set[RunKey]:
        """Return the runs that a new incarnation has to settle, and forget them."""
        keys: set[RunKey] = set()
        for loss in self._losses:
            keys |= loss.unsettled
            loss.unsettled = frozenset()
        return keys

    def expire_unsettled(self, now: float) -> None:
        """Forget the runs that have waited too long for a new incarnation."""
        for loss in self._losses:
            if loss.unsettled and now - loss.at >= UNSETTLED_S:
                # The leader has to hear once more of what it has kept until now.
                loss.unsettled = frozenset()
                loss.reported_in, loss.heard = 0, False

    def list_unsettled(self) -> set[RunKey]:
        """Return the runs that the leader may not give up yet."""
        return {key for loss in self._losses for key in loss.unsettled}

    def report(self, beat: int, now: float) -> tuple[WorkerLoss, ...]:
        """Return what the leader has to hear of in a report."""
        told = []
        for loss in self._losses:
            if loss.heard or now - loss.at >= KEPT_S:
                continue
            loss.reported_in = loss.reported_in or beat
            ago_ms = round((now - loss.at) * 1000)
            told.append(WorkerLoss(loss.worker, loss.cause.value, ago_ms, loss.runs))
        return tuple(told)

    def note_answer(self, beat: int) -> None:
        """Note that the leader has answered a report."""
        for loss in self._losses:
            loss.heard |= 0 < loss.reported_in <= beat

    def forget_reports(self) -> None:
        """Note that there is a new link, perhaps to another leader."""
        for loss in self._losses:
            loss.reported_in, loss.heard = 0, False


class LossWatch:
    """Keeps the times that tell how old each run was when the runner fell silent."""

    def __init__(self) -> None:
        self._started: dict[RunKey, float] = {}
        self._silent_since = 0.0

    def note_start(self, key: RunKey, now: float) -> None:
        """Note that a start was sent.

        :param now: seconds of the boot clock, as everywhere here.
        """
        self._started[key] = now

    def note_answer(self, keys: Iterable[RunKey]) -> None:
        """Note that the runner has listed what it has; other runs are of no interest.

        :param keys: runs that are at work, or on their way to the runner.
        """
        self._silent_since = 0.0
        known = self._started
        self._started = {key: known[key] for key in keys if key in known}

    def note_silence(self, now: float) -> None:
        """Note that a call was not answered."""
        self._silent_since = self._silent_since or now

    def build_loss(
        self, worker: str, cause: LossCause, keys: Iterable[RunKey], now: float
    ) -> Loss:
        """Return the runner's end with its runs, the youngest first."""
        end = self._silent_since or now
        lost = [LostRun(*key, self._measure_age_ms(key, end)) for key in keys]
        lost.sort(key=lambda run: (run.age_ms < 0, run.age_ms))
        return Loss(worker, cause, end, tuple(lost))

    def _measure_age_ms(self, key: RunKey, end: float) -> int:
        if key not in self._started:
            return UNKNOWN_AGE_MS
        return max(0, round((end - self._started[key]) * 1000))
