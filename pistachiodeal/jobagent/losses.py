"""How the runner ended, and which runs it took with it."""

from __future__ import annotations

from collections.abc import Iterable

from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.wire.job_messages import LostRun

# Of a run whose start this agent has not seen.
UNKNOWN_AGE_MS = -1


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

    def list_lost(self, keys: Iterable[RunKey], now: float) -> tuple[LostRun, ...]:
        """Return the runs that ended with the runner, the youngest first."""
        end = self._silent_since or now
        lost = [LostRun(*key, self._measure_age_ms(key, end)) for key in keys]
        return tuple(sorted(lost, key=lambda run: (run.age_ms < 0, run.age_ms)))

    def _measure_age_ms(self, key: RunKey, end: float) -> int:
        if key not in self._started:
            return UNKNOWN_AGE_MS
        return max(0, int((end - self._started[key]) * 1000))
