"""Computes when a filling task would end on a worker, and what it costs others there.

Load pattern: filling tasks of some seconds run beside serving tasks whose load
oscillates. The agents allocate the slack that serving tasks have to spare to the images
that interfere least first (see ``pacing``). The same allocation, applied to the
forecasts of the serving steps, gives the paces over the next seconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import accumulate
from math import inf

from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.load_forecast import (
    GRID_S,
    SlackForecast,
    SlackForecaster,
)
from pistachiodeal.scheduling.pacing import REQUIRED_SLACK
from pistachiodeal.scheduling.views import StepKey

# Longer than a load cycle, so that the mean pace over the horizon holds beyond it.
HORIZON_S = 20.0
# Cells of half a second up to this time, then of one second.
FINE_CELLS = 8
COARSE_CELLS = int(HORIZON_S) - FINE_CELLS // 2
CELL_WIDTHS = (GRID_S,) * FINE_CELLS + (2 * GRID_S,) * COARSE_CELLS
GRID_POINTS = int(HORIZON_S / GRID_S) + 1
CELL_STARTS = (0.0, *accumulate(CELL_WIDTHS))
# Paces are set in tenths; below one tenth a task is paused.
PACES = 10
# The agents allocate what their slowest serving task of an image can spare, by tails
# with an error of 9%: 0.17 of slack for one task, and more for the lowest of several.
# Without this margin, tasks expected at 0.88 of their speed reached 0.74.
SLACK_MARGIN = 0.3
# Results are used for this long, with the time that has passed taken into account.
REFRESH_S = 1.0
# One result takes 75 us of a core, and the forecast of a step three times that. Beyond
# this rate, which 600 workers with several waiting images exceed, older results are
# used, and then the load of the moment decides.
MAX_PER_S = 1_500
MAX_AT_ONCE = 100
FORECAST_COST = 3
MAX_STALE_S = 4.0
# Bounds the cache.
MAX_ENTRIES = 20_000
# Assumed pace beyond the horizon, at least.
MIN_MEAN_PACE = 0.01

Vector = list[float]
FULL_SPEED: Vector = list(CELL_STARTS)
NOTHING: Vector = [0.0] * len(CELL_STARTS)
Servings = frozenset[tuple[StepKey, str]]
"""Serving steps on a worker, with their images."""

Mix = frozenset[tuple[str, float]]
"""Filling images on a worker, with the numbers of their tasks."""


@dataclass(frozen=True, slots=True)
class Progress:
    """The expected work of a filling task, and what the others lose by it.

    :param at: seconds of the boot clock at which it begins.
    :param work: work up to each of ``CELL_STARTS``, seconds at full speed.
    :param lost: work that the other filling tasks lose up to then.
    """

    at: float
    work: Vector
    lost: Vector

    def compute_end_s(self, work_s: float, now: float) -> float:
        """Return after how many seconds from now a task with this work ends."""
        past = now - self.at
        target = _interpolate(self.work, past) + work_s
        if target > self.work[-1]:
            pace = max(self.work[-1] / HORIZON_S, MIN_MEAN_PACE)
            return HORIZON_S - past + (target - self.work[-1]) / pace
        number = max(1, bisect_left(self.work, target))
        before, after = self.work[number - 1], self.work[number]
        part = (target - before) / (after - before) if after > before else 1.0
        return CELL_STARTS[number - 1] + part * CELL_WIDTHS[number - 1] - past

    def compute_lost_s(self, now: float, ahead_s: float) -> float:
        """Return what the others lose in the next seconds, up to the horizon."""
        if self.lost is NOTHING:
            return 0.0
        past = now - self.at
        return _interpolate(self.lost, past + ahead_s) - _interpolate(self.lost, past)

    def compute_work_s(self, now: float, ahead_s: float) -> float:
        """Return the work in the next seconds."""
        past = now - self.at
        return _interpolate(self.work, past + ahead_s) - _interpolate(self.work, past)


@dataclass(slots=True)
class _Allocation:
    """The slack allocated to the filling images of a worker.

    :param order: how much each image interferes at most, and its name, in the order in
        which the images get their slack.
    :param paces: by image, over the cells.
    :param spare: the slack left at each image's turn, by serving image.
    """

    order: list[tuple[float, str]]
    paces: dict[str, Vector]
    spare: list[list[Vector]]


class ProgressModel:
    """Computes expected progress, cached by the tasks that are on a worker."""

    def __init__(
        self, forecaster: SlackForecaster, interference: InterferenceModel
    ) -> None:
        self._forecaster = forecaster
        self._interference = interference
        self._at = float("-inf")
        self._allowed = float(MAX_AT_ONCE)
        self._allowed_at = 0.0
        self._forecasts: dict[StepKey, tuple[float, SlackForecast]] = {}
        self._spare: dict[Servings, dict[str, Vector] | None] = {}
        self._allocations: dict[tuple[Servings, Mix], _Allocation] = {}
        self._starts: dict[tuple[Servings, Mix, str], Progress] = {}

    def expect_start(
        self,
        servings: Mapping[StepKey, str],
        filling: Mapping[str, float],
        image: str,
        now: float,
    ) -> Progress | None:
        """Return the progress of one more task; None without any current forecast.

        :param filling: number of the worker's filling tasks, by image.
        """
        self._refresh(now)
        key = frozenset(servings.items()), frozenset(filling.items()), image
        known = self._starts.get(key)
        if known is not None and known.at == self._at:
            return known
        spare = self._list_spare(key[0])
        if spare is None:
            return None
        if self._rank(image, spare)[0] <= 0:
            progress = self._starts[key] = Progress(self._at, FULL_SPEED, NOTHING)
            return progress
        if self._allowed < 1:
            stale = known is None or now - known.at > MAX_STALE_S
            return None if stale else known
        self._allowed -= 1
        progress = self._starts[key] = self._compute_start(*key)
        return progress

    def expect_running(
        self,
        servings: Mapping[StepKey, str],
        filling: Mapping[str, float],
        image: str,
        now: float,
    ) -> Progress | None:
        """Return the progress of one of the tasks; None without current forecasts."""
        self._refresh(now)
        steps, mix = frozenset(servings.items()), frozenset(filling.items())
        if self._list_spare(steps) is None:
            return None
        pace = self._allocate(steps, mix).paces[image]
        return Progress(self._at, _sum_up(pace), NOTHING)

    def _refresh(self, now: float) -> None:
        regained = MAX_PER_S * (now - self._allowed_at)
        self._allowed = min(MAX_AT_ONCE, self._allowed + regained)
        self._allowed_at = now
        if now - self._at >= REFRESH_S:
            self._at = now
            self._spare.clear()
            self._allocations.clear()
        if len(self._starts) + len(self._forecasts) > MAX_ENTRIES:
            self._starts.clear()
            self._forecasts.clear()

    def _compute_start(self, servings: Servings, mix: Mix, image: str) -> Progress:
        spare = self._list_spare(servings) or {}
        turn = self._rank(image, spare)
        before = self._allocate(servings, mix)
        counts = dict(mix)
        counts[image] = counts.get(image, 0.0) + 1.0
        first = bisect_left(before.order, turn)
        later = [entry for entry in before.order[first:] if entry[1] != image]
        left = before.spare[first]
        lost = [0.0] * len(CELL_WIDTHS)
        paces = {}
        for _, other in (turn, *later):
            paces[other], left = self._take(other, counts[other], spare, left)
            if other in before.paces:
                others = counts[other] - (other == image)
                lost = [
                    sum_lost + others * (had - has)
                    for sum_lost, had, has in zip(
                        lost, before.paces[other], paces[other], strict=True
                    )
                ]
        return Progress(self._at, _sum_up(paces[image]), _sum_up(lost))

    def _list_spare(self, servings: Servings) -> dict[str, Vector] | None:
        """Return the slack to spare by serving image, None without any forecast.

        Beside steps with a forecast, one without recent reports counts with its mean.
        """
        if servings not in self._spare:
            spare: dict[str, Vector] = {}
            current = not servings
            for step, image in servings:
                found = self._forecast(step, image)
                if found is None:
                    return None
                slacks, known = found
                current = current or known
                kept = REQUIRED_SLACK + SLACK_MARGIN
                cells = [max(0.0, slack - kept) for slack in _average(slacks)]
                spare[image] = list(map(min, cells, spare.get(image, cells)))
            self._spare[servings] = spare if current else None
        return self._spare[servings]

    def _forecast(
        self, step: StepKey, image: str
    ) -> tuple[tuple[float, ...], bool] | None:
        """Return a step's slack over the horizon, and whether that is a forecast.

        Without a period, it goes from the current value to the mean. Decisions by that
        were worse than those by the load of the moment.

        :return: None if too many forecasts were computed just before.
        """
        known = self._forecasts.get(step)
        age_s = self._at - known[0] if known is not None else inf
        if age_s >= REFRESH_S and self._allowed >= FORECAST_COST:
            self._allowed -= FORECAST_COST
            ahead_s = HORIZON_S + MAX_STALE_S
            found = self._forecaster.forecast(step, image, self._at, ahead_s)
            known, age_s = (self._at, found), 0.0
            self._forecasts[step] = known
        if known is None or age_s > MAX_STALE_S:
            return None
        first = round(age_s / GRID_S)
        slacks = known[1].slack[first : first + GRID_POINTS]
        return slacks, known[1].current and known[1].periodic

    def _allocate(self, servings: Servings, mix: Mix) -> _Allocation:
        allocation = self._allocations.get((servings, mix))
        if allocation is None:
            spare = self._list_spare(servings) or {}
            order = sorted(self._rank(image, spare) for image, _ in mix)
            counts = dict(mix)
            allocation = _Allocation(order, {}, [list(spare.values())])
            for _, image in order:
                pace, left = self._take(
                    image, counts[image], spare, allocation.spare[-1]
                )
                allocation.paces[image] = pace
                allocation.spare.append(left)
            self._allocations[servings, mix] = allocation
        return allocation

    def _rank(self, image: str, servings: Mapping[str, Vector]) -> tuple[float, str]:
        find = self._interference.get_interference
        return max((find(image, serving) for serving in servings), default=0.0), image

    def _take(
        self,
        image: str,
        count: float,
        servings: Mapping[str, Vector],
        spare: list[Vector],
    ) -> tuple[Vector, list[Vector]]:
        """Return the pace of an image in its turn, and the slack that is left."""
        find = self._interference.get_interference
        costs = [count * find(image, serving) for serving in servings]
        paces = [1.0] * len(CELL_WIDTHS)
        for vector, cost in zip(spare, costs, strict=True):
            if cost > 0:
                paces = [
                    pace if slack >= cost * pace else int(PACES * slack / cost) / PACES
                    for pace, slack in zip(paces, vector, strict=True)
                ]
        left = [
            [
                max(0.0, slack - cost * pace)
                for slack, pace in zip(vector, paces, strict=True)
            ]
            if cost > 0
            else vector
            for vector, cost in zip(spare, costs, strict=True)
        ]
        return paces, left


def _average(grid: tuple[float, ...]) -> Iterator[float]:
    """Yield the mean of a forecast over each cell."""
    for number in range(FINE_CELLS):
        yield (grid[number] + grid[number + 1]) / 2
    for number in range(FINE_CELLS, len(grid) - 2, 2):
        yield (grid[number] + 2 * grid[number + 1] + grid[number + 2]) / 4


def _sum_up(rates: Vector) -> Vector:
    return [0.0, *accumulate(map(float.__mul__, rates, CELL_WIDTHS))]


def _interpolate(sums: Vector, at: float) -> float:
    """Return a sum up to a time; constant beyond the horizon."""
    number = bisect_left(CELL_STARTS, at)
    if number == 0:
        return 0.0
    if number == len(CELL_STARTS):
        return sums[-1]
    part = (at - CELL_STARTS[number - 1]) / CELL_WIDTHS[number - 1]
    return sums[number - 1] + part * (sums[number] - sums[number - 1])
