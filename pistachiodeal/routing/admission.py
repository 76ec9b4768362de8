"""Admission of requests: limits for each caller, and estimates of the queueing time."""

from __future__ import annotations

from pistachiodeal.routing.candidate import Candidate

MIN_RETRY_AFTER_S = 0.05
DURATION_WEIGHT = 0.05


class CallerLimits:
    """Counts the open requests of each caller; idle callers are not stored.

    :param limit: open requests that one caller may have.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[str, int] = {}
        self._total = 0
        self._duration_s = MIN_RETRY_AFTER_S

    @property
    def total(self) -> int:
        """Return the open requests of all callers."""
        return self._total

    def enter(self, caller: str) -> bool:
        """Count a request; return False, uncounted, if the caller is at its limit."""
        count = self._open.get(caller, 0)
        if count >= self._limit:
            return False
        self._open[caller] = count + 1
        self._total += 1
        return True

    def leave(self, caller: str, seconds: float) -> None:
        """Remove a counted request.

        :param seconds: how long it was open.
        """
        self._total -= 1
        self._duration_s += DURATION_WEIGHT * (seconds - self._duration_s)
        count = self._open[caller] - 1
        if count:
            self._open[caller] = count
        else:
            del self._open[caller]

    def estimate_retry_after(self) -> float:
        """Return the seconds after which a caller at its limit should retry."""
        return max(MIN_RETRY_AFTER_S, self._duration_s)


def estimate_wait(candidate: Candidate) -> float:
    """Return the seconds until a slot is free for one more request, 0 if one is now."""
    waiting = candidate.outstanding + candidate.other_load - candidate.slots + 1
    if waiting <= 0 or candidate.slots <= 0:
        return 0.0
    return waiting / candidate.slots * candidate.latency_s


def create_caller_limits(limit: int) -> CallerLimits:
    """Return limits without open requests."""
    return CallerLimits(limit)
