"""How long tasks take, learnt from those that were done and what was declared for them.

The load that this answers: callers declare a task's time, and are off by as much as the
time itself, or by ten times. Ordered by what is declared, a job that was declared too
short counts as hopeless after a second and waits behind all others, and one declared
too long is never urgent.

So for each queue the time is worked out from the declared one by a line between the
logarithms of both, fitted to what was done. Where declarations are right, the line
leaves them as they are; where they are noise, it ends up flat, at the usual time. What
tasks of the same step took goes before that.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log

# Until tasks were done a declaration is taken at its word: the line begins as if this
# much had been seen on it.
FIRST_TASKS = 1.0
# Slopes need more evidence than levels: as much as this many tasks whose declared
# times differ by a factor of 1.65 (half of a natural logarithm).
FIRST_SPREAD = 5.0 * 0.5**2
# What was seen counts less with each task, so that about the last 200 decide.
KEPT = 1 - 1 / 200
# A factor beyond this, either way, is a task on a sick worker.
LONGEST_FACTOR = 30.0
SHORTEST_S = 0.01
MOST_QUEUES = 2_000


@dataclass(slots=True)
class DurationFit:
    """Decaying sums over the logarithms of declared times and of what they are off.

    :param tasks: how many were seen.
    :param declared: sum of the logarithms of declared times.
    :param off: sum of what these are off, as logarithms of a factor.
    :param spread: sum of squares of ``declared``.
    :param joint: sum of products of both.
    """

    tasks: float = 0.0
    declared: float = 0.0
    off: float = 0.0
    spread: float = 0.0
    joint: float = 0.0

    def add(self, declared: float, off: float, weight: float) -> None:
        """Take in one task."""
        kept = KEPT**weight
        self.tasks = kept * self.tasks + weight
        self.declared = kept * self.declared + weight * declared
        self.off = kept * self.off + weight * off
        self.spread = kept * self.spread + weight * declared**2
        self.joint = kept * self.joint + weight * declared * off

    def estimate(self, declared: float) -> float:
        """Return by how much a declared time is off, as the logarithm of a factor."""
        if self.tasks <= 0:
            return 0.0
        mean = self.declared / self.tasks
        variance = max(0.0, self.spread - self.tasks * mean**2)
        covariance = self.joint - mean * self.off
        slope = covariance / (variance + FIRST_SPREAD)
        return self.off / (self.tasks + FIRST_TASKS) + slope * (declared - mean)


class DurationModel:
    """Expected times of tasks by queue."""

    def __init__(self) -> None:
        self._fits: dict[str, DurationFit] = {}

    @property
    def fits(self) -> Mapping[str, DurationFit]:
        """Return what was learnt, by queue."""
        return self._fits

    def observe(
        self, queue: str, declared_s: float, took_s: float, weight: float
    ) -> None:
        """Learn from a task that was done.

        :param took_s: its time at full speed.
        :param weight: less than one for a task that has likes in its step, since they
            take the same time and tell the same.
        """
        declared = log(max(declared_s, SHORTEST_S))
        off = log(max(took_s, SHORTEST_S)) - declared
        if abs(off) > log(LONGEST_FACTOR):
            return
        self._fits.setdefault(queue, DurationFit()).add(declared, off, weight)
        while len(self._fits) > MOST_QUEUES:
            del self._fits[next(iter(self._fits))]

    def adopt(self, queue: str, fit: DurationFit) -> None:
        """Take in what an earlier leader knew of a queue that is new here."""
        self._fits.setdefault(queue, fit)

    def predict_s(self, queue: str, declared_s: float) -> float:
        """Return the time that a task is expected to take at full speed."""
        fit = self._fits.get(queue)
        if fit is None or declared_s <= 0:
            return declared_s
        return declared_s * exp(fit.estimate(log(max(declared_s, SHORTEST_S))))
