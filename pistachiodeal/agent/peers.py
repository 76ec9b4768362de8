"""The state of an agent's link to each entry, and the backoff between dials."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from pistachiodeal.wire.link import Link

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


class DialBackoff:
    """Exponential backoff between dials, with jitter.

    After the failure of an entry or a store outage, all agents dial at the same
    time. Without jitter, their retries would stay synchronised.
    """

    def __init__(self, choose: Callable[[float, float], float] | None = None) -> None:
        self._choose = choose or random.uniform
        self._limit = FIRST_BACKOFF_S

    def reset(self) -> None:
        """Return to the shortest delay."""
        self._limit = FIRST_BACKOFF_S

    def next_delay(self) -> float:
        """Return the next delay, in seconds."""
        delay = self._choose(0.0, self._limit)
        self._limit = min(self._limit * 2, MAX_BACKOFF_S)
        return delay


@dataclass(slots=True, eq=False)
class EntryPeer:
    """The address of an entry, and the state of the link to it.

    :param failures: number of consecutive failed dials.
    :param avoid_until: time until which a substitute is selected, because the
        entry sent a goodbye; monotonic clock, seconds.
    :param retiring_since: when the agent began to retire the link, same clock.
    """

    address: str
    link: Link | None = None
    task: curio.Task | None = None
    failures: int = 0
    avoid_until: float = 0.0
    retiring_since: float | None = None
    backoff: DialBackoff = field(default_factory=DialBackoff)
