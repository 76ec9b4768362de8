"""Counters and latency histograms of one process, served as text.

Histograms have fixed buckets, so that those of several processes can be added, and
each takes only a few integers. There is one per class of work.
"""

from __future__ import annotations

from bisect import bisect_left

# Milliseconds, in steps of about factor two. Latency objectives lie between 150 ms and
# a few seconds.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)
# Further names share one entry: names may contain queue names, and queues come and go.
MAX_NAMES = 500
OTHER = "other"


class Stats:
    """Records measurements; never blocks."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        if name not in self._counters and len(self._counters) >= MAX_NAMES:
            name = OTHER
        self._counters[name] = self._counters.get(name, 0) + n

    def set(self, name: str, value: int) -> None:
        """Set a number that can also fall, such as that of slow workers."""
        if name in self._counters or len(self._counters) < MAX_NAMES:
            self._counters[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        if name not in self._histograms and len(self._histograms) >= MAX_NAMES:
            name = OTHER
        buckets = self._histograms.setdefault(name, [0] * (len(BOUNDS_MS) + 1))
        buckets[bisect_left(BOUNDS_MS, seconds * 1000)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + seconds

    def format(self) -> str:
        """Return all measurements as text, one per line."""
        lines = [f"{name} {value}" for name, value in sorted(self._counters.items())]
        for name, buckets in sorted(self._histograms.items()):
            total = 0
            for bound, count in zip((*BOUNDS_MS, "inf"), buckets, strict=True):
                total += count
                lines.append(f'{name}_ms_bucket{{le="{bound}"}} {total}')
            lines.append(f"{name}_ms_sum {self._sums[name] * 1000:.1f}")
            lines.append(f"{name}_ms_count {total}")
        return "\n".join(lines) + "\n"
