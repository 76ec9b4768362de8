"""What the parts that place jobs need of the platform's table, as a ``Protocol``."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from pistachiodeal.exceptions import StoreError

ABSENT = 0


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


@dataclass(frozen=True, slots=True)
class RowCondition:
    """The version that a row must have; :data:`ABSENT` when it must not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row's new value; None removes the row."""

    table: str
    key: str
    value: bytes | None


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

    :raises StoreUnavailableError: the call took no effect.
    :raises StoreUncertainError: no answer; a transaction may still take effect,
        also seconds from now, as long as its conditions hold.
    """

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction."""

    async def read(
        self, table: str, start: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Return the rows with ``start <= key < end`` in the order of their keys."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return what has changed after a version; waits for the first change.

        :raises HistoryLostError: that far back is no longer known.
        """


async def read_whole(store: RowStore, table: str) -> RowPage:
    """Return all rows of a table; the version is that of the first page.

    Following the table from that version shows again what changed between pages.
    """
    rows: list[StoredRow] = []
    page = await store.read(table)
    version = page.version
    rows += page.rows
    while page.truncated and page.rows:
        page = await store.read(table, start=page.rows[-1].key + "\0")
        rows += page.rows
    return RowPage(tuple(rows), version)


async def read_row(store: RowStore, table: str, key: str) -> RowPage:
    """Return the page that holds one row, or none."""
    return await store.read(table, key, key + "\0", 1)
