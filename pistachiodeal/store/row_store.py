"""What the parts that place jobs need of the platform's table, as a ``Protocol``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from pistachiodeal.exceptions import StoreError
from pistachiodeal.task_groups import gather

ABSENT = 0

FindPartition = Callable[[str, str], str]
"""Returns the partition of a row by its table and key; see :class:`RowStore`."""


class HistoryLostError(StoreError):
    """The changes asked for are no longer kept: read the whole table again."""

    code = "history_lost"


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; ``removed`` only in a feed of changes."""

    key: str
    value: bytes
    version: int
    removed: bool = False
    partition: str = ""


@dataclass(frozen=True, slots=True)
class RowCondition:
    """The version that a row must have; :data:`ABSENT` when it must not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row's new value; None removes the row.

    :param partition: where it lies, empty for what follows from table and key.
    """

    table: str
    key: str
    value: bytes | None
    partition: str = ""


@dataclass(frozen=True, slots=True)
class Transaction:
    """All writes, or none when a condition does not hold."""

    conditions: tuple[RowCondition, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The answer to a transaction.

    :param version: of every row that was written.
    :param found: where a condition failed, the rows of the conditions as they are,
        by table and key.
    """

    committed: bool
    version: int
    found: dict[tuple[str, str], StoredRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment.

    :param version: newest version of the store at that moment.
    """

    rows: tuple[StoredRow, ...]
    version: int
    truncated: bool = False


class RowStore(Protocol):
    """The platform's transactional rows.

    Each row lies in a partition that follows from its table and key. A partition does
    its transactions one after another, so what must not wait for each other lies in
    different ones. A transaction or a read concerns one partition.

    :raises StoreUnavailableError: the call took no effect.
    :raises StoreUncertainError: no answer; a transaction may still take effect,
        also seconds from now, as long as its conditions hold.
    """

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction."""

    async def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        limit: int = 0,
        partition: str = "",
    ) -> RowPage:
        """Return the rows with ``start <= key < end`` in the order of their keys.

        :param partition: where to look, empty for the partition of ``start``.
        """

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return what has changed after a version; waits for the first change.

        :raises HistoryLostError: that far back is no longer known.
        """


async def read_whole(store: RowStore, table: str, partitions: Iterable[str]) -> RowPage:
    """Return all rows of a table; the version is the oldest of any first page.

    Following the table from that version shows again what changed between pages. All
    partitions are read at once: one after another, eight of them would take 3 s on a
    store that needs 0.4 s for an answer.
    """
    pages = await gather(
        *(partial(_read_partition, store, table, partition) for partition in partitions)
    )
    rows = tuple(row for page in pages for row in page.rows)
    return RowPage(rows, min(page.version for page in pages))


async def _read_partition(store: RowStore, table: str, partition: str) -> RowPage:
    page = await store.read(table, partition=partition)
    version = page.version
    rows = list(page.rows)
    while page.truncated and page.rows:
        start = page.rows[-1].key + "\0"
        page = await store.read(table, start=start, partition=partition)
        rows += page.rows
    return RowPage(tuple(rows), version)


async def read_row(store: RowStore, table: str, key: str) -> RowPage:
    """Return the page that holds one row, or none."""
    return await store.read(table, key, key + "\0", 1)
