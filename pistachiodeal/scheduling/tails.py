"""Tails of serving tasks and paces of filling ones, as far as figures tell them."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from math import exp

FULL_PACE = 100
# Time constant with which a listed figure follows the tail.
SMOOTHING_S = 0.5
# From a call until its pace is in force.
DELAY_S = 0.1
# A tail that falls fast ends up no lower than this part of its figure, whatever noise
# says.
LEAST_PART = 0.3
# Paces are kept for longer than two figures are apart.
KEPT_S = 1.0
# A figure of processor time in use may still be that of before a pace for this long.
USE_LAG_S = 0.4
# Processor time in use beyond what a pace allows, as a share of what the task asks for,
# that can't be noise.
SURPLUS = 0.15


@dataclass(frozen=True, slots=True)
class ServingTail:
    """A serving task's tail latency and its aim.

    :param task: its name; several of an image may be on one worker.
    :param tail_ms: as worked out for now.
    :param listed_ms: as listed, which is late and less noisy.
    """

    task: str
    image: str
    tail_ms: int
    listed_ms: int
    aim_ms: int

    @property
    def strain(self) -> float:
        """Return the tail as a share of the aim."""
        return self.tail_ms / max(self.aim_ms, 1)

    @property
    def listed_strain(self) -> float:
        """Return the listed tail as a share of the aim."""
        return self.listed_ms / max(self.aim_ms, 1)


class TailFilter:
    """Works out a tail latency of now from figures that follow it slowly.

    A figure is still high when the work that drove it up has stood for a second. Taken
    as it is, it blames whoever is at work by then, or nobody.
    """

    def __init__(self) -> None:
        self._figure = 0.0
        self._at = 0.0

    def estimate(self, figure: float, now: float) -> float:
        """Return the tail since the figure before, in the figure's unit."""
        kept = exp(-(now - self._at) / SMOOTHING_S) if self._at else 0.0
        tail = (figure - kept * self._figure) / (1.0 - kept)
        self._figure, self._at = figure, now
        return max(tail, figure * LEAST_PART)


class PaceHistory:
    """The paces of one run, as far back as figures go.

    :param now: from when on it is known to have been at work.
    :param fresh: whether it has just begun, at full speed. A run that was there before
        its agent may stand still by the word of the agent before.
    """

    def __init__(self, now: float, *, fresh: bool = True) -> None:
        self._times = [now]
        self._percents = [FULL_PACE]
        self._certain = fresh

    @property
    def newest(self) -> int | None:
        """Return the pace set last, None while it is unknown."""
        return self._percents[-1] if self._certain else None

    def note(self, percent: int, now: float) -> None:
        """Note that a pace was set."""
        self._certain = True
        self._times.append(now + DELAY_S)
        self._percents.append(percent)
        begin = bisect_right(self._times, now - KEPT_S) - 1
        if begin > 0:
            del self._times[:begin], self._percents[:begin]

    def is_consistent(self, used: float, now: float) -> bool:
        """Tell whether a figure of use can be that of the pace set last.

        A figure follows late: some time after the pace is in force, what is left of
        full speed in it begins to fade.

        :param used: processor time in use as a share of what the task asks for.
        """
        if not self._certain:
            return True
        fading_s = max(0.0, now - self._times[-1] - USE_LAG_S)
        left = exp(-fading_s / SMOOTHING_S)
        return used <= self._percents[-1] / FULL_PACE + left + SURPLUS

    def average(self, begin: float, end: float) -> float:
        """Return the mean pace over a time, 0.0 to 1.0."""
        begin = max(begin, end - KEPT_S)
        worked = 0.0
        for number, since in enumerate(self._times):
            last = number + 1 == len(self._times)
            until = end if last else min(end, self._times[number + 1])
            worked += max(0.0, until - max(begin, since)) * self._percents[number]
        return worked / ((end - begin) * FULL_PACE)
