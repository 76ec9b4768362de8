"""Fits straight lines to measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line.

    :param x: what the x axis counts.
    :param unit: unit of ``y``; the slope is in this unit per ``x``.
    """

    name: str
    x: str
    unit: str
    slope: float
    intercept: float
    r2: float
    points: tuple[tuple[float, float], ...] = field(default=())


def fit_line(
    name: str, x: str, unit: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Return the least-squares line through points."""
    xs, ys = np.array([p[0] for p in points]), np.array([p[1] for p in points])
    slope, intercept = np.polyfit(xs, ys, 1)
    residual = float(((ys - slope * xs - intercept) ** 2).sum())
    total = float(((ys - ys.mean()) ** 2).sum())
    r2 = 1.0 - residual / total if total else 1.0
    shown = tuple((float(a), _round(b)) for a, b in points)
    return Slope(name, x, unit, _round(slope), _round(intercept), round(r2, 4), shown)


def _round(value: float) -> float:
    return float(f"{value:.5g}")
