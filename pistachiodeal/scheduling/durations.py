"""Predicts task durations from declared durations and completed tasks.

Callers declare a duration for each task, and the error can be as large as the duration
itself, or ten times that. If steps were ordered by declared durations, a job declared
too short would count as unable to finish in time after a second and wait behind all
others, and a job declared too long would never become urgent.

For each queue, a regression line maps the logarithm of the declared duration to that of
the actual one. If declarations are accurate, the line leaves them unchanged; if they
are noise, it becomes flat at the typical duration. Durations measured for tasks of the
same step take precedence over this prediction.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log

# Weight of the prior, in tasks: until tasks have completed, declarations are used as
# they are.
PRIOR_TASKS = 1.0
# Prior weight of a zero slope. A slope needs more data than an offset: as much as
# five tasks whose declared durations differ by a factor of 1.65 (0.5 in natural
# logarithm).
PRIOR_SPREAD = 5.0 * 0.5**2
# Decay for each task, so that about the last 200 tasks determine the fit.
DECAY = 1 - 1 / 200
# A task that is off by more than this factor, either way, ran on a faulty worker.
MAX_FACTOR = 30.0
MIN_DURATION_S = 0.01
MAX_QUEUES = 2_000


@dataclass(slots=True)
class DurationFit:
    """Decaying sums for the regression of duration errors on declared durations.

    :param tasks: decayed number of observed tasks.
    :param declared: sum of the logarithms of declared durations.
    :param error: sum of the errors, as logarithms of actual over declared duration.
    :param spread: sum of squares of the logarithms of declared durations.
    :param cross: sum of products of declared logarithm and error.
    """

    tasks: float = 0.0
    declared: float = 0.0
    error: float = 0.0
    spread: float = 0.0
    cross: float = 0.0

    def add(self, declared: float, error: float, weight: float) -> None:
        """Add one completed task."""
        kept = DECAY**weight
        self.tasks = kept * self.tasks + weight
        self.declared = kept * self.declared + weight * declared
        self.error = kept * self.error + weight * error
        self.spread = kept * self.spread + weight * declared**2
        self.cross = kept * self.cross + weight * declared * error

    def estimate(self, declared: float) -> float:
        """Return a declared duration's expected error, as the logarithm of a factor."""
        if self.tasks <= 0:
            return 0.0
        mean = self.declared / self.tasks
        variance = max(0.0, self.spread - self.tasks * mean**2)
        covariance = self.cross - mean * self.error
        slope = covariance / (variance + PRIOR_SPREAD)
        return self.error / (self.tasks + PRIOR_TASKS) + slope * (declared - mean)


class DurationModel:
    """Predicted task durations by queue."""

    def __init__(self) -> None:
        self._fits: dict[str, DurationFit] = {}

    @property
    def fits(self) -> Mapping[str, DurationFit]:
        """Return the regression fits by queue."""
        return self._fits

    def observe(
        self, queue: str, declared_s: float, took_s: float, weight: float
    ) -> None:
        """Update a queue's fit with a completed task.

        :param took_s: its duration at full speed, seconds.
        :param weight: less than one for a task with equal tasks in its step, since they
            take the same time and carry the same information.
        """
        declared = log(max(declared_s, MIN_DURATION_S))
        error = log(max(took_s, MIN_DURATION_S)) - declared
        if abs(error) > log(MAX_FACTOR):
            return
        self._fits.setdefault(queue, DurationFit()).add(declared, error, weight)
        while len(self._fits) > MAX_QUEUES:
            del self._fits[next(iter(self._fits))]

    def adopt(self, queue: str, fit: DurationFit) -> None:
        """Import an earlier leader's fit for a queue that has none here."""
        self._fits.setdefault(queue, fit)

    def predict_s(self, queue: str, declared_s: float) -> float:
        """Return the predicted duration of a task at full speed, seconds."""
        fit = self._fits.get(queue)
        if fit is None or declared_s <= 0:
            return declared_s
        error = fit.estimate(log(max(declared_s, MIN_DURATION_S)))
        limit = log(MAX_FACTOR)
        return declared_s * exp(min(max(error, -limit), limit))
