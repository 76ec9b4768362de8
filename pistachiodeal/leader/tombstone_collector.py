"""Removes the rows of cancellations to which no job can belong any more."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobs.rows import JOBS_TABLE, find_partition, split_key
from pistachiodeal.leader.commits import FencedWriter
from pistachiodeal.leader.compaction import SLOW_WRITE_S
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.tombstones import SeenRow
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
    TransactionResult,
)

log = Logger("leader")

INTERVAL_S = 1.0
# A slow store has little room beside decisions, and may be slow for ever.
SLOW_INTERVAL_S = 10.0
# A removal takes up to two conditions and a write; a transaction is limited to 100.
MAX_BATCH = 30

Batch = dict[str, SeenRow]


class TombstoneCollector:
    """Removes the rows that the registry's book has kept for long enough.

    A removal is conditional on the row's version, and isn't fenced: an earlier leader
    that still removes a row has kept it for as long.
    """

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        writer: FencedWriter,
        events: EventLog,
    ) -> None:
        self._store = store
        self._registry = registry
        self._book = registry.tombstones
        self._writer = writer
        self._events = events

    async def run(self) -> None:
        """Remove rows without end."""
        while True:
            slow = self._writer.last_write_s > SLOW_WRITE_S
            await curio.sleep(SLOW_INTERVAL_S if slow else INTERVAL_S)
            for batch in self._list_batches(read_boot_clock()):
                await self._remove(batch)

    def _list_batches(self, now: float) -> list[Batch]:
        """Return the rows to remove, at most one batch for each partition."""
        batches: dict[str, Batch] = {}
        for key, row in list(self._book.iterate_old(now)):
            job_id, cancels = split_key(key)
            if cancels and job_id in self._registry.records:
                self._book.forget(key)
                continue
            batch = batches.setdefault(find_partition(JOBS_TABLE, key), {})
            if len(batch) < MAX_BATCH:
                batch[key] = row
        return list(batches.values())

    async def _remove(self, batch: Batch) -> None:
        try:
            result = await self._store.commit(_build(batch))
        except StoreError as error:
            log.debug("leader: cannot remove tombstones: {}", error)
            return
        for key in batch:
            if result.committed:
                self._book.forget(key)
            else:
                self._apply_conflict(key, result)
        self._events.emit(
            "tombstones.removed",
            rows=len(batch),
            committed=result.committed,
            left=len(self._book),
        )

    def _apply_conflict(self, key: str, result: TransactionResult) -> None:
        """Note what has become of a row whose removal was not committed."""
        row = result.found.get((JOBS_TABLE, key))
        job_id, cancels = split_key(key)
        job = result.found.get((JOBS_TABLE, job_id)) if cancels else None
        if row is None or not row.version or (job is not None and job.version):
            self._book.forget(key)
        else:
            self._book.observe(row)


def _build(batch: Batch) -> Transaction:
    conditions = []
    for key, row in batch.items():
        conditions.append(RowCondition(JOBS_TABLE, key, row.version))
        job_id, cancels = split_key(key)
        if cancels:
            # The job may be there, in a row that this version can't read.
            conditions.append(RowCondition(JOBS_TABLE, job_id, ABSENT))
    writes = tuple(RowWrite(JOBS_TABLE, key, None) for key in batch)
    return Transaction(tuple(conditions), writes)
