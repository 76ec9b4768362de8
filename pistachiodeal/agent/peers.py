"""Entries as an agent sees them: their links, and the pauses between dials."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from pistachiodeal.wire.link import Link

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


class Pauses:
    """Growing pauses between dials, with jitter.

    After an entry's death, or a store outage, all agents dial at the same
    moment; without jitter they would do so again and again in one wave.
    """

    def __init__(self, choose: Callable[[float, float], float] | None = None) -> None:
        self._choose = choose or random.uniform
        self._limit = FIRST_PAUSE_S

    def reset(self) -> None:
        """Start with short pauses again."""
        self._limit = FIRST_PAUSE_S

    def take(self) -> float:
        """Return the next pause, in seconds."""
        pause = self._choose(0.0, self._limit)
        self._limit = min(self._limit * 2, MAX_PAUSE_S)
        return pause


@dataclass(slots=True, eq=False)
class EntryPeer:
    """One entry's address, and the state of the link to it.

    :param failures: dials that failed in a row.
    :param avoid_until: the entry said goodbye; another one is chosen until then.
    :param leaving_since: when the link was found to be no longer wanted.
    """

    address: str
    link: Link | None = None
    task: curio.Task | None = None
    failures: int = 0
    avoid_until: float = 0.0
    leaving_since: float | None = None
    pauses: Pauses = field(default_factory=Pauses)
