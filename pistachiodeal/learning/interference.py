"""Learns how much a kind of task slows a service down, from delayed measurements.

``slowdown = 1 + sum(share[kind] * excess[service, kind])``, where shares are of the
worker. :mod:`pistachiodeal.learning.regression` fits this on each worker, and what a
reading adds to the estimate of a pair is sent to others as evidence. Ranking suspects
by their contribution to a slow-down follows CPI2 (Zhang et al., "CPI2: CPU Performance
Isolation for Shared Compute Clusters").
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pistachiodeal.learning.regression import (
    PRIOR_EXCESS,
    PRIOR_VARIANCE,
    Regression,
)
from pistachiodeal.wire.messages import PairEvidence

KNOWN_WEIGHT = 6.0  # a standard error of about 0.4 of the excess
MAX_WEIGHT = 1000.0
MAX_SLOWDOWN = 50.0
_MIN_SHARE = 0.002
_SERVICE_LIMIT = 256
_PENDING_LIMIT = 4096
_MILLI = 1000.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """The estimate for one pair.

    :param slowdown: factor on the time of a request if the kind used the whole
        worker.
    :param weight: inverse of the variance minus that of the prior; 0 for a pair
        without observations.
    """

    slowdown: float
    weight: float

    @property
    def excess(self) -> float:
        """Slow-down beyond 1."""
        return self.slowdown - 1.0

    @property
    def known(self) -> bool:
        """Tell whether there is enough evidence to rely on the estimate."""
        return self.weight >= KNOWN_WEIGHT


class InterferenceModel:
    """Estimates for pairs of service and kind of task."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._fits: dict[str, Regression] = {}
        self._pending: dict[tuple[str, str], tuple[float, float]] = {}

    def observe(
        self,
        service: str,
        kinds: Mapping[str, float],
        slowdown: float,
        weight: float,
        now: float,
    ) -> None:
        """Update the estimates with one reading.

        :param kinds: share of the worker that each kind used when it was taken.
        :param slowdown: time of a request, in any unit that stays the same;
            its value without batch work is learnt as well: :meth:`baseline`.
        :param weight: 1 for a reading of normal accuracy.
        """
        if weight <= 0 or slowdown <= 0:
            return
        shares = {kind: s for kind, s in kinds.items() if s >= _MIN_SHARE}
        fit = self._fit(service, now)
        fit.age(now)
        before = {kind: fit.excess(kind) for kind in shares}
        fit.observe(shares, slowdown, weight, now)
        for kind, (excess, variance) in before.items():
            new_excess, new_variance = fit.excess(kind)
            gained = 1 / new_variance - 1 / variance
            if gained > 0:
                found = (new_excess / new_variance - excess / variance) / gained
                self._note_pending((service, kind), found, gained)

    def baseline(self, service: str) -> float:
        """Return the learnt time without batch work, in the unit of the readings.

        It is 1 before any reading.
        """
        fit = self._fits.get(service)
        return 1.0 if fit is None else fit.baseline

    def min_baseline(self, service: str) -> float:
        """Return a lower bound of a service's time without batch work."""
        fit = self._fits.get(service)
        if fit is None:
            return 0.0
        return max(0.5 * fit.baseline, fit.baseline - fit.baseline_error)

    def estimate(self, service: str, kind: str, now: float) -> Estimate:
        """Return the estimate for a pair."""
        fit = self._fits.get(service)
        if fit is None:
            return Estimate(1.0 + PRIOR_EXCESS, 0.0)
        fit.age(now)
        excess, variance = fit.excess(kind)
        return Estimate(1.0 + max(0.0, excess), 1 / variance - 1 / PRIOR_VARIANCE)

    def predict(self, service: str, kinds: Mapping[str, float], now: float) -> float:
        """Return the slow-down expected of a service beside these kinds."""
        excess = (s * self.estimate(service, k, now).excess for k, s in kinds.items())
        return 1.0 + sum(excess)

    def rank(self, service: str, kinds: Mapping[str, float], now: float) -> list[str]:
        """Return the kinds by their contribution to a slow-down, the largest first."""
        harm = {
            kind: share * self.estimate(service, kind, now).excess
            for kind, share in kinds.items()
        }
        return sorted(harm, key=lambda kind: (-harm[kind], kind))

    def drain_measurements(self) -> tuple[PairEvidence, ...]:
        """Return the measurements since the last call that are large enough to send."""
        taken = []
        for key, (excess_sum, weight) in list(self._pending.items()):
            weight_milli = round(weight * _MILLI)
            if weight_milli < 1:
                continue
            mean = min(max(1.0 + excess_sum / weight, 0.0), MAX_SLOWDOWN)
            taken.append(PairEvidence(*key, round(weight_milli * mean), weight_milli))
            del self._pending[key]
        return tuple(taken)

    def merge(self, pairs: Iterable[PairEvidence], now: float) -> None:
        """Add evidence from other agents; it is not sent on as this agent's own."""
        for part in pairs:
            if part.weight_milli < 1:
                continue
            mean = part.slowdown_sum_milli / part.weight_milli
            excess = min(max(mean, 0.0), MAX_SLOWDOWN) - 1.0
            weight = min(part.weight_milli / _MILLI, MAX_WEIGHT)
            self._fit(part.service, now).merge(part.kind, excess, weight, now)

    def _fit(self, service: str, now: float) -> Regression:
        fit = self._fits.get(service)
        if fit is None:
            if len(self._fits) >= _SERVICE_LIMIT:
                del self._fits[next(iter(self._fits))]
            fit = self._fits[service] = Regression(self._half_life_s, now)
        return fit

    def _note_pending(self, key: tuple[str, str], excess: float, weight: float) -> None:
        if key not in self._pending and len(self._pending) >= _PENDING_LIMIT:
            del self._pending[next(iter(self._pending))]
        excess_sum, total = self._pending.get(key, (0.0, 0.0))
        self._pending[key] = (excess_sum + excess * weight, total + weight)


def create_interference_model(half_life_s: float = 600.0) -> InterferenceModel:
    """Create a model without evidence.

    :param half_life_s: age at which evidence counts half, seconds.
    """
    return InterferenceModel(half_life_s)
