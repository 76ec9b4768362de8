"""Whether the holder of a claim may still say what became of it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from pistachiodeal.claims.rows import ClaimRow

SEEN_LIMIT = 10_000


class ClaimantWatch:
    """Remembers since when this process has seen other entries' open claims."""

    def __init__(
        self, node: str, claim_life_s: float, clock: Callable[[], float]
    ) -> None:
        self._node = node
        self._claim_life_s = claim_life_s
        self._clock = clock
        self._first_seen: OrderedDict[str, float] = OrderedDict()

    def may_be_alive(self, row: ClaimRow) -> bool:
        """Tell whether asking again later may bring an answer."""
        if row.node == self._node:
            # This process knows its own claims, and an earlier one is gone.
            return False
        now = self._clock()
        first = self._first_seen.setdefault(row.nonce, now)
        if len(self._first_seen) > SEEN_LIMIT:
            self._first_seen.popitem(last=False)
        return now - first < self._claim_life_s


def create_claimant_watch(
    node: str, claim_life_s: float, clock: Callable[[], float]
) -> ClaimantWatch:
    """Return a watch that has seen nothing yet."""
    return ClaimantWatch(node, claim_life_s, clock)
