"""An in-memory transactional row store with the faults of a real one."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import DEFAULT_ROW_BYTES
from pistachiodeal.exceptions import (
    StoreRejectedError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.jobs.rows import UNDIVIDED_PARTITION, find_partition
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
)

Key = tuple[str, str]
# The store refuses a transaction if its partition's queue is longer than this.
MAX_QUEUE_S = 1.0
# Limits of one transaction: conditions and writes, and the bytes of all values, which
# grow by a third on the wire.
MAX_ENTRIES = 100
MAX_BYTES = 750_000


@dataclass
class StoreFaults:
    """The faults in force.

    :param down: every call is refused and not executed.
    :param busy: transactions are refused as over their rate; reads are answered.
    :param silent: no call is answered or executed.
    :param lost: share of transactions that are applied and not answered.
    :param late: share of transactions that are not answered and applied ``late_s``
        later, if their conditions still hold then.
    :param slow_s: duration of each call in seconds.
    :param slow_reads: additional duration of each read in seconds, by table.
    :param transaction_s: additional duration of each transaction in seconds; those of
        one partition wait for each other.
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
    """The store's contents and counters, shared by all its clients.

    :ivar oldest: version up to which the history of changes was dropped.
    :ivar transactions: number of applied transactions.
    :ivar commits: number of calls to commit, whatever their result.
    :ivar refused: number of calls refused because their partition's queue was too long.
    :ivar undivided: rows of the jobs table in their old partition.
    :ivar busy_until: when the last queued transaction ends, by partition.
    :ivar row_bytes: largest row that the store accepts, bytes.
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
    row_bytes: int = DEFAULT_ROW_BYTES

    def check_limits(self, transaction: Transaction) -> None:
        """Refuse a transaction that exceeds a limit of the store."""
        values = [write.value or b"" for write in transaction.writes]
        entries = len(transaction.conditions) + len(values)
        too_large = any(len(value) > self.row_bytes for value in values)
        if too_large or entries > MAX_ENTRIES or sum(map(len, values)) > MAX_BYTES:
            raise StoreRejectedError("status 400", step="commit")

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
        """Drop the history of changes, as a compaction does."""
        self.changes.clear()
        self.oldest = self.version


class MemoryRows:
    """The store client of one process.

    :ivar cut: whether this client is cut off, so its calls get no answer.
    """

    def __init__(self, state: RowsState) -> None:
        self._state = state
        self.cut = False

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """See ``RowStore``."""
        state = self._state
        state.commits += 1
        await self._simulate_call("commit")
        state.check_limits(transaction)
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
        *,
        on_progress: Callable[[int], None] | None = None,
    ) -> RowPage:
        """See ``RowStore``."""
        await self._simulate_call("read")
        if on_progress is not None:
            on_progress(0)
        state = self._state
        await curio.sleep(state.faults.slow_reads.get(table, 0.0))
        wanted = partition or find_partition(table, start)
        source = state.undivided if wanted == UNDIVIDED_PARTITION else state.rows
        keys = sorted(
            key
            for row_table, key in source
            if row_table == table
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
                for row_table, row in state.changes
                if row_table == table and row.version > after
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
        """Wait for the earlier transactions of the partition, and for this one.

        The transaction keeps its place in the queue even if the caller gives up
        meanwhile, as in a real store.
        """
        state, took_s = self._state, self._state.faults.transaction_s
        if not took_s:
            return
        parts = {
            write.partition or find_partition(write.table, write.key)
            for write in transaction.writes
        }
        assert len(parts) == 1, f"a transaction over the partitions {parts}"
        [partition] = parts
        now = read_boot_clock()
        begins_at = max(now, state.busy_until.get(partition, 0.0))
        if begins_at - now > MAX_QUEUE_S:
            state.refused += 1
            raise StoreUnavailableError(
                "the queue of the partition is too long", step="commit"
            )
        state.busy_until[partition] = begins_at + took_s
        await curio.sleep(begins_at + took_s - now)

    async def _apply_late(self, transaction: Transaction) -> None:
        await curio.sleep(self._state.faults.late_s)
        self._state.apply(transaction)
