"""Transactions that wait for the result of a group commit."""

from __future__ import annotations

from collections.abc import Sequence

import curio
import logbook

from pistachiodeal.exceptions import StoreError, StoreUncertainError
from pistachiodeal.store.protocols import CommitResult, Row, Write

log = logbook.Logger("pistachiodeal.store")


class PendingTransaction:
    """One small transaction and, once it is known, its result.

    :ivar sent: a commit that includes it was sent to the table; until then it can
        be withdrawn without effect.
    """

    def __init__(self, writes: tuple[Write, ...]) -> None:
        self._done = curio.Event()
        self._result: CommitResult | None = None
        self._error: StoreError | None = None
        self.writes = writes
        self.sent = False
        self.withdrawn = False

    @property
    def answered(self) -> bool:
        """Tell whether :meth:`wait` returns at once."""
        return self._done.is_set()

    @property
    def rows(self) -> int:
        """Return how many rows this transaction adds to a commit."""
        return len(self.writes)

    @property
    def keys(self) -> frozenset[str]:
        """Return the keys of its rows."""
        return frozenset(write.key for write in self.writes)

    def withdraw(self) -> bool:
        """Prevent it from being sent; return False if it was sent already."""
        self.withdrawn = not self.sent
        return self.withdrawn

    async def wait(self) -> CommitResult:
        """Return the result.

        :raises StoreUnavailableError: it took no effect and never will.
        :raises StoreUncertainError: it may have taken effect, or still may.
        """
        await self._done.wait()
        if self._error is not None:
            raise self._error
        assert self._result is not None
        return self._result

    async def resolve(self, result: CommitResult) -> None:
        """Set the result, unless the transaction has been answered."""
        if self.answered:
            return
        self._result = result
        await self._done.set()

    async def reject(self, error: StoreError) -> None:
        """Set the error, unless the transaction has been answered."""
        if self.answered:
            return
        self._error = error
        await self._done.set()


def join_writes(transactions: Sequence[PendingTransaction]) -> list[Write]:
    """Return the writes of all transactions as one list."""
    return [write for transaction in transactions for write in transaction.writes]


def is_applied(transaction: PendingTransaction, rows: dict[str, Row]) -> bool:
    """Tell whether the table holds every value that a transaction writes."""
    for write in transaction.writes:
        if write.check_only or write.value is None:
            continue
        row = rows.get(write.key)
        if row is None or row.value != write.value:
            return False
    return True


def build_result(transaction: PendingTransaction, rows: dict[str, Row]) -> CommitResult:
    """Return an applied transaction's result from the rows that were read back."""
    return CommitResult(
        versions={key: rows[key].version for key in transaction.keys if key in rows}
    )


async def resolve_all(
    transactions: Sequence[PendingTransaction], result: CommitResult
) -> None:
    """Answer each transaction with its own part of a commit's result."""
    for transaction in transactions:
        own = {k: v for k, v in result.versions.items() if k in transaction.keys}
        await transaction.resolve(CommitResult(versions=own))


async def reject_all(
    transactions: Sequence[PendingTransaction], error: StoreError | None
) -> None:
    """Answer all transactions with the same error."""
    if not transactions:
        return
    cause = error or StoreUncertainError("commit result unknown", step="group.commit")
    log.debug("platform: {} grouped transactions failed: {}", len(transactions), cause)
    for transaction in transactions:
        await transaction.reject(cause)
