"""One service's time for a request, as a line over what runs beside it.

``signal = alone + sum(share[kind] * extra[kind])``, fitted on the go by a Kalman
filter (Kalman, "A New Approach to Linear Filtering and Prediction Problems"),
which is regularised least squares with fading memory. The covariance is kept
whole: kinds that always run together can't be told apart, and a filter that
knew only each one's own variance would be sure of a wrong split. The latency
alone is a coefficient, too, since a worker may never be without batch work.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import sqrt

PRIOR_EXCESS = 0.5  # an unknown kind that fills the worker adds half
PRIOR_VARIANCE = 1.0
_ALONE_VARIANCE = 0.25
_ALONE_DRIFT = 4e-7  # variance a second: the latency alone follows slow changes
_NOISE_VARIANCE = 0.03  # of a reading of weight 1; readings overlap
_MERGE_DOUBT = 2.5  # others learnt by other loads and mixes; their variance counts so
_MIN_ALONE = 1e-6
_KIND_LIMIT = 24
_OUTLIER = 4.0  # standard deviations


class Regression:
    """Coefficients in the unit of the signal, which has to stay the same."""

    def __init__(self, half_life_s: float, now: float) -> None:
        self._half_life_s = half_life_s
        self._kinds: list[str] = []
        self._seen_at: dict[str, float] = {}
        self._theta = [1.0]
        self._cov = [[_ALONE_VARIANCE]]
        self._at = now
        self._empty = True

    @property
    def alone(self) -> float:
        """Signal without batch work."""
        return max(self._theta[0], _MIN_ALONE)

    @property
    def alone_error(self) -> float:
        """Standard error of the signal without batch work."""
        return sqrt(max(0.0, self._cov[0][0]))

    def observe(
        self, shares: Mapping[str, float], signal: float, weight: float, now: float
    ) -> None:
        """Learn from one reading.

        :param shares: share of the worker that each kind used.
        :param weight: 1 for a reading of ordinary accuracy, less for a worse one.
        """
        self.age(now)
        for kind in shares:
            self._require(kind, now)
        if self._empty:
            total = sum(shares.values())
            self._rescale(signal / (1.0 + PRIOR_EXCESS * total))
        x = [1.0] + [shares.get(kind, 0.0) for kind in self._kinds]
        noise = _NOISE_VARIANCE * self.alone**2 / weight
        self._update(x, signal, noise)

    def merge(self, kind: str, excess: float, weight: float, now: float) -> None:
        """Learn an excess that others found, as a reading of extra over alone.

        :param weight: one over its variance.
        """
        self.age(now)
        row = self._require(kind, now)
        x = [0.0] * len(self._theta)
        x[0], x[row] = -excess, 1.0
        self._update(x, 0.0, _MERGE_DOUBT * self.alone**2 / weight)

    def excess(self, kind: str) -> tuple[float, float]:
        """Return a kind's extra over alone, and its variance."""
        if kind not in self._seen_at:
            return PRIOR_EXCESS, PRIOR_VARIANCE
        row = self._kinds.index(kind) + 1
        alone = self.alone
        excess = self._theta[row] / alone
        variance = (
            self._cov[row][row]
            - 2 * excess * self._cov[row][0]
            + excess**2 * self._cov[0][0]
        ) / alone**2
        return excess, min(max(variance, 1e-4), PRIOR_VARIANCE)

    def age(self, now: float) -> None:
        """Let what was learnt fade towards the prior."""
        if now <= self._at:
            return
        kept = 0.5 ** ((now - self._at) / self._half_life_s)
        alone = self.alone
        for i in range(len(self._theta)):
            for j in range(len(self._theta)):
                self._cov[i][j] *= (kept if i else 1.0) * (kept if j else 1.0)
        for row in range(1, len(self._theta)):
            prior = min(self._theta[row], PRIOR_EXCESS * alone)
            self._theta[row] = prior + kept * (self._theta[row] - prior)
            self._cov[row][row] += (1 - kept**2) * PRIOR_VARIANCE * alone**2
        if self._cov[0][0] < _ALONE_VARIANCE * alone**2:
            self._cov[0][0] += _ALONE_DRIFT * (now - self._at) * alone**2
        self._at = now

    def _update(self, x: list[float], y: float, noise: float) -> None:
        """Take one measurement ``y = x . theta`` with a variance.

        What it may change is bounded (Huber, "Robust Estimation of a Location
        Parameter"): else one wild reading makes suspects of all that ran.
        """
        size = range(len(x))
        px = [sum(self._cov[i][j] * x[j] for j in size) for i in size]
        spread = max(0.0, sum(x[i] * px[i] for i in size)) + noise
        error = y - sum(x[i] * self._theta[i] for i in size)
        limit = _OUTLIER * sqrt(spread)
        error = min(max(error, -limit), limit)
        for i in size:
            gain = px[i] / spread
            self._theta[i] += gain * error
            for j in size:
                self._cov[i][j] -= gain * px[j]
        self._rule_out_gains()

    def _rule_out_gains(self) -> None:
        """Bring coefficients below 0 back to it, the others with them.

        Batch work makes no service faster. When a service was slow from the first
        reading on, the fit may take that for its latency alone, and all kinds for
        a help; one would see a slowed service and no throttle. The projection is
        that of D. Simon, "Kalman Filtering with State Constraints".
        """
        for row in range(1, len(self._theta)):
            below = self._theta[row]
            if below >= 0.0 or self._cov[row][row] <= 0.0:
                continue
            for i in range(len(self._theta)):
                self._theta[i] -= self._cov[i][row] / self._cov[row][row] * below

    def _rescale(self, alone: float) -> None:
        """Start from the first reading."""
        self._theta = [self._theta[0]] + [PRIOR_EXCESS * alone for _ in self._kinds]
        self._theta[0] = alone
        self._cov = [[value * alone**2 for value in row] for row in self._cov]
        self._empty = False

    def _require(self, kind: str, now: float) -> int:
        """Return a kind's row, added with its prior where it is new."""
        if kind not in self._seen_at:
            if len(self._kinds) >= _KIND_LIMIT:
                self._remove(min(self._kinds, key=lambda k: self._seen_at[k]))
            self._kinds.append(kind)
            alone = self.alone
            self._theta.append(PRIOR_EXCESS * alone)
            for row in self._cov:
                row.append(0.0)
            self._cov.append([0.0] * len(self._theta))
            self._cov[-1][-1] = PRIOR_VARIANCE * alone**2
        self._seen_at[kind] = now
        return self._kinds.index(kind) + 1

    def _remove(self, kind: str) -> None:
        row = self._kinds.index(kind) + 1
        del self._kinds[row - 1], self._theta[row], self._cov[row]
        del self._seen_at[kind]
        for other in self._cov:
            del other[row]
