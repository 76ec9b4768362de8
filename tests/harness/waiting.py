"""Waits on events: polls a condition, with a generous limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

LIMIT_S = 30.0
POLL_S = 0.01


class NotReachedError(AssertionError):
    """What was waited for did not come about within the limit."""


def wait_until(
    condition: Callable[[], T | None], what: str, limit_s: float = LIMIT_S
) -> T:
    """Return the first value of ``condition`` that is true.

    :param what: what is waited for, for the error.
    :raises NotReachedError: it did not come about; the last value is told.
    """
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise NotReachedError(f"not within {limit_s} s: {what}; last: {value!r}")
        time.sleep(POLL_S)
