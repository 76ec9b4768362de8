"""Counts the rejected jobs of the last minute by queue and reason."""

from __future__ import annotations

from collections import Counter, deque

WINDOW_S = 60
# Entries name the queues of the configuration. The bound guards against faulty ones.
MAX_QUEUES_PER_SECOND = 500


class RejectionCounts:
    """A count for each second of the last minute."""

    def __init__(self) -> None:
        self._seconds: deque[tuple[int, Counter[tuple[str, str]]]] = deque()

    def record(self, queue: str, reason: str, now: float) -> None:
        """Count one rejection."""
        second = int(now)
        self._forget(second)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, Counter()))
        counts = self._seconds[-1][1]
        if (queue, reason) in counts or len(counts) < MAX_QUEUES_PER_SECOND:
            counts[queue, reason] += 1

    def sum_up(self, now: float) -> dict[str, dict[str, int]]:
        """Return the counts by queue, then by reason."""
        self._forget(int(now))
        sums: dict[str, dict[str, int]] = {}
        for _, counts in self._seconds:
            for (queue, reason), count in counts.items():
                reasons = sums.setdefault(queue, {})
                reasons[reason] = reasons.get(reason, 0) + count
        return sums

    def _forget(self, second: int) -> None:
        while self._seconds and self._seconds[0][0] <= second - WINDOW_S:
            self._seconds.popleft()
