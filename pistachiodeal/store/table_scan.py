"""Reads whole partitions in pages; a failed read loses nothing that has arrived.

Partitions are read concurrently, since one after another, eight of them would take 3 s
on a store that needs 0.4 s for an answer. Together, the pages in flight are no larger
than what the link carries in a fraction of a second, so that other calls over the same
link are not delayed by more.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError, StoreUncertainError
from pistachiodeal.store.row_store import RowPage, RowStore, StoredRow
from pistachiodeal.task_groups import gather

# How long other calls over the link may wait behind the pages in flight.
WINDOW_S = 0.25
MIN_WINDOW_BYTES = 16_384
MAX_WINDOW_BYTES = 64_000_000
# A longer pause between two answers is the store's, and says nothing of the link.
MAX_GAP_S = 0.05
# Arrivals of a shorter time give no rate; those before the longer time count half.
MIN_MEASURED_S = 0.05
MAX_MEASURED_S = 0.5
# The store's limit for a page.
MAX_PAGE_ROWS = 500
# Assumed size of a row on the wire until some have been read.
TYPICAL_ROW_BYTES = 1_000.0
RETRY_S = 0.2
BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class ScanSource:
    """A partition of a table."""

    table: str
    partition: str


@dataclass(slots=True)
class ScannedTable:
    """What has been read of a table.

    :param rows: rows of all its partitions.
    :param version: the oldest version of any first page. A feed that starts there
        repeats the changes made while the table was read.
    """

    rows: list[StoredRow] = field(default_factory=list)
    version: int | None = None

    def add_first(self, page: RowPage) -> None:
        """Note the version of the first page of a partition."""
        if self.version is None or page.version < self.version:
            self.version = page.version


class ReadWindow:
    """Limits the bytes in flight by the rate at which they arrive.

    :param link_mbps: rate of the link by the settings, Mbit/s; the actual rate may be
        lower.
    """

    def __init__(self, link_mbps: float) -> None:
        bytes_per_s = link_mbps * 1_000_000 / BITS_PER_BYTE
        self._limit = self._clamp(bytes_per_s * WINDOW_S)
        self._row_bytes: dict[str, float] = {}
        self._received_at = 0.0
        self._busy_s = 0.0
        self._busy_bytes = 0.0

    @property
    def limit(self) -> float:
        """Return the most bytes that should be in flight."""
        return self._limit

    def choose_rows(self, table: str, readers: int) -> int:
        """Return how many rows the next page asks for.

        :param readers: how many pages are in flight at a time.
        """
        row_bytes = self._row_bytes.get(table, TYPICAL_ROW_BYTES)
        rows = int(self._limit / max(1, readers) / row_bytes)
        return min(max(1, rows), MAX_PAGE_ROWS)

    def record_part(self, size: int, now: float, *, is_first: bool) -> None:
        """Adapt to a part of an answer.

        :param size: of the part, bytes.
        :param now: boot clock, seconds.
        :param is_first: whether it is the first of its answer. A pause before it may be
            the store's; other pauses are the link's.
        """
        gap_s = now - self._received_at
        self._received_at = now
        if is_first and gap_s > MAX_GAP_S:
            return
        self._busy_s += gap_s
        self._busy_bytes += size
        if self._busy_s < MIN_MEASURED_S:
            return
        self._limit = self._clamp(self._busy_bytes / self._busy_s * WINDOW_S)
        if self._busy_s > MAX_MEASURED_S:
            self._busy_s /= 2
            self._busy_bytes /= 2

    def record_page(self, table: str, page: RowPage) -> None:
        """Learn the size of a table's rows."""
        if page.rows and page.size:
            self._row_bytes[table] = page.size / len(page.rows)

    def shrink(self) -> None:
        """Ask for less after a read without a complete answer."""
        self._limit = self._clamp(self._limit / 2)

    def _clamp(self, limit: float) -> float:
        return min(max(MIN_WINDOW_BYTES, limit), MAX_WINDOW_BYTES)


class TableScan:
    """Reads some partitions whole, however long that takes.

    :param link_mbps: see :class:`ReadWindow`.
    :ivar tables: what has been read, by table.
    """

    def __init__(
        self,
        store: RowStore,
        sources: Sequence[ScanSource],
        events: EventLog,
        link_mbps: float,
    ) -> None:
        self._store = store
        self._sources = sources
        self._window = ReadWindow(link_mbps)
        self._events = events
        self._unread = len(sources)
        self._progressed_at = 0.0
        self.tables = {source.table: ScannedTable() for source in sources}

    @property
    def progressed_at(self) -> float:
        """Return when a part of an answer last arrived, boot clock; 0 for never."""
        return self._progressed_at

    @property
    def row_count(self) -> int:
        """Return how many rows have been read."""
        return sum(len(table.rows) for table in self.tables.values())

    async def run(self) -> None:
        """Read all partitions; reads that fail are repeated until they succeed."""
        await gather(*(partial(self._read_source, one) for one in self._sources))

    async def _read_source(self, source: ScanSource) -> None:
        table = self.tables[source.table]
        page = await self._read_page(source, "")
        table.add_first(page)
        table.rows += page.rows
        while page.truncated and page.rows:
            page = await self._read_page(source, page.rows[-1].key + "\0")
            table.rows += page.rows
        self._unread -= 1

    async def _read_page(self, source: ScanSource, start: str) -> RowPage:
        failed = False
        while True:
            rows = self._window.choose_rows(source.table, self._unread)
            try:
                page = await self._store.read(
                    source.table,
                    start,
                    limit=rows,
                    partition=source.partition,
                    on_progress=self._observe_answer(),
                )
            except StoreError as error:
                if isinstance(error, StoreUncertainError):
                    self._window.shrink()
                if not failed:
                    failed = True
                    self._log_failure(source, rows, error)
                await curio.sleep(RETRY_S)
                continue
            self._window.record_page(source.table, page)
            return page

    def _observe_answer(self) -> Callable[[int], None]:
        """Return what records the parts of one answer."""
        is_first = True

        def record(size: int) -> None:
            nonlocal is_first
            now = self._progressed_at = read_boot_clock()
            self._window.record_part(size, now, is_first=is_first)
            is_first = False

        return record

    def _log_failure(self, source: ScanSource, rows: int, error: StoreError) -> None:
        self._events.emit(
            "scan.retry",
            table=source.table,
            partition=source.partition,
            asked=rows,
            kept=self.row_count,
            window=int(self._window.limit),
            cause=str(error),
        )
