"""Weighs whether a slow task shows that its worker is slow.

A few tasks in a hundred take up to seven times as long by themselves, and a declared
duration can be off by a factor. The evidence of one measurement is therefore bounded
by the share of such tasks, and a measurement with an uncertain reference counts less.
"""

from __future__ import annotations

from math import erf, exp, log, pi, sqrt

# Three tasks in a hundred take up to this many times as long by themselves. They run
# for longer than the others, so their share of the tasks that run at a time is higher.
STRAGGLER_SHARE = 0.08
STRAGGLER_FACTOR = 7.0
# Slow workers are between these factors slower than the others. A smaller difference
# costs callers less than the move of a task.
MIN_SLOWNESS = 2.0
MAX_SLOWNESS = 8.0
# Probability density of a ratio that neither hypothesis explains. It bounds the
# evidence that one measurement gives for the usual speed.
UNEXPLAINED = 0.01


def weigh_progress(ratio: float, spread: float) -> float:
    """Return the evidence that a task's worker is slow.

    :param ratio: logarithm of the measured over the expected speed.
    :param spread: standard deviation of that logarithm at the usual speed.
    :return: logarithm of the likelihood ratio of a slow worker and a usual one.
    """
    return _weigh(ratio, spread)


def weigh_slack(ratio: float, spread: float) -> float:
    """Return the evidence that a serving task's worker is slow.

    The load of a serving task on a slow worker rises, so its slack falls by at least
    the factor by which the worker is slower. A slack that falls further is no less
    likely, so it counts like one in the middle of the range.

    :param ratio: logarithm of its slack over that of its siblings.
    :param spread: standard deviation of that logarithm at the usual speed.
    """
    return _weigh(max(ratio, -log(MIN_SLOWNESS * MAX_SLOWNESS) / 2), spread)


def _weigh(ratio: float, spread: float) -> float:
    # A task that is faster than expected says no more than one that is as expected.
    ratio = min(ratio, 0.0)
    usual = (1 - STRAGGLER_SHARE) * exp(-((ratio / spread) ** 2) / 2)
    usual /= spread * sqrt(2 * pi)
    usual += STRAGGLER_SHARE / log(STRAGGLER_FACTOR)
    width = log(MAX_SLOWNESS / MIN_SLOWNESS)
    slow = _cumulate((ratio + log(MAX_SLOWNESS)) / spread)
    slow -= _cumulate((ratio + log(MIN_SLOWNESS)) / spread)
    return log((slow / width + UNEXPLAINED) / usual)


def _cumulate(value: float) -> float:
    """Return the standard normal distribution function."""
    return (1 + erf(value / sqrt(2))) / 2
