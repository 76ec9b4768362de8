"""Retry-After values of callers that are rejected during an outage."""

from __future__ import annotations

import random
from math import ceil

from pistachiodeal.scheduling.retry_after import choose_retry_after_s

ATTEMPTS = 5
OUTAGES_S = (2.0, 4.0, 5.6, 7.0, 9.0)


def count_served(outage_s: float, *, fixed_s: float = 0.0) -> int:
    """Return how many of 100 callers that arrive during an outage are served."""
    rng = random.Random(7)
    served = 0
    for number in range(100):
        at = number * outage_s / 100
        for _ in range(ATTEMPTS):
            if at >= outage_s:
                served += 1
                break
            at += ceil(fixed_s or choose_retry_after_s(at, rng))
    return served


def test_callers_outlast_an_outage_of_typical_length():
    """Guards against callers that run out of attempts before the store is back.

    The store is unavailable for 2 to 9 s, and callers try five times. With a delay of
    one second, they have used up their attempts after 4 s.
    """
    adaptive = [count_served(outage_s) for outage_s in OUTAGES_S]
    fixed = [count_served(outage_s, fixed_s=1.0) for outage_s in OUTAGES_S]
    assert adaptive == [100] * len(OUTAGES_S)
    assert fixed[-1] < 60


def test_callers_rejected_together_do_not_return_in_one_wave():
    """Guards against retries of all callers at the moment the store is back."""
    rng = random.Random(7)
    seconds = {ceil(choose_retry_after_s(6.0, rng)) for _ in range(200)}
    assert len(seconds) >= 2
