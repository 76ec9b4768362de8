"""Estimates current tail latencies and past paces from samples that lag behind."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from math import exp

FULL_PACE = 100
# Time constant of the exponential smoothing in listed figures.
SMOOTHING_S = 0.5
# Delay from a call until its pace takes effect.
PACE_DELAY_S = 0.1
# Lower bound of an estimate as a share of the listed figure, so that noise in a fast
# falling tail does not produce too low an estimate.
MIN_FRACTION = 0.3
# Paces are kept for longer than the interval between two samples.
HISTORY_S = 1.0
# For this long, a sample of processor time may still be from before a pace change.
USE_LAG_S = 0.4
# Excess over the processor time that a pace allows, as a share of the task's request,
# that is too large to be noise.
MAX_EXCESS_USE = 0.15


@dataclass(frozen=True, slots=True)
class ServingTail:
    """A serving task's tail latency and its objective.

    :param task: its name; several tasks of an image may be on one worker.
    :param tail_ms: current tail latency as estimated.
    :param listed_ms: tail latency as listed by the runner, later and less noisy.
    """

    task: str
    image: str
    tail_ms: int
    listed_ms: int
    objective_ms: int

    @property
    def latency_ratio(self) -> float:
        """Return the tail latency over its objective."""
        return self.tail_ms / max(self.objective_ms, 1)

    @property
    def listed_latency_ratio(self) -> float:
        """Return the listed tail latency over its objective."""
        return self.listed_ms / max(self.objective_ms, 1)


class TailFilter:
    """Estimates the current tail latency from exponentially smoothed figures.

    A smoothed figure is still high a second after the task that raised it was paused.
    Used directly, it would blame whichever task is running by then, or none.
    """

    def __init__(self) -> None:
        self._figure = 0.0
        self._at = 0.0

    def estimate(self, figure: float, now: float) -> float:
        """Return the tail since the previous figure, in the figure's unit."""
        kept = exp(-(now - self._at) / SMOOTHING_S) if self._at else 0.0
        tail = (figure - kept * self._figure) / (1.0 - kept)
        self._figure, self._at = figure, now
        return max(tail, figure * MIN_FRACTION)


class PaceHistory:
    """The paces of one run, for the time that samples cover.

    :param now: since when it is known to have been running.
    :param fresh: whether it has just started, at full speed. A run that started before
        its agent may have been paused by the previous agent process.
    """

    def __init__(self, now: float, *, fresh: bool = True) -> None:
        self._times = [now]
        self._percents = [FULL_PACE]
        self._certain = fresh

    @property
    def newest(self) -> int | None:
        """Return the latest pace in percent, None while it is unknown."""
        return self._percents[-1] if self._certain else None

    def note(self, percent: int, now: float) -> None:
        """Record a pace that was set."""
        self._certain = True
        self._times.append(now + PACE_DELAY_S)
        self._percents.append(percent)
        begin = bisect_right(self._times, now - HISTORY_S) - 1
        if begin > 0:
            del self._times[:begin], self._percents[:begin]

    def is_consistent(self, used: float, now: float) -> bool:
        """Tell whether a sample of processor time can result from the latest pace.

        Samples lag: the remainder of full speed in them starts to decay some time after
        the pace takes effect.

        :param used: processor time in use as a share of the task's request.
        """
        if not self._certain:
            return True
        fading_s = max(0.0, now - self._times[-1] - USE_LAG_S)
        left = exp(-fading_s / SMOOTHING_S)
        return used <= self._percents[-1] / FULL_PACE + left + MAX_EXCESS_USE

    def average(self, begin: float, end: float) -> float:
        """Return the mean pace over an interval, 0.0 to 1.0."""
        begin = max(begin, end - HISTORY_S)
        worked = 0.0
        for number, since in enumerate(self._times):
            last = number + 1 == len(self._times)
            until = end if last else min(end, self._times[number + 1])
            worked += max(0.0, until - max(begin, since)) * self._percents[number]
        return worked / ((end - begin) * FULL_PACE)
