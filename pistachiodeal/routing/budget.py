"""Retry budgets limit retries to a share of live traffic, not to a count per request.

Source: Finagle's ``RetryBudget`` (Twitter, Finagle User Guide, "Retries").
"""

from __future__ import annotations

import time
from collections.abc import Callable

RESERVE = 10.0
RESERVE_PER_S = 1.0
LIMIT = 100.0


class RetryBudget:
    """Holds the retries that may still be made for one service.

    Every request adds ``share`` of a retry, up to a limit. A small reserve that
    refills slowly allows retries for a service with little traffic.

    :param share: retries per request, 0 for none.
    """

    def __init__(
        self, share: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._share = share
        self._clock = clock
        self._balance = RESERVE
        self._refilled_at = clock()

    @property
    def share(self) -> float:
        """Return the retries per request."""
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        self._share = share

    def record_request(self) -> None:
        """Add a new request's share; its retries don't count as requests."""
        if self._balance < LIMIT:
            self._balance += self._share

    def try_spend(self) -> bool:
        """Withdraw one retry from the budget; return whether one was available."""
        if self._share <= 0.0:
            return False
        self._refill()
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock()
        added = (now - self._refilled_at) * RESERVE_PER_S
        self._refilled_at = now
        if self._balance < RESERVE:
            self._balance = min(RESERVE, self._balance + added)


def create_retry_budget(
    share: float, clock: Callable[[], float] = time.monotonic
) -> RetryBudget:
    """Return a budget with a full reserve."""
    return RetryBudget(share, clock)
