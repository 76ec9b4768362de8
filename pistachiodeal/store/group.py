"""Group commit: many small, independent transactions in one table commit."""

from __future__ import annotations

import contextlib
import random
from collections import deque
from collections.abc import Sequence

import curio

from pistachiodeal.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.store.pending_transactions import (
    PendingTransaction,
    build_result,
    is_applied,
    join_writes,
    reject_all,
    resolve_all,
)
from pistachiodeal.store.protocols import ANY_VERSION, CommitResult, Table, Write
from pistachiodeal.task_groups import run_until_first_exit

CONCURRENT_COMMITS = 4
QUEUE_LIMIT = 10_000
READ_BACK_TRIES = 3
PAUSE_S = 0.05


class GroupCommitter:
    """Combines small transactions into table commits and answers each separately.

    Every write must be conditional, and every transaction must write at least
    one value that no other transaction writes (for example with a nonce): reading
    that value back shows whether a commit whose answer was lost took effect.
    """

    def __init__(
        self, table: Table, group_s: float, group_rows: int, pause_s: float
    ) -> None:
        self._table = table
        self._group_s = group_s
        self._group_rows = group_rows
        self._pause_s = pause_s
        self._queue: deque[PendingTransaction] = deque()
        self._not_empty = curio.Event()
        self._gather_lock = curio.Lock()

    @property
    def queued(self) -> int:
        """Return the number of transactions that wait to be sent."""
        return len(self._queue)

    async def submit(self, writes: Sequence[Write]) -> PendingTransaction:
        """Queue a small transaction and return its handle.

        :raises StoreUnavailableError: the queue is full.
        """
        check_transaction(writes, self._group_rows)
        if len(self._queue) >= QUEUE_LIMIT:
            raise StoreUnavailableError("commit queue is full", step="group.submit")
        transaction = PendingTransaction(tuple(writes))
        self._queue.append(transaction)
        try:
            await self._not_empty.set()
        except BaseException:
            # The caller gets no handle, so nobody else could withdraw it.
            transaction.withdraw()
            raise
        return transaction

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        """Commit a small transaction together with others.

        :raises StoreUnavailableError: it took no effect.
        :raises StoreUncertainError: it may have taken effect.
        """
        transaction = await self.submit(writes)
        try:
            return await transaction.wait()
        finally:
            transaction.withdraw()

    async def run(self) -> None:
        """Commit what is queued, until cancelled."""
        await run_until_first_exit(*[self._run_committer] * CONCURRENT_COMMITS)

    async def _run_committer(self) -> None:
        while True:
            batch = await self._gather_batch()
            if batch:
                await self._answer_batch(batch)

    async def _gather_batch(self) -> list[PendingTransaction]:
        async with self._gather_lock:
            await self._not_empty.wait()
            if len(self._queue) < self._group_rows:
                await curio.sleep(self._group_s)
            return self._take_batch()

    def _take_batch(self) -> list[PendingTransaction]:
        """Dequeue a batch for one commit: no key twice, at most ``group_rows`` rows."""
        batch: list[PendingTransaction] = []
        later: list[PendingTransaction] = []
        keys: set[str] = set()
        rows = 0
        while self._queue:
            transaction = self._queue.popleft()
            if transaction.withdrawn:
                continue
            if rows + transaction.rows > self._group_rows:
                later.append(transaction)
                break
            if keys & transaction.keys:
                later.append(transaction)
                continue
            transaction.sent = True
            batch.append(transaction)
            keys |= transaction.keys
            rows += transaction.rows
        self._queue.extendleft(reversed(later))
        if not self._queue:
            self._not_empty.clear()
        return batch

    async def _answer_batch(self, batch: list[PendingTransaction]) -> None:
        try:
            await self._commit_batch(batch)
        finally:
            # A committer that is cancelled or fails would leave its callers waiting
            # for ever. Whether their transactions took effect is unknown.
            for transaction in batch:
                await transaction.reject(
                    StoreUncertainError("commit was interrupted", step="group.commit")
                )

    async def _commit_batch(self, batch: list[PendingTransaction]) -> None:
        pending = list(batch)
        uncertain: StoreError | None = None
        tries = READ_BACK_TRIES
        while pending:
            try:
                result = await self._table.commit(join_writes(pending))
            except StoreUnavailableError as error:
                if uncertain is None:
                    await reject_all(pending, error)
                    return
            except StoreError as error:
                uncertain = error
            else:
                if result.committed:
                    await resolve_all(pending, result)
                    return
                pending = await self._drop_conflicting(pending, result, uncertain)
                continue
            tries -= 1
            with contextlib.suppress(StoreError):
                pending = await self._read_back(pending)
            if tries == 0:
                await reject_all(pending, uncertain)
                return
            if pending:
                await curio.sleep(self._pause_s * random.uniform(0.5, 1.5))

    async def _read_back(
        self, transactions: list[PendingTransaction]
    ) -> list[PendingTransaction]:
        """Read back after a lost answer; return the transactions not yet applied.

        Sent again, a commit that took effect would conflict with its own rows and
        be reported as failed. A row that holds the sender's own nonce shows that it
        took effect. Transactions that are not found are sent again: the conditions
        let only one of the two commits take effect, however late the first one is
        carried out.

        :raises StoreError: the table did not answer.
        """
        keys = [key for transaction in transactions for key in sorted(transaction.keys)]
        rows = await self._table.read(keys)
        remaining = []
        for transaction in transactions:
            if is_applied(transaction, rows):
                await transaction.resolve(build_result(transaction, rows))
            else:
                remaining.append(transaction)
        return remaining

    async def _drop_conflicting(
        self,
        transactions: list[PendingTransaction],
        result: CommitResult,
        uncertain: StoreError | None,
    ) -> list[PendingTransaction]:
        """Answer the transactions whose condition failed; return the others.

        One failed condition fails the whole commit, so without this a single
        repeated key would fail every other caller of the batch.
        """
        conflicts = frozenset(result.conflicts)
        conflicting = [
            transaction for transaction in transactions if transaction.keys & conflicts
        ]
        remaining = [
            transaction
            for transaction in transactions
            if not transaction.keys & conflicts
        ]
        if uncertain is not None and conflicting:
            try:
                conflicting = await self._read_back(conflicting)
            except StoreError:
                await reject_all(conflicting, uncertain)
        for transaction in conflicting:
            own = tuple(sorted(transaction.keys & conflicts))
            await transaction.resolve(CommitResult(conflicts=own))
        if len(remaining) == len(transactions):
            error = StoreUncertainError("conflict on unknown keys", step="group.commit")
            await reject_all(remaining, error)
            return []
        return remaining


def check_transaction(writes: Sequence[Write], limit: int) -> None:
    """Check that the transaction can be read back after a lost answer.

    :raises ValueError: it can't; this is a programming error of the caller.
    """
    if len(writes) > limit:
        raise ValueError("transaction is larger than a group")
    if not any(write.value is not None and not write.check_only for write in writes):
        raise ValueError("transaction writes no value")
    if any(write.expect == ANY_VERSION for write in writes):
        raise ValueError("write is not conditional")


def create_group_committer(
    table: Table, *, group_s: float, group_rows: int, pause_s: float = PAUSE_S
) -> GroupCommitter:
    """Return a group committer; the caller must run :meth:`GroupCommitter.run`.

    :param group_s: seconds to wait for more transactions before a commit.
    :param group_rows: maximum number of rows in one commit.
    :param pause_s: mean pause between two tries after a lost answer, seconds.
    """
    return GroupCommitter(table, group_s, group_rows, pause_s)
