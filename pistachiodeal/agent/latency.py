"""Recent times of a service: their mean, and their quantiles for the guard."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable

MAX_SAMPLES = 2_000
MEAN_WEIGHT = 0.1


class RecentLatency:
    """The times of the last seconds, at most :data:`MAX_SAMPLES` of them.

    :param window_s: age at which a time is dropped, seconds.
    """

    def __init__(
        self, window_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, seconds: float) -> None:
        """Add a time that was measured now."""
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
    """Moving mean of the time that runners take for one request."""

    def __init__(self) -> None:
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Return the mean in seconds, 0.0 before the first sample."""
        return self._mean

    def record(self, seconds: float) -> None:
        """Add the time of a request that was answered."""
        if self._mean == 0.0:
            self._mean = seconds
            return
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    def record_failure(self, seconds: float) -> None:
        """Add the time of a request that failed.

        A runner that fails everything at once would look like the fastest and
        draw work; so a failure may only make the mean larger.
        """
        if seconds > self._mean:
            self.record(seconds)
