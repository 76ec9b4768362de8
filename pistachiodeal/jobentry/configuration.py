"""Keeps this process's copy of the operator's configuration up to date."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import replace

import curio

from pistachiodeal.clock import read_boot_clock
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
from pistachiodeal.wire.configuration_messages import ConfigurationAnswer

FEED_WAIT_S = 20.0
RETRY_S = 0.15
# A feed can lose changes without an error when its history is dropped. Polling the row
# as well ensures that a change is in force within the required second or two.
POLL_INTERVAL_S = 0.7
# Reads in flight at a time. A read on a dead connection ends after a second or two, and
# one that starts later may get a connection that works.
MAX_READS = 3
# Other entries are asked once no read has confirmed the copy for this long.
# Reads that are answered keep it below the poll interval and their own duration.
ASK_AFTER_S = 1.0
ASK_INTERVAL_S = 0.7
ASK_TIMEOUT_S = 1.2
# A copy that no read has confirmed for this long is reported as stale.
STALE_AFTER_S = 1.5
STALE_CHECK_INTERVAL_S = 0.25


AskEntry = Callable[[str], Awaitable[ConfigurationAnswer | None]]
ListEntries = Callable[[], Sequence[str]]


class ConfigurationWatcher:
    """Watches the configuration; never reverts to an older version.

    The copy of another entry serves as well as a read of the store: it says how long
    ago it was confirmed, and only a higher version is applied.

    :param ask_entry: returns the copy of the entry at an address, None if it doesn't
        answer.
    :param list_entries: returns the addresses of the other entries, the most recently
        seen one first.
    """

    def __init__(
        self,
        store: RowStore,
        events: EventLog,
        ask_entry: AskEntry,
        list_entries: ListEntries,
    ) -> None:
        self._store = store
        self._events = events
        self._ask_entry = ask_entry
        self._list_entries = list_entries
        self._value = b""
        self._current: Configuration | None = None
        self._by_name: dict[str, Queue] = {}
        self._version = 0
        self._confirmed_at = read_boot_clock()
        self._stale = False
        self._reads = 0

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first is read."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first is read."""
        return self._current.version if self._current is not None else 0

    @property
    def age_s(self) -> float:
        """Return how long ago the last read that was answered began, seconds.

        A version that was written since then may be missing here.
        """
        return read_boot_clock() - self._confirmed_at

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
                self._report_failure("feed", error)
                await curio.sleep(RETRY_S)

    async def poll(self) -> None:
        """Read the row at a fixed interval for ever, without waiting for answers."""
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            if self._reads < MAX_READS:
                self._reads += 1
                await curio.spawn(self._poll_once, daemon=True)

    async def ask_entries(self) -> None:
        """Ask other entries for ever, while reads of the store confirm nothing."""
        while True:
            await curio.sleep(ASK_INTERVAL_S)
            if self.age_s < ASK_AFTER_S:
                continue
            for address in _choose_entries(self._list_entries()):
                await curio.spawn(self._ask, address, daemon=True)

    def describe(self) -> ConfigurationAnswer:
        """Return the copy as an answer to another entry."""
        return ConfigurationAnswer(self._value, int(self.age_s * 1000))

    async def report_age(self) -> None:
        """Report for ever when the copy becomes stale."""
        while True:
            await curio.sleep(STALE_CHECK_INTERVAL_S)
            if self.age_s > STALE_AFTER_S and not self._stale:
                self._stale = True
                self._events.emit(
                    "configuration.stale",
                    version=self.version,
                    age_ms=int(self.age_s * 1000),
                )

    async def _ask(self, address: str) -> None:
        asked_at = read_boot_clock()
        answer = await curio.ignore_after(ASK_TIMEOUT_S, self._ask_entry, address)
        if answer is None or not answer.value:
            return
        self._apply_value(answer.value, address)
        self._confirm(asked_at - answer.age_ms / 1000)

    async def _poll_once(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            self._report_failure("read", error)
        finally:
            self._reads -= 1

    async def _follow(self) -> None:
        if not self._version:
            self._version = await self._read()
        page = await self._store.follow(CONFIG_TABLE, self._version, FEED_WAIT_S)
        self._apply_rows(page.rows)
        self._version = max(self._version, page.version)

    async def _read(self) -> int:
        asked_at = read_boot_clock()
        page = await read_row(self._store, CONFIG_TABLE, CONFIG_KEY)
        self._apply_rows(page.rows)
        self._confirm(asked_at)
        return page.version

    def _confirm(self, asked_at: float) -> None:
        """Record that the copy was up to date at a time."""
        age_s = self.age_s
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._events.stats.time("configuration_age", age_s)
        if self._stale:
            self._stale = False
            self._events.emit(
                "configuration.confirmed",
                version=self.version,
                away_ms=int(age_s * 1000),
            )

    def _report_failure(self, call: str, error: StoreError) -> None:
        self._events.emit(
            "configuration.unread",
            call=call,
            cause=str(error),
            version=self.version,
            age_ms=int(self.age_s * 1000),
        )

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == CONFIG_KEY and not row.removed:
                self._apply_value(row.value, "store")

    def _apply_value(self, value: bytes, source: str) -> None:
        """Apply the value of the row, unless it is unreadable or not newer.

        :param source: ``store``, or the address of the entry that it comes from.
        """
        try:
            found = decode_configuration(value)
        except ProtocolError as error:
            self._events.emit(
                "configuration.unreadable", cause=str(error), source=source
            )
            return
        current = self._current
        if current is not None and found.version <= current.version:
            return
        queues = (*found.queues, *self._keep_unreadable(found))
        self._current = replace(found, queues=queues)
        self._value = value
        self._by_name = {queue.name: queue for queue in queues}
        self._events.emit(
            "configuration.applied",
            version=found.version,
            was=current.version if current else 0,
            source=source,
            queues=len(queues),
        )

    def _keep_unreadable(self, found: Configuration) -> Iterator[Queue]:
        """Yield what the version in force has for queues that can't be read."""
        for queue in found.unreadable:
            kept = self._by_name.get(queue.name)
            self._events.emit(
                "configuration.queue_unreadable",
                version=found.version,
                queue=queue.name,
                cause=queue.cause,
                kept=kept is not None,
            )
            if kept is not None:
                yield kept


def _choose_entries(entries: Sequence[str]) -> set[str]:
    """Return the most recently seen entry and another one.

    The first may have lost the store as well, and of the others some may be gone.
    """
    return {entries[0], random.choice(entries)} if entries else set()
