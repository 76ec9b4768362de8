"""Recent request times of a service: the mean, and percentiles for the guard."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable

MAX_SAMPLES = 2_000
MEAN_WEIGHT = 0.1


class RecentLatency:
    """Request times in a sliding window of at most :data:`MAX_SAMPLES` samples.

    :param window_s: age at which a sample is dropped, seconds.
    """

    def __init__(
        self, window_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, seconds: float) -> None:
        """Add a sample, measured now."""
        self._samples.append((self._clock(), seconds))

    def estimate(self, percentile: float) -> float:
        """Return the time at a percentile (nearest rank), 0.0 without samples.

        :param percentile: over 0 and below 100.
        """
        self._drop_old()
        if not self._samples:
            return 0.0
        times = sorted(seconds for _, seconds in self._samples)
        rank = math.ceil(percentile / 100 * len(times))
        return times[max(rank, 1) - 1]

    def _drop_old(self) -> None:
        limit = self._clock() - self._window_s
        while self._samples and self._samples[0][0] < limit:
            self._samples.popleft()


class ServiceTime:
    """Exponentially weighted mean of the runners' time per request."""

    def __init__(self) -> None:
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Return the mean in seconds, 0.0 before the first sample."""
        return self._mean

    def record(self, seconds: float) -> None:
        """Add the time of a successful request."""
        if self._mean == 0.0:
            self._mean = seconds
            return
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    def record_failure(self, seconds: float) -> None:
        """Add the time of a request that failed.

        A runner that fails every request at once would otherwise appear to be the
        fastest and attract work, so a failure may only increase the mean.
        """
        if seconds > self._mean:
            self.record(seconds)
