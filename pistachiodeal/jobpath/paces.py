"""Paces of filling tasks over time, as agents log them."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping

from pistachiodeal.scheduling.tails import FULL_PACE


class PaceTimeline:
    """The pace of each filling image on each node over time."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], list[float]] = {}
        self._percents: dict[tuple[str, str], list[int]] = {}

    def record(self, node: str, paces: Mapping[str, int], at: float) -> None:
        """Record paces that an agent has changed."""
        for image, percent in paces.items():
            self._times.setdefault((node, image), []).append(at)
            self._percents.setdefault((node, image), []).append(percent)

    def measure(self, node: str, image: str, begin: float, end: float) -> float | None:
        """Return the work done in a period, None if no pace is known.

        :returns: the period's length at full speed, seconds.
        """
        times = self._times.get((node, image))
        if not times or end <= begin:
            return None
        percents = self._percents[node, image]
        number = bisect_right(times, begin) - 1
        worked, since = 0.0, begin
        while since < end:
            percent = percents[number] if number >= 0 else FULL_PACE
            number += 1
            until = min(end, times[number]) if number < len(times) else end
            worked += (until - since) * percent / FULL_PACE
            since = until
        return worked
