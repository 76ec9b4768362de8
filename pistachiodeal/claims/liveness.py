"""Decides whether the holder of a claim may still record its outcome."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from pistachiodeal.claims.rows import ClaimRow

MAX_SEEN_CLAIMS = 10_000


class ClaimantLiveness:
    """Tracks when this process first saw each open claim of another entry."""

    def __init__(
        self, node: str, claim_ttl_s: float, clock: Callable[[], float]
    ) -> None:
        self._node = node
        self._claim_ttl_s = claim_ttl_s
        self._clock = clock
        self._first_seen: OrderedDict[str, float] = OrderedDict()

    def may_be_alive(self, row: ClaimRow) -> bool:
        """Return whether the holder may still record an outcome for this claim."""
        if row.node == self._node:
            # The open claims of this process are in memory, so this row is from an
            # earlier process of this node, which no longer runs.
            return False
        now = self._clock()
        first = self._first_seen.setdefault(row.nonce, now)
        if len(self._first_seen) > MAX_SEEN_CLAIMS:
            self._first_seen.popitem(last=False)
        return now - first < self._claim_ttl_s


def create_claimant_liveness(
    node: str, claim_ttl_s: float, clock: Callable[[], float]
) -> ClaimantLiveness:
    """Return a tracker that has seen no claims yet.

    :param node: name of this entry.
    :param claim_ttl_s: seconds after which an open claim counts as abandoned.
    """
    return ClaimantLiveness(node, claim_ttl_s, clock)
