"""Keeps this process's copy of the operator's configuration up to date.

The copy is fed from three sources, none of which waits for another: the change feed,
reads of the row, and the copies of other entries.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobentry.configuration_copy import STORE, ConfigurationCopy
from pistachiodeal.platform.configuration import CONFIG_KEY, CONFIG_TABLE
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
# Other entries are asked once no read has confirmed the copy for this long. Reads that
# are answered keep it below the poll interval and their own duration.
ASK_AFTER_S = 1.0
ASK_INTERVAL_S = 0.7
ASK_TIMEOUT_S = 1.2
AGE_CHECK_INTERVAL_S = 0.25

AskEntry = Callable[[str], Awaitable[ConfigurationAnswer | None]]
ListEntries = Callable[[], Sequence[str]]


class ConfigurationWatcher:
    """Feeds the copy of the configuration.

    The copy of another entry serves as well as a read of the store, since it says how
    long ago it was confirmed.

    :param store: may read through the leader.
    :param ask_entry: returns the copy of the entry at an address, None if it doesn't
        answer.
    :param list_entries: returns the addresses of the other entries, the most recently
        seen one first.
    """

    def __init__(
        self,
        store: RowStore,
        copy: ConfigurationCopy,
        events: EventLog,
        ask_entry: AskEntry,
        list_entries: ListEntries,
    ) -> None:
        self._store = store
        self._copy = copy
        self._events = events
        self._ask_entry = ask_entry
        self._list_entries = list_entries
        self._feed_version = 0
        self._reads = 0

    async def run(self) -> None:
        """Follow the change feed for ever."""
        while True:
            try:
                await self._follow()
            except HistoryLostError:
                self._feed_version = 0
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
            if self._copy.age_s < ASK_AFTER_S:
                continue
            for address in _choose_entries(self._list_entries()):
                await curio.spawn(self._ask, address, daemon=True)

    async def check_age(self) -> None:
        """Report for ever when the copy becomes stale."""
        while True:
            await curio.sleep(AGE_CHECK_INTERVAL_S)
            self._copy.report_age()

    async def _follow(self) -> None:
        if not self._feed_version:
            self._feed_version = await self._read()
        page = await self._store.follow(CONFIG_TABLE, self._feed_version, FEED_WAIT_S)
        self._apply(page.rows)
        self._feed_version = max(self._feed_version, page.version)

    async def _poll_once(self) -> None:
        try:
            await self._read()
        except StoreError as error:
            self._report_failure("read", error)
        finally:
            self._reads -= 1

    async def _read(self) -> int:
        asked_at = read_boot_clock()
        page = await read_row(self._store, CONFIG_TABLE, CONFIG_KEY)
        self._apply(page.rows)
        self._copy.confirm(asked_at)
        return page.version

    async def _ask(self, address: str) -> None:
        asked_at = read_boot_clock()
        answer = await curio.ignore_after(ASK_TIMEOUT_S, self._ask_entry, address)
        if answer is None or not answer.value:
            return
        self._copy.apply(answer.value, address)
        self._copy.confirm(asked_at - answer.age_ms / 1000)

    def _apply(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == CONFIG_KEY and not row.removed:
                self._copy.apply(row.value, STORE)

    def _report_failure(self, call: str, error: StoreError) -> None:
        self._events.emit(
            "configuration.unread",
            call=call,
            cause=str(error),
            version=self._copy.version,
            age_ms=int(self._copy.age_s * 1000),
        )


def _choose_entries(entries: Sequence[str]) -> set[str]:
    """Return the most recently seen entry and another one.

    The first may have lost the store as well, and of the others some may be gone.
    """
    return {entries[0], random.choice(entries)} if entries else set()
