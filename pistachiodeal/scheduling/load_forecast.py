"""Forecasts the slack that serving steps will have without filling neighbours.

Load pattern: the load of serving tasks oscillates by half with a period of some
seconds, all tasks of one step together. Steps of one image share the period, not the
phase. Slack is linear in the load (see ``interference``), so a sine wave is fitted to
the average slack of a step's tasks. What the wave doesn't explain fades within seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, sqrt

from pistachiodeal.scheduling.interference import MAX_SLACK
from pistachiodeal.scheduling.pacing import DEFAULT_SLACK
from pistachiodeal.scheduling.sinusoids import Wave, find_period, fit_wave
from pistachiodeal.scheduling.views import StepKey

GRID_S = 0.5
# Samples are averaged over this time; tasks are listed every 0.4 s, at different times.
BIN_S = 0.5
HISTORY_S = 60.0
MAX_BINS = 120
MAX_STEPS = 2_000
MAX_IMAGES = 500
# Without reports for this long, a step counts with its mean.
MAX_AGE_S = 1.5
# Time constant with which a deviation from the wave or from the mean fades: a quarter
# of a period of 14 s is 3.5 s.
RELAX_S = 2.0
# The current value is the average over this time, which covers a listing of each task.
LEVEL_S = 0.75
# A wave is fitted to the last 1.5 periods, so that it follows a changing amplitude, and
# from 0.6 periods on; less doesn't determine the amplitude.
FIT_PERIODS = 1.5
MIN_FIT_PERIODS = 0.6
REFIT_S = 0.5
# A search takes 3 ms of a core.
SEARCH_INTERVAL_S = 2.0
CONFIRM_INTERVAL_S = 5.0
MAX_SEARCHED_STEPS = 2
# Share of the variance that a period has to explain, with 1.5 periods observed. A ramp
# over a single period is explained by 0.61, a jump by 0.81.
MIN_EXPLAINED = 0.5
MIN_EXPLAINED_EARLY = 0.85
EARLY_PERIODS = 1.5
# A period as long as the observed time may be the start of a longer one.
MIN_PERIODS = 1.1
# Relative change of a period that is reported.
REPORTED_CHANGE = 0.1
DEFAULT_DEVIATION = 0.6


@dataclass(frozen=True, slots=True)
class SlackForecast:
    """The expected slack of a step without neighbours, every ``GRID_S`` from now on.

    :param deviation: standard deviations.
    :param current: whether it is based on recent reports.
    :param periodic: whether it follows a known period and phase.
    """

    slack: tuple[float, ...]
    deviation: tuple[float, ...]
    current: bool
    periodic: bool = False


@dataclass(frozen=True, slots=True)
class PeriodEstimate:
    """The period of the load of a serving image.

    :param period_s: 0 if its load has none.
    :param certainty: the share of the variance that the period explains.
    """

    image: str
    period_s: float
    certainty: float


@dataclass(slots=True)
class _Bin:
    number: int
    total: float
    total_at: float
    count: int

    @property
    def at(self) -> float:
        return self.total_at / self.count


@dataclass(slots=True)
class _StepHistory:
    """The average slack of a step's tasks over the last minute, and the fitted wave."""

    image: str
    bins: deque[_Bin] = field(default_factory=lambda: deque(maxlen=MAX_BINS))
    wave: Wave | None = None
    deviation: float = DEFAULT_DEVIATION
    mean: float = DEFAULT_SLACK
    level: float = DEFAULT_SLACK
    phased: bool = False
    fitted_at: float = float("-inf")

    @property
    def last_at(self) -> float:
        return self.bins[-1].at

    @property
    def span_s(self) -> float:
        return self.last_at - self.bins[0].at

    def add(self, slack: float, at: float) -> None:
        number = int(at // BIN_S)
        if self.bins and self.bins[-1].number >= number:
            last = self.bins[-1]
            last.total += slack
            last.total_at += at
            last.count += 1
            return
        self.bins.append(_Bin(number, slack, at, 1))
        while self.bins[0].at < at - HISTORY_S:
            self.bins.popleft()

    def list_series(self) -> list[tuple[float, float]]:
        """Return the times and averages of the bins."""
        return [(one.total_at / one.count, one.total / one.count) for one in self.bins]

    def fit(self, period_s: float, now: float) -> None:
        """Fit the wave, or the mean without a period, unless that was done recently."""
        if now - self.fitted_at < REFIT_S:
            return
        self.fitted_at = now
        series = self.list_series()
        self.mean = sum(value for _, value in series) / len(series)
        recent = [one for one in series if one[0] > self.last_at - LEVEL_S]
        self.level = sum(value for _, value in recent) / len(recent)
        squares = sum((value - self.mean) ** 2 for _, value in series)
        self.deviation = sqrt(squares / len(series))
        self.wave = None
        self.phased = not period_s or self.span_s >= MIN_FIT_PERIODS * period_s
        if period_s and self.phased:
            since = now - FIT_PERIODS * period_s
            fitted = [one for one in series if one[0] >= since]
            self.wave = wave = fit_wave(fitted, period_s)
            if wave is not None:
                self.deviation = sqrt(wave.residual / len(fitted))
                offsets = [value - wave.evaluate(at) for at, value in recent]
                self.level = sum(offsets) / len(offsets)

    def predict(self, now: float, count: int) -> SlackForecast:
        """Return the forecast on the grid."""
        fading = [exp(-number * GRID_S / RELAX_S) for number in range(count)]
        if self.wave is not None:
            slack = [
                self.wave.evaluate(now + number * GRID_S) + self.level * part
                for number, part in enumerate(fading)
            ]
        elif self.phased:
            slack = [self.mean + (self.level - self.mean) * part for part in fading]
        else:
            slack = [self.level] * count
        return SlackForecast(
            tuple(min(max(value, 0.0), MAX_SLACK) for value in slack),
            tuple(self.deviation * sqrt(1 - part**2) for part in fading),
            True,
            self.wave is not None,
        )


@dataclass(slots=True)
class _ImagePeriod:
    period_s: float = 0.0
    certainty: float = 0.0
    searched_at: float = 0.0
    reported_s: float = 0.0


class SlackForecaster:
    """Learns the periods of serving images and the phases of their steps."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepHistory] = {}
        self._periods: dict[str, _ImagePeriod] = {}

    def observe(self, step: StepKey, image: str, slack: float, at: float) -> None:
        """Add the slack that a task of a step would have without neighbours.

        :param at: seconds of the boot clock.
        """
        history = self._steps.get(step)
        if history is None:
            self._forget_oldest()
            history = self._steps[step] = _StepHistory(image)
        history.add(min(slack, MAX_SLACK), at)
        period = self._get_period(image, at)
        interval_s = CONFIRM_INTERVAL_S if period.certainty else SEARCH_INTERVAL_S
        if at - period.searched_at >= interval_s:
            period.searched_at = at
            self._search(image, period, at)

    def forecast(
        self, step: StepKey, image: str, now: float, horizon_s: float
    ) -> SlackForecast:
        """Return the forecast of a step's slack without neighbours."""
        count = int(horizon_s / GRID_S) + 1
        history = self._steps.get(step)
        if history is None:
            return SlackForecast(
                (DEFAULT_SLACK,) * count, (DEFAULT_DEVIATION,) * count, False
            )
        period = self._periods.get(image)
        history.fit(period.period_s if period is not None else 0.0, now)
        if now - history.last_at > MAX_AGE_S:
            return SlackForecast(
                (history.mean,) * count, (history.deviation,) * count, False
            )
        return history.predict(now, count)

    def list_periods(self, most: int) -> list[PeriodEstimate]:
        """Return the most certain periods."""
        known = [
            PeriodEstimate(image, one.period_s, one.certainty)
            for image, one in self._periods.items()
            if one.period_s
        ]
        return sorted(known, key=lambda one: -one.certainty)[:most]

    def adopt(self, periods: Iterable[PeriodEstimate]) -> None:
        """Import an earlier leader's periods of images that have none here."""
        for one in periods:
            period = self._get_period(one.image, 0.0)
            if not period.period_s and one.period_s > 0:
                period.period_s, period.certainty = one.period_s, one.certainty
                period.reported_s = one.period_s

    def pop_changes(self) -> list[PeriodEstimate]:
        """Return and reset the periods that have changed enough to be reported."""
        changed = []
        for image, one in self._periods.items():
            limit = REPORTED_CHANGE * max(one.period_s, one.reported_s)
            if abs(one.period_s - one.reported_s) > limit:
                one.reported_s = one.period_s
                changed.append(PeriodEstimate(image, one.period_s, one.certainty))
        return changed

    def _get_period(self, image: str, at: float) -> _ImagePeriod:
        if image not in self._periods:
            while len(self._periods) >= MAX_IMAGES:
                del self._periods[next(iter(self._periods))]
            self._periods[image] = _ImagePeriod(searched_at=at)
        return self._periods[image]

    def _forget_oldest(self) -> None:
        if len(self._steps) >= MAX_STEPS:
            del self._steps[min(self._steps, key=lambda key: self._steps[key].last_at)]

    def _search(self, image: str, period: _ImagePeriod, at: float) -> None:
        """Look for the image's period in the steps that were observed longest."""
        histories = [
            one
            for one in self._steps.values()
            if one.image == image and at - one.last_at < MAX_AGE_S
        ]
        histories.sort(key=lambda one: -one.span_s)
        histories = histories[:MAX_SEARCHED_STEPS]
        span_s = max((one.span_s for one in histories), default=0.0)
        found_s, explained = find_period(
            [one.list_series() for one in histories], BIN_S
        )
        early = span_s < EARLY_PERIODS * found_s
        needed = MIN_EXPLAINED_EARLY if early else MIN_EXPLAINED
        if 0 < MIN_PERIODS * found_s <= span_s and explained >= needed:
            period.period_s, period.certainty = found_s, explained
        elif span_s > EARLY_PERIODS * period.period_s:
            period.period_s = period.certainty = 0.0
