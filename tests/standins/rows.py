"""A transactional row store in memory, with the faults of a real one."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import StoreUnavailableError, StoreUncertainError
from pistachiodeal.jobs.rows import UNDIVIDED_PARTITION, find_partition
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
)

Key = tuple[str, str]
# The store refuses a transaction when more than this waits in its partition.
MAX_QUEUE_S = 1.0


@dataclass
class StoreFaults:
    """What goes wrong at the moment.

    :param down: every call is refused; nothing is done.
    :param busy: transactions are refused, over their rate; reads are answered.
    :param silent: no call is answered, or carried out.
    :param lost: share of transactions that are done and not answered.
    :param late: share that are not answered and done ``late_s`` later, if their
        conditions still hold then.
    :param slow_s: time of each call.
    :param slow_reads: more time of each read, by table.
    :param transaction_s: time of each transaction beside it; those of one partition
        wait for each other.
    """

    down: bool = False
    busy: bool = False
    silent: bool = False
    lost: float = 0.0
    late: float = 0.0
    late_s: float = 1.0
    slow_s: float = 0.001
    slow_reads: dict[str, float] = field(default_factory=dict)
    transaction_s: float = 0.0


@dataclass
class RowsState:
    """What the store keeps; shared by all its clients.

    :ivar transactions: how many were applied.
    :ivar commits: calls to apply one, whatever became of them.
    :ivar refused: calls refused because too much waited in their partition.
    :ivar undivided: rows of the jobs table in their old partition.
    :ivar busy_until: end of the last transaction that waits, by partition.
    """

    version: int = 0
    rows: dict[Key, StoredRow] = field(default_factory=dict)
    changes: list[tuple[str, StoredRow]] = field(default_factory=list)
    oldest: int = 0
    faults: StoreFaults = field(default_factory=StoreFaults)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    transactions: int = 0
    commits: int = 0
    refused: int = 0
    undivided: dict[Key, StoredRow] = field(default_factory=dict)
    busy_until: dict[str, float] = field(default_factory=dict)

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction if its conditions hold."""
        found = {}
        holds = True
        for condition in transaction.conditions:
            row = self.rows.get((condition.table, condition.key))
            if row is not None:
                found[condition.table, condition.key] = row
            holds &= (row.version if row else 0) == condition.version
        if not holds:
            return TransactionResult(False, 0, found)
        self.version += 1
        self.transactions += 1
        for write in transaction.writes:
            key = (write.table, write.key)
            removed = write.value is None
            row = StoredRow(write.key, write.value or b"", self.version, removed)
            rows = self.rows
            if write.partition == UNDIVIDED_PARTITION:
                rows = self.undivided
            if removed:
                rows.pop(key, None)
            else:
                rows[key] = row
            self.changes.append((write.table, row))
        return TransactionResult(True, self.version)

    def drop_history(self) -> None:
        """Forget all changes, as after a compaction."""
        self.changes.clear()
        self.oldest = self.version


class MemoryRows:
    """One process's client of the store; its own way there may be cut.

    :ivar cut: whether this client's calls get no answer.
    """

    def __init__(self, state: RowsState) -> None:
        self._state = state
        self.cut = False

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """See ``RowStore``."""
        state = self._state
        state.commits += 1
        await self._simulate_call("commit")
        if state.faults.busy:
            raise StoreUnavailableError("busy", step="commit")
        draw = state.rng.random()
        if draw < state.faults.late:
            await curio.spawn(self._apply_late, transaction, daemon=True)
            raise StoreUncertainError("late", step="commit")
        await self._wait_for_earlier(transaction)
        result = state.apply(transaction)
        if draw < state.faults.late + state.faults.lost:
            raise StoreUncertainError("lost", step="commit")
        return result

    async def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        limit: int = 0,
        partition: str = "",
    ) -> RowPage:
        """See ``RowStore``."""
        await self._simulate_call("read")
        state = self._state
        await curio.sleep(state.faults.slow_reads.get(table, 0.0))
        wanted = partition or find_partition(table, start)
        source = state.undivided if wanted == UNDIVIDED_PARTITION else state.rows
        keys = sorted(
            key
            for one, key in source
            if one == table
            and key >= start
            and (not end or key < end)
            and wanted in (UNDIVIDED_PARTITION, find_partition(table, key))
        )
        rows = tuple(source[table, key] for key in keys)
        page_size = limit or 500
        return RowPage(rows[:page_size], state.version, len(rows) > page_size)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """See ``RowStore``."""
        waited = 0.0
        while True:
            await self._simulate_call("follow")
            state = self._state
            if after < state.oldest:
                raise HistoryLostError(step="follow")
            rows = tuple(
                row
                for one, row in state.changes
                if one == table and row.version > after
            )
            if rows or waited >= wait_s:
                return RowPage(rows, state.version)
            await curio.sleep(0.005)
            waited += 0.005

    async def _simulate_call(self, step: str) -> None:
        faults = self._state.faults
        await curio.sleep(faults.slow_s)
        if self.cut or faults.silent:
            await curio.sleep(0.2)
            raise StoreUncertainError("silent", step=step)
        if faults.down:
            raise StoreUnavailableError("down", step=step)

    async def _wait_for_earlier(self, transaction: Transaction) -> None:
        """Wait for the transactions before it in its partition, and do it.

        It is done also if the caller gives up meanwhile, as at a real store.
        """
        state, took_s = self._state, self._state.faults.transaction_s
        if not took_s:
            return
        parts = {
            one.partition or find_partition(one.table, one.key)
            for one in transaction.writes
        }
        assert len(parts) == 1, f"a transaction over the partitions {parts}"
        [partition] = parts
        now = read_boot_clock()
        begins_at = max(now, state.busy_until.get(partition, 0.0))
        if begins_at - now > MAX_QUEUE_S:
            state.refused += 1
            raise StoreUnavailableError("too much waits", step="commit")
        state.busy_until[partition] = begins_at + took_s
        await curio.sleep(begins_at + took_s - now)

    async def _apply_late(self, transaction: Transaction) -> None:
        await curio.sleep(self._state.faults.late_s)
        self._state.apply(transaction)
