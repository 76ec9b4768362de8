"""Chooses the Retry-After value for rejected callers.

The store can be unavailable for 4 to 9 s while callers retry only a few times. With a
fixed delay of one second they run out of attempts before the store is back. The
remaining length of an outage is unknown; where lengths vary a lot, the best estimate is
the time that it has lasted so far. With that, four attempts cover more than 8 s. Under
overload it is the predicted time until there is room.
"""

from __future__ import annotations

import random

# The HTTP header holds whole seconds, and an early first retry elsewhere is worthwhile.
MIN_RETRY_AFTER_S = 1.0
# With a longer delay, callers would still be waiting long after the store is back.
MAX_RETRY_AFTER_S = 8.0
# Retries of callers that were rejected together are spread over this share of the
# delay, so that they do not arrive in one wave.
JITTER = 0.3


def choose_retry_after_s(expected_s: float, rng: random.Random) -> float:
    """Return the delay in seconds after which a caller should retry.

    :param expected_s: how long the cause of the rejection is expected to last, seconds.
    """
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s))
    return wait_s * rng.uniform(1.0, 1.0 + JITTER)
