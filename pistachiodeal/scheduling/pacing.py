"""How fast filling tasks may work beside tasks that serve.

The load that this answers: a filling task makes its neighbour's answers slow, by an
amount that depends on both and changes within seconds. The figures are half a second
old, so the pace falls fast and rises slowly: additive increase, multiplicative
decrease.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FULL = 100
# Above this share of its aim a serving task is in danger.
DANGER = 0.85
# Below this share there is room for more.
CALM = 0.6
CUT = 0.5
STEP_UP = 10
# Slower than this, a task is better stopped for good: zero means that it stands.
SLOWEST = 8
# Figures are rough and cover half a second; a faster reaction acts on its own echo.
REACT_S = 0.5


@dataclass(frozen=True, slots=True)
class ServingTail:
    """A serving task's tail latency and its aim, both in ms."""

    tail_ms: int
    aim_ms: int

    @property
    def strain(self) -> float:
        """Return the tail as a share of the aim."""
        return self.tail_ms / max(self.aim_ms, 1)


@dataclass(slots=True)
class Pacer:
    """Decides one worker's pace.

    :ivar percent: share of their speed at which filling tasks may work.
    """

    percent: int = FULL
    decided_at: float = 0.0

    def decide(self, tails: Iterable[ServingTail], now: float) -> int:
        """Return the pace for the figures of now."""
        worst = max((tail.strain for tail in tails), default=0.0)
        if now - self.decided_at < REACT_S:
            return self.percent
        if worst > DANGER:
            self._set(int(self.percent * CUT), now)
        elif worst < CALM and self.percent < FULL:
            self._set(max(self.percent, SLOWEST) + STEP_UP, now)
        return self.percent

    def _set(self, percent: int, now: float) -> None:
        self.percent = 0 if percent < SLOWEST else min(percent, FULL)
        self.decided_at = now
