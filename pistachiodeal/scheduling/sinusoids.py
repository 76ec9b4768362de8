"""Fits sine waves to series of samples and finds the period of several series."""

from __future__ import annotations

import cmath
from collections.abc import Sequence
from dataclasses import dataclass
from math import cos, inf, pi, sin

MIN_PERIOD_S = 3.0
MAX_PERIOD_S = 40.0
# A shorter span or fewer samples would fit noise.
MIN_SPAN_S = 12.0
MIN_SAMPLES = 24
# Frequencies of the coarse search per inverse span. The peak of the spectrum is as wide
# as the inverse span.
COARSE_PER_SPAN = 4
# Fits on either side of the coarse result, at a quarter of its step.
FINE_STEPS = 6
# Below this determinant per squared sample, the samples don't determine the wave.
MIN_DETERMINANT = 1e-4

Series = Sequence[tuple[float, float]]
"""Times in seconds and values, the earliest first."""


@dataclass(frozen=True, slots=True)
class Wave:
    """A sine wave around a mean.

    :param residual: sum of the squared differences from the samples.
    :param total: sum of the squared differences of the samples from their mean.
    """

    period_s: float
    origin: float
    mean: float
    cosine: float
    sine: float
    residual: float
    total: float

    def evaluate(self, at: float) -> float:
        """Return the value at a time."""
        angle = 2 * pi * (at - self.origin) / self.period_s
        return self.mean + self.cosine * cos(angle) + self.sine * sin(angle)


def fit_wave(series: Series, period_s: float) -> Wave | None:
    """Return the wave of a period with the least squares, None if undetermined."""
    origin, count = series[0][0], len(series)
    speed = 2 * pi / period_s
    values = [value for _, value in series]
    cosines = [cos(speed * (at - origin)) for at, _ in series]
    sines = [sin(speed * (at - origin)) for at, _ in series]
    mean, mean_cos, mean_sin = (sum(row) / count for row in (values, cosines, sines))
    values = [value - mean for value in values]
    cosines = [value - mean_cos for value in cosines]
    sines = [value - mean_sin for value in sines]
    cos_cos, sin_sin = _multiply(cosines, cosines), _multiply(sines, sines)
    cos_sin, total = _multiply(cosines, sines), _multiply(values, values)
    determinant = cos_cos * sin_sin - cos_sin**2
    if determinant < MIN_DETERMINANT * count**2:
        return None
    by_cos, by_sin = _multiply(values, cosines), _multiply(values, sines)
    cosine = (by_cos * sin_sin - by_sin * cos_sin) / determinant
    sine = (by_sin * cos_cos - by_cos * cos_sin) / determinant
    residual = max(0.0, total - cosine * by_cos - sine * by_sin)
    level = mean - cosine * mean_cos - sine * mean_sin
    return Wave(period_s, origin, level, cosine, sine, residual, total)


def find_period(group: Sequence[Series], interval_s: float) -> tuple[float, float]:
    """Return the period that explains most of the variance, and the explained share.

    Both are 0 if the series are too short. The series share the period, not the phase.

    :param interval_s: between two samples, where none is missing.
    """
    group = [series for series in group if len(series) >= MIN_SAMPLES]
    span_s = max((series[-1][0] - series[0][0] for series in group), default=0.0)
    if span_s < MIN_SPAN_S:
        return 0.0, 0.0
    step = 1 / (COARSE_PER_SPAN * span_s)
    lowest = 1 / min(MAX_PERIOD_S, span_s)
    steps = int((1 / MIN_PERIOD_S - lowest) / step)
    coarse = max(
        (lowest + number * step for number in range(steps + 1)),
        key=lambda frequency: _measure_power(group, frequency, interval_s),
    )
    best = (0.0, 0.0)
    for number in range(-FINE_STEPS, FINE_STEPS + 1):
        period_s = 1 / max(lowest, coarse + number * step / 4)
        best = max(best, (_compute_explained(group, period_s), period_s))
    explained, period_s = best
    return period_s, explained


def _multiply(first: Sequence[float], second: Sequence[float]) -> float:
    return sum(map(float.__mul__, first, second))


def _measure_power(
    group: Sequence[Series], frequency: float, interval_s: float
) -> float:
    """Return the spectral power; missing samples only make it less accurate."""
    turn = cmath.exp(2j * pi * frequency * interval_s)
    power = 0.0
    for series in group:
        mean = sum(value for _, value in series) / len(series)
        total = 0j
        for _, value in series:
            total = total * turn + (value - mean)
        power += abs(total) ** 2
    return power


def _compute_explained(group: Sequence[Series], period_s: float) -> float:
    residual = total = 0.0
    for series in group:
        wave = fit_wave(series, period_s)
        if wave is None:
            return -inf
        residual += wave.residual
        total += wave.total
    return 1 - residual / total if total > 0 else -inf
