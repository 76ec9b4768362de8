"""Loads all jobs when a process begins to lead."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.progress import apply_progress
from pistachiodeal.jobs.progress_rows import ProgressRows, collect_progress
from pistachiodeal.jobs.record import build_record
from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    UNDIVIDED_PARTITION,
    decode_ended_job,
    decode_job,
    is_ended,
    split_key,
)
from pistachiodeal.jobs.tables import list_sources
from pistachiodeal.jobs.tombstones import is_tombstone
from pistachiodeal.leader.feed import JobFeed
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import RowStore, StoredRow
from pistachiodeal.store.table_scan import TableScan

# Rows that are decoded at a time; the leader's links are silent meanwhile.
ROWS_PER_SLICE = 100


class JobLoader:
    """Restores the jobs from their rows.

    No job is known before all rows are: a run that the rows of another page would
    explain could be stopped, or started a second time.

    :param cancel: cancels a job.
    :param link_mbps: rate of this process's network link, Mbit/s.
    """

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        feed: JobFeed,
        cancel: Callable[[str], None],
        events: EventLog,
        *,
        link_mbps: float,
    ) -> None:
        self._registry = registry
        self._feed = feed
        self._cancel = cancel
        self._tombstones = registry.tombstones
        self._events = events
        sources = list_sources(PROGRESS_TABLE, JOBS_TABLE)
        self._decoded_at = 0.0
        self._scan = TableScan(store, sources, events, link_mbps)

    @property
    def progressed_at(self) -> float:
        """Return when rows last arrived or were decoded, boot clock; 0 for never."""
        return max(self._scan.progressed_at, self._decoded_at)

    @property
    def row_count(self) -> int:
        """Return how many rows have been read."""
        return self._scan.row_count

    async def load(self) -> None:
        """Restore all jobs and cancellations; the feed goes on after them.

        The tables are consistent because no other process can write progress once this
        one holds the leader's row.
        """
        await self._scan.run()
        jobs = self._scan.tables[JOBS_TABLE]
        progress = self._scan.tables[PROGRESS_TABLE]
        progress_rows = collect_progress(progress.rows)
        cancelled = []
        for number, row in enumerate(jobs.rows):
            if number % ROWS_PER_SLICE == 0:
                self._decoded_at = read_boot_clock()
                await curio.sleep(0)
            job_id, cancels = split_key(row.key)
            if cancels:
                cancelled.append(row)
            elif is_tombstone(row.value):
                self._tombstones.observe(row)
            else:
                with self._events.confine("row.failed", table=JOBS_TABLE, key=row.key):
                    self._restore(row, progress_rows.get(job_id))
                if job_id not in self._registry.records:
                    self._feed.exclude(row)
        for row in cancelled:
            job_id, _ = split_key(row.key)
            with self._events.confine("row.failed", table=JOBS_TABLE, key=row.key):
                self._cancel(job_id)
            if job_id not in self._registry.records:
                self._tombstones.observe(row)
        self._feed.apply_early_cancellations()
        self._feed.start_after(jobs.version or 0)

    def _restore(self, row: StoredRow, progress: ProgressRows | None) -> None:
        known = self._registry.records.get(row.key)
        undivided = row.partition == UNDIVIDED_PARTITION
        if known is not None:
            if known.undivided != undivided:
                # Submitted once before and once after submissions were partitioned; it
                # is one job.
                known.undivided = True
                self._events.emit("row.twofold", key=row.key, partition=row.partition)
            return
        ended = is_ended(row.value)
        decode = decode_ended_job if ended else decode_job
        try:
            record = build_record(decode(row.key, row.value))
            if progress is not None:
                record.part_rows = max(progress.parts, default=0)
                if progress.head is not None:
                    apply_progress(record, progress.join(), progress.head.version)
            if ended and not record.state.final:
                raise ProtocolError("an ended job has no final state")
        except ProtocolError as error:
            self._events.emit(
                "row.unreadable", table=JOBS_TABLE, key=row.key, cause=str(error)
            )
            return
        record.undivided, record.compacted = undivided, ended
        record.submission_version = row.version
        if record.state.final:
            record.finished_at = read_boot_clock()
        self._registry.restore(record)
        if not record.state.final:
            self._registry.open_due(record, time.time())
