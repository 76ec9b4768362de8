"""Keeps this process's copy of the operator's configuration up to date."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.model import Queue, find_queue
from pistachiodeal.platform.configuration import (
    CONFIG_KEY,
    CONFIG_TABLE,
    Configuration,
    decode_configuration,
)
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowStore,
    StoredRow,
    read_row,
)

log = Logger("configuration")

FEED_WAIT_S = 20.0
RETRY_S = 0.15
# A feed can lose changes without an error when its history is dropped. Polling the row
# as well ensures that a change is in force within the required second or two.
POLL_INTERVAL_S = 0.7


class ConfigurationWatcher:
    """Watches the configuration; never reverts to an older version."""

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._current: Configuration | None = None
        self._by_name: dict[str, Queue] = {}
        self._version = 0

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first is read."""
        return self._current

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request's host and path select."""
        if self._current is None:
            return None
        return find_queue(self._current.queues, host, path)

    def refresh(self, queue: Queue) -> Queue:
        """Return the queue of the same name from the newest configuration."""
        return self._by_name.get(queue.name, queue)

    async def run(self) -> None:
        """Follow the change feed for ever."""
        while True:
            try:
                await self._follow()
            except HistoryLostError:
                self._version = 0
            except StoreError as error:
                log.debug("configuration: cannot follow the change feed: {}", error)
                await curio.sleep(RETRY_S)

    async def poll(self) -> None:
        """Read the row at a fixed interval for ever."""
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            try:
                await self._read()
            except StoreError as error:
                log.debug("configuration: cannot read the row: {}", error)

    async def _follow(self) -> None:
        if not self._version:
            self._version = await self._read()
        page = await self._store.follow(CONFIG_TABLE, self._version, FEED_WAIT_S)
        self._apply_rows(page.rows)
        self._version = max(self._version, page.version)

    async def _read(self) -> int:
        page = await read_row(self._store, CONFIG_TABLE, CONFIG_KEY)
        self._apply_rows(page.rows)
        return page.version

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key != CONFIG_KEY or row.removed:
                continue
            try:
                self._apply(decode_configuration(row.value))
            except ProtocolError as error:
                self._events.emit("configuration.unreadable", cause=str(error))

    def _apply(self, found: Configuration) -> None:
        current = self._current
        if current is not None and found.version <= current.version:
            return
        self._current = found
        self._by_name = {queue.name: queue for queue in found.queues}
        self._events.emit(
            "configuration.applied",
            version=found.version,
            was=current.version if current else 0,
            queues=len(found.queues),
        )
