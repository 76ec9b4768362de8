"""Compacts the submissions of ended jobs, so that a new leader has less to read.

Ended jobs are kept for minutes, and soon outnumber the open ones many times over. Their
rows are nearly all that a new leader reads, and it needs none of their steps and texts.
"""

from __future__ import annotations

from collections.abc import Iterable

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobs.record import JobRecord
from pistachiodeal.jobs.rows import JOBS_TABLE, encode_ended_job, find_partition
from pistachiodeal.leader.commits import FencedWriter
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
)

log = Logger("leader")

INTERVAL_S = 1.0
# The last writes of a job that ended just now may still be in flight.
MIN_AGE_S = 2.0
# A partition is written once it has this many jobs, or one that has waited this long.
MIN_BATCH = 10
MAX_AGE_S = 10.0
# The store's limit is 100 entries for a transaction.
MAX_BATCH = 50
# Nothing is compacted while writes take longer than this: it can wait, decisions can't.
# A store in another region takes a tenth of a second at its usual speed.
SLOW_WRITE_S = 0.25


class EndedJobCompactor:
    """Replaces the rows of ended jobs by short ones."""

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        writer: FencedWriter,
        events: EventLog,
    ) -> None:
        self._store = store
        self._registry = registry
        self._writer = writer
        self._events = events

    async def run(self) -> None:
        """Compact without end."""
        while True:
            await curio.sleep(INTERVAL_S)
            if self._writer.last_write_s > SLOW_WRITE_S:
                continue
            now = read_boot_clock()
            for batch in _list_batches(self._list_ended(now), now):
                await self._compact(batch)

    def _list_ended(self, now: float) -> list[JobRecord]:
        return [
            record
            for record in self._registry.records.values()
            if record.durable_state.final
            and not record.compacted
            and not record.undivided
            and record.submission_version
            and record.finished_at
            and now - record.finished_at > MIN_AGE_S
            and not self._registry.is_unsaved(record.job_id)
            # A leader has to know the steps of a job whose runs it still has to stop.
            and not any(task.place for task in record.iterate_tasks())
        ]

    async def _compact(self, batch: list[JobRecord]) -> None:
        """Replace the rows of some jobs of one partition.

        Each row must still be as it was read: a write that is carried out late must not
        bring back the row of a job that was removed meanwhile. Without the leader's
        row, which is in another partition, the writes of a replaced leader are not
        refused, but a final state stays final whoever leads.
        """
        conditions = tuple(
            RowCondition(JOBS_TABLE, record.job_id, record.submission_version)
            for record in batch
        )
        writes = tuple(
            RowWrite(JOBS_TABLE, record.job_id, encode_ended_job(record.job))
            for record in batch
        )
        try:
            result = await self._store.commit(Transaction(conditions, writes))
        except StoreError as error:
            log.debug("leader: cannot compact ended jobs: {}", error)
            return
        for record in batch:
            row = result.found.get((JOBS_TABLE, record.job_id))
            version = row.version if row is not None else ABSENT
            # A changed row was compacted by a write without an answer, or is removed.
            if result.committed or version != record.submission_version:
                record.compacted = True
        self._events.emit("jobs.compacted", jobs=len(batch), committed=result.committed)


def _list_batches(records: Iterable[JobRecord], now: float) -> list[list[JobRecord]]:
    """Return the jobs of each partition that has enough of them."""
    partitions: dict[str, list[JobRecord]] = {}
    for record in records:
        partition = find_partition(JOBS_TABLE, record.job_id)
        partitions.setdefault(partition, []).append(record)
    return [
        batch[:MAX_BATCH]
        for batch in partitions.values()
        if len(batch) >= MIN_BATCH
        or any(now - record.finished_at > MAX_AGE_S for record in batch)
    ]
