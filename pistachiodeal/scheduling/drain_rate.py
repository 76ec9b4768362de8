"""Measures how fast work is completed while more of it waits.

Filling tasks run at a varying pace, so the rate can't be derived from the capacity of
the workers. Only time in which work waited counts: with less load, the rate would show
the load and not what the workers can complete.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# The mean covers the last ten seconds, so that it follows a change of capacity before
# callers have used up their retries.
MEAN_S = 10.0
# The load of serving tasks oscillates with periods up to half a minute, and the rate of
# filling tasks with it. The best block of this time bounds what may be expected.
MEMORY_S = 30.0
# Agents list progress every 0.4 s; with fewer than four listings in a block, the best
# block would mostly show noise.
BLOCK_S = 1.6
# With fewer blocks, the first tasks are still being placed, or agents are still
# reporting to a new leader, and the rate would be too low.
MIN_BLOCKS = 3
# While a leader places nothing, as after a change of leaders or with a silent store,
# the rate says nothing about the workers. A block below this share of the best is left
# out.
STALL_SHARE = 0.1
# The upper bound is at least this far above the mean.
MARGIN = 1.25


@dataclass(frozen=True, slots=True)
class DrainRate:
    """Core-seconds completed per second, as a mean and an upper bound."""

    mean: float
    high: float


class DrainMeter:
    """Measures the drain rate of one kind of work."""

    def __init__(self) -> None:
        self._blocks: deque[tuple[float, float, float]] = deque()
        self._open_s = 0.0
        self._open_work = 0.0

    def add(self, at: float, lasted_s: float, work: float) -> None:
        """Add an interval in which work waited.

        :param at: its end, seconds.
        :param work: completed core-seconds, negative if more was lost.
        """
        if lasted_s <= 0 or (work <= 0 and not self._open_s):
            return
        self._open_s += lasted_s
        self._open_work += work
        if self._open_s >= BLOCK_S:
            best = max((done / each_s for _, each_s, done in self._blocks), default=0.0)
            if self._open_work > STALL_SHARE * best * self._open_s:
                self._blocks.append((at, self._open_s, self._open_work))
            self._open_s = self._open_work = 0.0
        while self._blocks and at - self._blocks[0][0] > MEMORY_S:
            self._blocks.popleft()

    def estimate(self, now: float) -> DrainRate | None:
        """Return the rate, None if too little was observed for a prediction."""
        recent = [block for block in self._blocks if now - block[0] <= MEAN_S]
        if len(recent) < MIN_BLOCKS:
            return None
        covered_s = self._open_s + sum(lasted_s for _, lasted_s, _ in recent)
        work = self._open_work + sum(done for *_, done in recent)
        mean = work / covered_s
        if mean <= 0:
            return None
        best = max(
            done / lasted_s
            for at, lasted_s, done in self._blocks
            if now - at <= MEMORY_S
        )
        return DrainRate(mean, max(best, MARGIN * mean))
