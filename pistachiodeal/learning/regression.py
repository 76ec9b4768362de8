"""Linear regression of one service's request time on the kinds that run beside it.

``signal = baseline + sum(share[kind] * extra[kind])``, fitted online by a Kalman filter
(Kalman, "A New Approach to Linear Filtering and Prediction Problems"), which is
regularised least squares with exponential forgetting. The full covariance is kept:
kinds that always run together cannot be distinguished, and a filter with only a
variance for each kind would become certain of a wrong split. The baseline, the time
without batch work, is a coefficient too, since a worker may always have batch work.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import sqrt

PRIOR_EXCESS = 0.5  # an unknown kind that uses the whole worker adds half
PRIOR_VARIANCE = 1.0
_BASELINE_VARIANCE = 0.25
_BASELINE_DRIFT = 4e-7  # variance per second: the baseline follows slow changes
_NOISE_VARIANCE = 0.03  # of a reading of weight 1; readings overlap
# Others learn from different loads and mixes, so the variance of their estimates is
# multiplied by this.
_MERGE_VARIANCE_FACTOR = 2.5
_MIN_BASELINE = 1e-6
_KIND_LIMIT = 24
_OUTLIER = 4.0  # standard deviations


class Regression:
    """Fitted coefficients in the unit of the signal, which must not change."""

    def __init__(self, half_life_s: float, now: float) -> None:
        self._half_life_s = half_life_s
        self._kinds: list[str] = []
        self._seen_at: dict[str, float] = {}
        self._theta = [1.0]
        self._cov = [[_BASELINE_VARIANCE]]
        self._at = now
        self._empty = True

    @property
    def baseline(self) -> float:
        """Return the signal without batch work."""
        return max(self._theta[0], _MIN_BASELINE)

    @property
    def baseline_error(self) -> float:
        """Return the standard error of the signal without batch work."""
        return sqrt(max(0.0, self._cov[0][0]))

    def observe(
        self, shares: Mapping[str, float], signal: float, weight: float, now: float
    ) -> None:
        """Update the fit with one reading.

        :param shares: share of the worker that each kind used.
        :param weight: 1 for a reading of normal accuracy, less for a noisier one.
        """
        self.age(now)
        for kind in shares:
            self._ensure_row(kind, now)
        if self._empty:
            total = sum(shares.values())
            self._rescale(signal / (1.0 + PRIOR_EXCESS * total))
        x = [1.0] + [shares.get(kind, 0.0) for kind in self._kinds]
        noise = _NOISE_VARIANCE * self.baseline**2 / weight
        self._update(x, signal, noise)

    def merge(self, kind: str, excess: float, weight: float, now: float) -> None:
        """Merge an excess that others measured, as a reading of extra over baseline.

        :param weight: inverse of its variance.
        """
        self.age(now)
        row = self._ensure_row(kind, now)
        x = [0.0] * len(self._theta)
        x[0], x[row] = -excess, 1.0
        self._update(x, 0.0, _MERGE_VARIANCE_FACTOR * self.baseline**2 / weight)

    def excess(self, kind: str) -> tuple[float, float]:
        """Return a kind's extra over the baseline, and its variance."""
        if kind not in self._seen_at:
            return PRIOR_EXCESS, PRIOR_VARIANCE
        row = self._kinds.index(kind) + 1
        baseline = self.baseline
        excess = self._theta[row] / baseline
        variance = (
            self._cov[row][row]
            - 2 * excess * self._cov[row][0]
            + excess**2 * self._cov[0][0]
        ) / baseline**2
        return excess, min(max(variance, 1e-4), PRIOR_VARIANCE)

    def age(self, now: float) -> None:
        """Decay the coefficients towards the prior."""
        if now <= self._at:
            return
        kept = 0.5 ** ((now - self._at) / self._half_life_s)
        baseline = self.baseline
        for i in range(len(self._theta)):
            for j in range(len(self._theta)):
                self._cov[i][j] *= (kept if i else 1.0) * (kept if j else 1.0)
        for row in range(1, len(self._theta)):
            prior = min(self._theta[row], PRIOR_EXCESS * baseline)
            self._theta[row] = prior + kept * (self._theta[row] - prior)
            self._cov[row][row] += (1 - kept**2) * PRIOR_VARIANCE * baseline**2
        if self._cov[0][0] < _BASELINE_VARIANCE * baseline**2:
            self._cov[0][0] += _BASELINE_DRIFT * (now - self._at) * baseline**2
        self._at = now

    def _update(self, x: list[float], y: float, noise: float) -> None:
        """Apply one measurement ``y = x . theta`` with a variance.

        Its effect is bounded (Huber, "Robust Estimation of a Location Parameter"):
        otherwise one outlier makes suspects of all kinds that ran.
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
        self._project_to_non_negative()

    def _project_to_non_negative(self) -> None:
        """Project negative coefficients to 0 and adjust the others accordingly.

        Batch work makes no service faster. When a service is slow from its first
        reading on, the fit may take that for its baseline and give all kinds a negative
        extra; the service would stay slow and nothing would be throttled. The
        projection follows D. Simon, "Kalman Filtering with State Constraints".
        """
        for row in range(1, len(self._theta)):
            below = self._theta[row]
            if below >= 0.0 or self._cov[row][row] <= 0.0:
                continue
            for i in range(len(self._theta)):
                self._theta[i] -= self._cov[i][row] / self._cov[row][row] * below

    def _rescale(self, baseline: float) -> None:
        """Initialise the coefficients from the first reading."""
        self._theta = [self._theta[0]] + [PRIOR_EXCESS * baseline for _ in self._kinds]
        self._theta[0] = baseline
        self._cov = [[value * baseline**2 for value in row] for row in self._cov]
        self._empty = False

    def _ensure_row(self, kind: str, now: float) -> int:
        """Return a kind's row; a new kind is added with its prior."""
        if kind not in self._seen_at:
            if len(self._kinds) >= _KIND_LIMIT:
                self._remove(min(self._kinds, key=lambda k: self._seen_at[k]))
            self._kinds.append(kind)
            baseline = self.baseline
            self._theta.append(PRIOR_EXCESS * baseline)
            for row in self._cov:
                row.append(0.0)
            self._cov.append([0.0] * len(self._theta))
            self._cov[-1][-1] = PRIOR_VARIANCE * baseline**2
        self._seen_at[kind] = now
        return self._kinds.index(kind) + 1

    def _remove(self, kind: str) -> None:
        row = self._kinds.index(kind) + 1
        del self._kinds[row - 1], self._theta[row], self._cov[row]
        del self._seen_at[kind]
        for other in self._cov:
            del other[row]
