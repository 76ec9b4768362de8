"""When callers that were turned away come back."""

from __future__ import annotations

import random
from math import ceil

from pistachiodeal.scheduling.retry_after import choose_retry_after_s

TRIES = 5
OUTAGES_S = (2.0, 4.0, 5.6, 7.0, 9.0)


def count_served(outage_s: float, *, fixed_s: float = 0.0) -> int:
    """Return how many of 100 callers, who come during an outage, are served."""
    dice = random.Random(7)
    served = 0
    for number in range(100):
        at = number * outage_s / 100
        for _ in range(TRIES):
            if at >= outage_s:
                served += 1
                break
            at += ceil(fixed_s or choose_retry_after_s(at, dice))
    return served


def test_callers_outlast_an_outage_of_the_usual_length():
    """Symptom: callers give up although the store is back within their patience.

    Sequence: the store is away for 2 to 9 s; callers try five times. Cause: told to
    come back each second, they have used up their tries after 4 s.
    """
    told = [count_served(outage_s) for outage_s in OUTAGES_S]
    each_second = [count_served(outage_s, fixed_s=1.0) for outage_s in OUTAGES_S]
    assert told == [100] * len(OUTAGES_S)
    assert each_second[-1] < 60


def test_callers_turned_away_together_do_not_return_as_one_wave():
    """Symptom: the store is back, and all callers come in the same moment."""
    dice = random.Random(7)
    seconds = {ceil(choose_retry_after_s(6.0, dice)) for _ in range(200)}
    assert len(seconds) >= 2
