"""Polls a condition until it is true, with a time limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

LIMIT_S = 30.0
POLL_S = 0.01


class NotReachedError(AssertionError):
    """The condition did not become true within the limit."""


def wait_until(
    condition: Callable[[], T | None], what: str, limit_s: float = LIMIT_S
) -> T:
    """Poll ``condition`` and return its first true value.

    :param what: description of the condition, for the error message.
    :raises NotReachedError: the limit has passed; the message has the last value.
    """
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise NotReachedError(f"not within {limit_s} s: {what}; last: {value!r}")
        time.sleep(POLL_S)
