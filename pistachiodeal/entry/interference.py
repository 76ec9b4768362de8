"""Shares between agents the measured interference of tasks with services."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pistachiodeal.wire.messages import Evidence, PairEvidence

HALF_LIFE_S = 600.0
PAIR_LIMIT = 512
RECENT_LIMIT = 4096
KNOWN_AGENTS_LIMIT = 10_000
MIN_WEIGHT_MILLI = 1


@dataclass(frozen=True, slots=True)
class _Item:
    node: str
    pair: PairEvidence


@dataclass(slots=True)
class _Total:
    """Exponentially decaying sum of a pair's evidence, in thousandths.

    :ivar at: monotonic time up to which the sums have been decayed.
    """

    at: float
    slowdown: float = 0.0
    weight: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.slowdown *= factor
        self.weight *= factor
        self.at = now

    def add(self, pair: PairEvidence, now: float) -> None:
        self.decay(now)
        self.slowdown += pair.slowdown_sum_milli
        self.weight += pair.weight_milli


class InterferenceRelay:
    """Collects evidence from agents and forwards it to all other agents.

    An agent must not receive its own evidence: it would count it twice, and
    again in each round, until one early measurement outweighed all later ones.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._recent: deque[_Item] = deque(maxlen=RECENT_LIMIT)
        self._totals: dict[tuple[str, str], _Total] = {}
        self._incarnations: dict[str, int] = {}

    def accept(self, node: str, evidence: Evidence) -> None:
        """Add an agent's new evidence."""
        now = self._clock()
        for pair in evidence.pairs[:PAIR_LIMIT]:
            self._recent.append(_Item(node, pair))
            self._add_total(pair, now)

    def build_initial(self, node: str, incarnation: int) -> Evidence | None:
        """Return all known evidence for an agent that has just started.

        :param incarnation: an agent that reconnects with the same incarnation
            gets None.
        """
        if self._incarnations.get(node) == incarnation:
            return None
        if len(self._incarnations) >= KNOWN_AGENTS_LIMIT:
            self._incarnations.clear()
        self._incarnations[node] = incarnation
        now = self._clock()
        for total in self._totals.values():
            total.decay(now)
        return _build_evidence(
            PairEvidence(*key, int(total.slowdown), int(total.weight))
            for key, total in self._totals.items()
        )

    def build_for(self, node: str) -> Evidence | None:
        """Return what agents other than this one sent since the last round."""
        sums: dict[tuple[str, str], tuple[int, int]] = {}
        for item in self._recent:
            if item.node == node:
                continue
            pair = item.pair
            key = (pair.service, pair.kind)
            slowdown, weight = sums.get(key, (0, 0))
            slowdown += pair.slowdown_sum_milli
            sums[key] = (slowdown, weight + pair.weight_milli)
        return _build_evidence(PairEvidence(*key, *sum_) for key, sum_ in sums.items())

    def end_round(self) -> None:
        """Drop the evidence that was forwarded in this round."""
        self._recent.clear()

    def _add_total(self, pair: PairEvidence, now: float) -> None:
        key = (pair.service, pair.kind)
        total = self._totals.get(key)
        if total is None:
            if len(self._totals) >= PAIR_LIMIT:
                self._drop_oldest()
            total = self._totals[key] = _Total(now)
        total.add(pair, now)

    def _drop_oldest(self) -> None:
        del self._totals[min(self._totals, key=lambda key: self._totals[key].at)]


def _build_evidence(pairs: Iterable[PairEvidence]) -> Evidence | None:
    kept = [pair for pair in pairs if pair.weight_milli >= MIN_WEIGHT_MILLI]
    return Evidence(tuple(kept[:PAIR_LIMIT])) if kept else None


def create_interference_relay(
    clock: Callable[[], float] = time.monotonic,
) -> InterferenceRelay:
    """Return a relay without evidence."""
    return InterferenceRelay(clock)
