"""Keeps the leader's jobs up to date with the jobs table of the store.

The leader follows the table by long polls. Entries also announce the rows that they
have written, since the store may omit changes from a poll.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import DEFAULT_LINK_MBPS
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.rows import JOBS_TABLE, decode_job, is_ended, split_key
from pistachiodeal.jobs.tables import list_sources
from pistachiodeal.jobs.tombstones import is_tombstone
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowStore,
    StoredRow,
    read_row,
)
from pistachiodeal.store.table_scan import TableScan

log = Logger("leader")

# Long polls are short because a poll on a half-open connection receives nothing until
# it times out, and tasks whose cancellation isn't received keep running.
FEED_WAIT_S = 0.8
# An announced row is read directly if the feed has not delivered it after this long.
ANNOUNCED_READ_DELAY_S = 0.3
RETRY_S = 0.2
# Cancellations that are kept for jobs that aren't known yet; the oldest are dropped,
# since most are of jobs that were removed.
MAX_EARLY_CANCELLATIONS = 10_000
# Rows whose handling has failed, and how often each is read again.
MAX_FAILED_ROWS = 1_000
FAILED_ROW_RETRIES = 3


class JobFeed:
    """Applies the rows that entries write into the jobs table.

    :param cancel: cancels a job by its id.
    :param changed: called after rows have been applied.
    :param link_mbps: rate of this process's network link, Mbit/s.
    """

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        events: EventLog,
        cancel: Callable[[str], None],
        changed: Callable[[], Awaitable[None]],
        *,
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        self._store = store
        self._link_mbps = link_mbps
        self._registry = registry
        self._events = events
        self._cancel = cancel
        self._on_changed = changed
        self._tombstones = registry.tombstones
        self._feed_version = 0
        self._announced: dict[str, float] = {}
        self._cancelled_early: dict[str, None] = {}
        self._failed: Counter[str] = Counter()
        self._excluded: dict[str, int] = {}
        self._history_lost = curio.Event()

    def start_after(self, version: int) -> None:
        """Set the version of the store up to which the table has been read."""
        self._feed_version = version

    def announce(self, key: str) -> None:
        """Expect a row of the jobs table that is durable now.

        A cancellation is applied immediately. An entry that reads the store already
        reports the job as cancelled, and an entry that asks the leader would otherwise
        report it as active again.
        """
        job_id, cancels = split_key(key)
        if cancels:
            self._cancel_job(job_id)
        self._announced.setdefault(key, read_boot_clock())

    def exclude(self, row: StoredRow) -> None:
        """Pass over a submission whose job a load could not restore.

        Its tasks may have run, which the submission doesn't tell.
        """
        self._excluded[row.key] = row.version

    def apply_early_cancellations(self) -> None:
        """Cancel the jobs that were cancelled before this leader knew them."""
        for job_id in list(self._cancelled_early):
            self._apply_early_cancellation(job_id)

    async def follow(self) -> None:
        """Follow the table without end."""
        while True:
            try:
                page = await self._store.follow(
                    JOBS_TABLE, self._feed_version, FEED_WAIT_S
                )
            except HistoryLostError:
                await self._skip_lost_changes()
                continue
            except StoreError as error:
                log.debug("leader: cannot follow the jobs: {}", error)
                await curio.sleep(RETRY_S)
                continue
            self._apply_rows(page.rows)
            self._feed_version = max(self._feed_version, page.version)
            if any(_is_open(row.value) for row in page.rows):
                await self._on_changed()

    async def check_announced(self) -> None:
        """Read announced rows that the feed has not delivered.

        The store may drop its history while polls go on as if nothing had changed.
        Without this read, an accepted job would wait until the next leader.
        """
        now = read_boot_clock()
        for key, announced_at in list(self._announced.items()):
            if self._is_known(key):
                del self._announced[key]
            elif now - announced_at > ANNOUNCED_READ_DELAY_S:
                await self._read_row(key)

    def _is_known(self, key: str) -> bool:
        if key in self._tombstones:
            return True
        job_id, cancels = split_key(key)
        record = self._registry.records.get(job_id)
        return record is not None and (not cancels or record.state.final)

    async def _read_row(self, key: str) -> None:
        try:
            page = await read_row(self._store, JOBS_TABLE, key)
        except StoreError as error:
            log.debug("leader: cannot read the announced job {}: {}", key, error)
            return
        self._events.emit("job.announced", key=key, found=len(page.rows))
        self._announced.pop(key, None)
        self._apply_rows(page.rows)
        await self._on_changed()

    async def _skip_lost_changes(self) -> None:
        """Go on after the newest version; the lost changes are read from the table."""
        try:
            page = await self._store.read(JOBS_TABLE, limit=1)
        except StoreError as error:
            log.info("leader: cannot read the newest version: {}", error)
            await curio.sleep(RETRY_S)
            return
        self._feed_version = page.version
        await self._history_lost.set()

    async def reread_lost(self) -> None:
        """Read the whole table whenever changes were lost, without end.

        The feed goes on meanwhile: the table may take longer to read than the store
        keeps its history, and the changes of that time would be lost in turn.
        """
        while True:
            await self._history_lost.wait()
            self._history_lost.clear()
            sources = list_sources(JOBS_TABLE)
            scan = TableScan(self._store, sources, self._events, self._link_mbps)
            await scan.run()
            self._events.emit("feed.reread", rows=scan.row_count)
            self._apply_rows(scan.tables[JOBS_TABLE].rows)
            await self._on_changed()

    def retry(self, key: str) -> None:
        """Read a row again later whose handling has failed; a few times at most."""
        if len(self._failed) >= MAX_FAILED_ROWS and key not in self._failed:
            return
        self._failed[key] += 1
        if self._failed[key] <= FAILED_ROW_RETRIES:
            self._announced.setdefault(key, read_boot_clock())

    def _apply_rows(self, rows: Sequence[StoredRow]) -> None:
        for row in rows:
            with self._events.confine("row.failed", table=JOBS_TABLE, key=row.key):
                self._apply_row(row)
                continue
            self.retry(row.key)

    def _apply_row(self, row: StoredRow) -> None:
        if row.removed:
            self._tombstones.forget(row.key)
            return
        if is_ended(row.value):
            return
        if is_tombstone(row.value):
            self._tombstones.observe(row)
            return
        job_id, cancels = split_key(row.key)
        if cancels:
            self._cancel_job(job_id)
            if job_id not in self._registry.records:
                self._tombstones.observe(row)
            return
        if self._excluded.get(row.key) == row.version:
            return
        try:
            job = decode_job(row.key, row.value)
            self._registry.add(job, time.time(), row.version)
            self._apply_early_cancellation(job_id)
        except ProtocolError as error:
            self._events.emit(
                "row.unreadable", table=JOBS_TABLE, key=row.key, cause=str(error)
            )

    def _apply_early_cancellation(self, job_id: str) -> None:
        if job_id in self._cancelled_early and job_id in self._registry.records:
            del self._cancelled_early[job_id]
            self._cancel(job_id)

    def _cancel_job(self, job_id: str) -> None:
        """Cancel a job; one that isn't known yet, as soon as it is."""
        if job_id in self._registry.records:
            self._cancel(job_id)
            return
        self._cancelled_early[job_id] = None
        while len(self._cancelled_early) > MAX_EARLY_CANCELLATIONS:
            del self._cancelled_early[next(iter(self._cancelled_early))]


def _is_open(value: bytes) -> bool:
    """Tell whether a row may give a leader anything to plan."""
    return not is_ended(value) and not is_tombstone(value)
