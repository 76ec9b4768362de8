"""History of what ran on a worker, to match delayed readings with their time."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping

_LIMIT = 2048


class Timeline:
    """Kinds of tasks that ran on one worker, as a step function of time."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._times: list[float] = []
        self._steps: list[dict[str, float]] = []

    def record(self, now: float, kinds: Mapping[str, float]) -> None:
        """Record what runs from ``now`` on; a time before the latest one is ignored.

        :param kinds: kind of task to the share of the worker that it uses.
        """
        if self._times and now < self._times[-1]:
            return
        if self._steps and self._steps[-1] == kinds:
            return
        self._times.append(now)
        self._steps.append(dict(kinds))
        if len(self._times) > 2 * self._limit:
            del self._times[: -self._limit]
            del self._steps[: -self._limit]

    def covers(self, t: float) -> bool:
        """Tell whether the history reaches back to ``t``."""
        return bool(self._times) and t >= self._times[0]

    def at(self, t: float) -> Mapping[str, float]:
        """Return what ran at ``t``, empty if that is no longer known."""
        index = bisect_right(self._times, t) - 1
        return self._steps[index] if index >= 0 else {}

    def mean(self, start: float, end: float) -> Mapping[str, float]:
        """Return the mean share of each kind between two times.

        For readings that cover a window: what ran only at its end had little effect.
        """
        if end <= start or not self.covers(start):
            return self.at(end)
        total: dict[str, float] = {}
        index = bisect_right(self._times, start) - 1
        left = start
        while left < end:
            known = index + 1 < len(self._times)
            right = min(self._times[index + 1], end) if known else end
            for kind, share in self._steps[index].items():
                total[kind] = total.get(kind, 0.0) + share * (right - left)
            left = right
            index += 1
        return {kind: amount / (end - start) for kind, amount in total.items()}


def create_timeline(limit: int = _LIMIT) -> Timeline:
    """Create an empty timeline that keeps at least the latest ``limit`` steps."""
    return Timeline(limit)
