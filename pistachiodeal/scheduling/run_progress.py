"""Measures the progress of runs, and how fast their siblings progress elsewhere.

Progress is listed in whole percent about twice a second. A run is measured over a short
window, so that a worker that becomes slow is noticed while its tasks run, and over a
longer one where a percent takes long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from math import hypot, log

from pistachiodeal.scheduling.views import StepKey

# The window is as long as a short task needs for two listings, or as the usual speed
# needs for six percent, but no longer than the longest.
MIN_WINDOW_S = 0.8
WINDOW_SHARE = 0.06
MAX_WINDOW_S = 6.0
# A shorter time, or less expected progress, is too inaccurate.
MIN_MEASURED_S = 0.35
MIN_EXPECTED_PERCENT = 2.0
# Standard deviations: of the time between two listings, and of the difference of two
# percentages that are rounded down.
TIME_NOISE_S = 0.1
PERCENT_NOISE = 0.41
# No progress counts as half a percent.
MIN_PERCENT = 0.5
# Spread of the speeds of equal tasks on equal workers, and of one sibling's speed as a
# reference.
TASK_SPREAD = 0.25
SIBLING_SPREAD = 0.4
# Filling tasks share the processor time that is left over, beside their pace.
FILLING_SPREAD = 0.3
# Prior of the error of a queue's predicted durations, and its weight in steps.
PREDICTION_SPREAD = 1.0
PREDICTION_STEPS = 4.0
MIN_PREDICTION_SPREAD = 0.35
PREDICTION_DECAY = 1 - 1 / 50
MAX_PREDICTION_ERROR = 2.0
MAX_SIBLINGS = 16
MAX_STEPS = 2_000
MAX_QUEUES = 2_000


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a run.

    :param percent: share of its work that it did.
    :param took_s: time that this took, at full pace.
    """

    percent: float
    took_s: float

    @property
    def share(self) -> float:
        """Return the share of the task that was done."""
        return max(self.percent, MIN_PERCENT) / 100

    @property
    def rate(self) -> float:
        """Return the share of the task that is done in a second."""
        return self.share / self.took_s

    def compute_noise(self) -> float:
        """Return the standard deviation of the logarithm of the rate."""
        percent_noise = PERCENT_NOISE / max(self.percent, MIN_PERCENT)
        return hypot(percent_noise, TIME_NOISE_S / self.took_s)


@dataclass(frozen=True, slots=True)
class Reference:
    """The time that a task should take.

    :param spread: standard deviation of the logarithm of a task's time around it.
    :param shared: whether all tasks of the step are compared with the same prediction,
        whose error they share.
    """

    expected_s: float
    spread: float
    shared: bool


@dataclass(slots=True)
class ProgressWindow:
    """The newest listings of one run.

    :param key: under which its progress was last recorded.
    """

    key: Hashable = None
    work_s: float = 0.0
    samples: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, percent: float, work_s: float) -> None:
        """Add a listing.

        :param work_s: time at full pace since the last one.
        """
        if self.samples and percent < self.samples[-1][1]:
            self.samples.clear()
        self.work_s += work_s
        self.samples.append((self.work_s, percent))

    def measure(self, expected_s: float) -> Progress | None:
        """Return the progress in the window, None if it is too short."""
        window_s = min(max(MIN_WINDOW_S, WINDOW_SHARE * expected_s), MAX_WINDOW_S)
        samples = self.samples
        while len(samples) > 2 and samples[1][0] <= self.work_s - window_s:
            samples.popleft()
        took_s = self.work_s - samples[0][0]
        if took_s < MIN_MEASURED_S:
            return None
        return Progress(samples[-1][1] - samples[0][1], took_s)


class ReferenceModel:
    """Tells how long a task should take: by its siblings, or by its queue."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, dict[Hashable, tuple[str, float]]] = {}
        self._errors: dict[str, tuple[float, float]] = {}

    def record_rate(
        self, step: StepKey, task: Hashable, worker: str, rate: float
    ) -> None:
        """Record how fast a task progresses, as a reference for its siblings."""
        rates = self._steps.setdefault(step, {})
        rates[task] = worker, rate
        if len(rates) > MAX_SIBLINGS:
            del rates[next(iter(rates))]
        if len(self._steps) > MAX_STEPS:
            del self._steps[next(iter(self._steps))]

    def record_duration(
        self, queue: str, predicted_s: float, took_s: float, weight: float
    ) -> None:
        """Record the error of a queue's predicted duration.

        :param weight: less than one for a task with equal tasks in its step.
        """
        if predicted_s <= 0 or took_s <= 0:
            return
        limit = MAX_PREDICTION_ERROR
        error = min(max(log(took_s / predicted_s), -limit), limit)
        steps, squares = self._errors.get(queue, (0.0, 0.0))
        kept = PREDICTION_DECAY**weight
        self._errors[queue] = kept * steps + weight, kept * squares + weight * error**2
        if len(self._errors) > MAX_QUEUES:
            del self._errors[next(iter(self._errors))]

    def find(
        self, step: StepKey, worker: str, queue: str, predicted_s: float
    ) -> Reference:
        """Return the reference for the tasks of a step on a worker."""
        rates = [
            rate
            for place, rate in self._steps.get(step, {}).values()
            if place != worker
        ]
        if rates:
            spread = hypot(TASK_SPREAD, SIBLING_SPREAD / len(rates) ** 0.5)
            return Reference(1 / compute_median(rates), spread, False)
        steps, squares = self._errors.get(queue, (0.0, 0.0))
        prior = PREDICTION_STEPS * PREDICTION_SPREAD**2
        variance = (squares + prior) / (steps + PREDICTION_STEPS)
        return Reference(predicted_s, max(variance**0.5, MIN_PREDICTION_SPREAD), True)


def is_measurable(progress: Progress, expected_s: float) -> bool:
    """Tell whether the usual speed would have made enough progress to be measured."""
    return 100 * progress.took_s >= MIN_EXPECTED_PERCENT * expected_s > 0


def is_reference(progress: Progress, predicted_s: float) -> bool:
    """Tell whether a task's rate is accurate enough to compare its siblings with.

    The rate of a long task that has just begun is far too high, as no progress counts
    as half a percent. A task that is faster than predicted shows that by its progress.
    """
    accurate = progress.percent >= MIN_EXPECTED_PERCENT
    return accurate or is_measurable(progress, predicted_s)


def compute_median(values: Sequence[float]) -> float:
    """Return the median; importing ``statistics`` would slow down each start."""
    ordered, half = sorted(values), len(values) // 2
    if len(ordered) % 2:
        return ordered[half]
    return (ordered[half - 1] + ordered[half]) / 2
