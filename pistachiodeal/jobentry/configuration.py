"""Keeps this process's copy of the operator's configuration up to date.

The copy is fed from three sources, none of which waits for another: the change feed,
short checks for changes, and the copies of other entries. The row itself is read only
where the history of changes doesn't reach back: it may have half a megabyte, and
reading it each second would take up the link of a weak VM.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Awaitable, Callable, Sequence

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobentry.configuration_copy import STORE, ConfigurationCopy
from pistachiodeal.platform.configuration import CONFIG_KEY, CONFIG_TABLE
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowPage,
    RowStore,
    StoredRow,
    read_row,
)
from pistachiodeal.wire.configuration_messages import ConfigurationAnswer

FEED_WAIT_S = 20.0
RETRY_S = 0.15
# A feed on a dead connection hears nothing until it times out. Checking for changes as
# well ensures that one is in force within the required second or two.
CHECK_INTERVAL_S = 0.7
# The store answers a check at once; an interval of 0 could stand for its default.
CHECK_WAIT_S = 0.001
# For about a second before the store drops its history, a feed may not hear of changes.
SILENT_CHANGE_S = 3.0
# A large row may take longer than the time-out of a read. Other entries confirm the
# copy meanwhile.
REREAD_PAUSE_S = 3.0
# Reads that don't wait for the pause, since no other entry confirms the copy meanwhile.
MAX_URGENT_READS = 3
URGENT_READS_S = 10.0
# Checks in flight at a time. One on a dead connection ends after a second or two, and
# one that starts later may get a connection that works.
MAX_CHECKS = 3
# Other entries are asked once nothing has confirmed the copy for this long. Checks that
# are answered keep it below their interval and their own duration.
ASK_AFTER_S = 1.0
ASK_INTERVAL_S = 0.7
ASK_TIMEOUT_S = 1.2
AGE_CHECK_INTERVAL_S = 0.25
ALONE_CHECK_INTERVAL_S = 0.1

AskEntry = Callable[[str, int], Awaitable[ConfigurationAnswer | None]]
ListEntries = Callable[[], Sequence[str]]


class ConfigurationWatcher:
    """Feeds the copy of the configuration.

    The copy of another entry serves as well as an answer of the store, since it says
    how long ago it was confirmed.

    :param store: may read through the leader.
    :param ask_entry: returns the copy of the entry at an address, None if it doesn't
        answer; the second parameter is the version that this process has.
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
        self._known_version = 0
        self._heard: deque[tuple[float, int]] = deque()
        self._reading = curio.Lock()
        self._reread_after = 0.0
        self._last_read_failed = False
        self._urgent_reads: deque[float] = deque(maxlen=MAX_URGENT_READS)
        self._sound_at = 0.0
        self._lost_at = 0.0
        self._lost_version = 0
        self._answered_at = 0.0
        self._checks = 0

    async def run(self) -> None:
        """Follow the change feed for ever."""
        while True:
            try:
                await self._follow()
            except StoreError as error:
                self._report_failure("feed", error)
                await curio.sleep(RETRY_S)

    async def check(self) -> None:
        """Check for changes at an interval for ever, without waiting for answers."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            if self._checks < MAX_CHECKS:
                self._checks += 1
                await curio.spawn(self._check_once, daemon=True)

    async def ask_entries(self) -> None:
        """Ask other entries for ever, while the store confirms nothing."""
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
        known = self._known_version
        if known:
            try:
                await self._follow_once(FEED_WAIT_S)
                return
            except HistoryLostError:
                self._record_loss(known)
        await self._reread(known)

    async def _check_once(self) -> None:
        try:
            asked_at = read_boot_clock()
            known = self._known_version
            if not known:
                return
            try:
                page = await self._follow_once(CHECK_WAIT_S)
            except HistoryLostError:
                self._record_loss(known)
                if not self._reading.locked():
                    await self._reread(known)
                return
            if asked_at < self._lost_at:
                return
            self._copy.confirm(asked_at)
            self._raise_known_version(asked_at, page.version)
        except StoreError as error:
            self._report_failure("check", error)
        finally:
            self._checks -= 1

    async def _follow_once(self, wait_s: float) -> RowPage:
        """Apply and return the changes since the known version."""
        page = await self._store.follow(CONFIG_TABLE, self._known_version, wait_s)
        self._apply(page.rows)
        return page

    def _raise_known_version(self, asked_at: float, version: int) -> None:
        """Raise the known version to that of a check some time before.

        Not to that of this check: while the store drops its history, it may be silent
        about a change. The next check from the same version then fails, and the row is
        read.
        """
        self._heard.append((asked_at, version))
        while self._heard[0][0] <= asked_at - SILENT_CHANGE_S:
            self._sound_at, heard = self._heard.popleft()
            self._known_version = max(self._known_version, heard)

    def _record_loss(self, known: int) -> None:
        """Take back the confirmations by checks that the store may have been silent to.

        :param known: version from which changes were requested.
        """
        if self._known_version == known != self._lost_version:
            self._lost_at, self._lost_version = read_boot_clock(), known
            self._heard.clear()
            self._copy.retract(self._sound_at)

    async def _reread(self, known: int) -> None:
        """Read the row, unless that was done since a version became known."""
        async with self._reading:
            if self._known_version > known:
                return
            if known:
                await self._wait_for_reread()
            asked_at = read_boot_clock()
            self._reread_after = asked_at + REREAD_PAUSE_S
            self._last_read_failed = True
            page = await read_row(self._store, CONFIG_TABLE, CONFIG_KEY)
            self._last_read_failed = False
            self._apply(page.rows)
            self._sound_at = asked_at
            self._copy.confirm(asked_at)
            self._known_version = max(self._known_version, page.version)

    async def _wait_for_reread(self) -> None:
        """Wait until the row may be read again after a loss of history."""
        while (now := read_boot_clock()) < self._reread_after:
            reads = self._urgent_reads
            spent = len(reads) == MAX_URGENT_READS and now - reads[0] < URGENT_READS_S
            if self._is_alone(now) and not self._last_read_failed and not spent:
                reads.append(now)
                return
            await curio.sleep(ALONE_CHECK_INTERVAL_S)

    def _is_alone(self, now: float) -> bool:
        """Tell whether no other entry can be asked, or none has answered since."""
        unanswered = self._answered_at < self._lost_at <= now - ASK_TIMEOUT_S
        return unanswered or not self._list_entries()

    async def _ask(self, address: str) -> None:
        asked_at = read_boot_clock()
        answer = await curio.ignore_after(
            ASK_TIMEOUT_S, self._ask_entry, address, self._copy.version
        )
        if answer is None or not answer.version:
            return
        self._answered_at = read_boot_clock()
        if answer.value:
            self._copy.apply(answer.value, address)
        self._copy.confirm(asked_at - answer.age_ms / 1000)

    def _apply(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            self._known_version = max(self._known_version, row.version)
            if row.key == CONFIG_KEY and not row.removed:
                with self._events.confine(
                    "row.failed", table=CONFIG_TABLE, key=row.key
                ):
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
