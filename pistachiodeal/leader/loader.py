"""Loads all jobs when a process begins to lead."""

from __future__ import annotations

import time
from collections.abc import Callable

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.progress import apply_progress
from pistachiodeal.jobs.record import build_record
from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    UNDIVIDED_PARTITION,
    decode_job,
    split_key,
)
from pistachiodeal.jobs.tables import read_tables
from pistachiodeal.leader.feed import JobFeed
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import RowStore, StoredRow


class JobLoader:
    """Restores the jobs from their rows.

    :param cancel: cancels a job.
    """

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        feed: JobFeed,
        cancel: Callable[[str], None],
        events: EventLog,
    ) -> None:
        self._store = store
        self._registry = registry
        self._feed = feed
        self._cancel = cancel
        self._events = events

    async def load(self) -> None:
        """Restore all jobs and cancellations; the feed goes on after them.

        :raises StoreError: the tables can't be read.
        """
        jobs, progress = await read_tables(self._store)
        values = {row.key: row for row in progress.rows}
        cancelled = []
        for row in jobs.rows:
            job_id, cancels = split_key(row.key)
            if cancels:
                cancelled.append(job_id)
            else:
                self._restore(row, values.get(job_id))
        for job_id in cancelled:
            self._cancel(job_id)
        self._feed.start_after(jobs.version)

    def _restore(self, row: StoredRow, progress: StoredRow | None) -> None:
        known = self._registry.records.get(row.key)
        undivided = row.partition == UNDIVIDED_PARTITION
        if known is not None:
            if known.undivided != undivided:
                # Submitted once before and once after submissions were partitioned; it
                # is one job.
                known.undivided = True
                self._events.emit("row.twofold", key=row.key, partition=row.partition)
            return
        try:
            record = build_record(decode_job(row.key, row.value))
            if progress is not None:
                apply_progress(record, progress.value, progress.version)
        except ProtocolError as error:
            self._events.emit(
                "row.unreadable", table=JOBS_TABLE, key=row.key, cause=str(error)
            )
            return
        record.undivided = undivided
        if record.state.final:
            record.finished_at = read_boot_clock()
        self._registry.restore(record)
        if not record.state.final:
            self._registry.open_due(record, time.time())
