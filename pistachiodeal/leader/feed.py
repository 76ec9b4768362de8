"""Keeps the book in step with the jobs table, by a feed and by announcements."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.rows import JOBS_TABLE, decode_job, split_key
from pistachiodeal.jobs.tables import read_submissions
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowStore,
    StoredRow,
    read_row,
)

log = Logger("leader")

# A poll whose connection lost its other end hears nothing until it is given up, and a
# cancellation that nobody hears leaves tasks running. So polls are short.
FEED_WAIT_S = 0.8
# A job that an entry has announced is read by itself when the feed is this late.
ANNOUNCED_S = 0.3
RETRY_S = 0.2


class JobFeed:
    """Takes in what entries write into the jobs table.

    :param cancel: cancels a job by its id.
    :param changed: called after rows were taken in.
    """

    def __init__(
        self,
        store: RowStore,
        registry: JobRegistry,
        events: EventLog,
        cancel: Callable[[str], None],
        changed: Callable[[], Awaitable[None]],
    ) -> None:
        self._store = store
        self._registry = registry
        self._events = events
        self._cancel = cancel
        self._touch = changed
        self._feed_version = 0
        self._announced: dict[str, float] = {}

    def start_after(self, version: int) -> None:
        """Follow from a version of the store, up to which the table has been read."""
        self._feed_version = version

    def announce(self, key: str) -> None:
        """Note that a row of the jobs table is durable; the feed should show it.

        A cancellation is taken in at once: an entry that asks the store tells callers
        of it by now, and another, that asks here, would tell them that the job is
        active again.
        """
        job_id, cancels = split_key(key)
        if cancels:
            self._cancel(job_id)
        self._announced.setdefault(key, read_boot_clock())

    async def follow(self) -> None:
        """Follow the table for ever."""
        while True:
            try:
                page = await self._store.follow(
                    JOBS_TABLE, self._feed_version, FEED_WAIT_S
                )
            except HistoryLostError:
                await self._reread()
                continue
            except StoreError as error:
                log.debug("leader: cannot follow the jobs: {}", error)
                await curio.sleep(RETRY_S)
                continue
            self._apply_rows(page.rows)
            self._feed_version = max(self._feed_version, page.version)
            if page.rows:
                await self._touch()

    async def check_announced(self) -> None:
        """Read what was announced and the feed has not shown.

        The store may drop its history and let a feed go on as if nothing had changed;
        an accepted job would then wait for the next leader.
        """
        now = read_boot_clock()
        for key, announced_at in list(self._announced.items()):
            if self._is_known(key):
                del self._announced[key]
            elif now - announced_at > ANNOUNCED_S:
                await self._read_row(key)

    def _is_known(self, key: str) -> bool:
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
        await self._touch()

    async def _reread(self) -> None:
        try:
            page = await read_submissions(self._store)
        except StoreError as error:
            log.info("leader: cannot read the jobs again: {}", error)
            await curio.sleep(RETRY_S)
            return
        self._apply_rows(page.rows)
        self._feed_version = page.version
        await self._touch()

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.removed:
                continue
            job_id, cancels = split_key(row.key)
            if cancels:
                self._cancel(job_id)
                continue
            try:
                self._registry.add(decode_job(row.key, row.value), time.time())
            except ProtocolError as error:
                self._events.emit(
                    "row.unreadable", table=JOBS_TABLE, key=row.key, cause=str(error)
                )
