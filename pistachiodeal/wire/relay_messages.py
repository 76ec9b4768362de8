"""Messages by which an entry reads and writes the store through the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayCondition:
    """A precondition of a transaction.

    :param version: version that the row must have, 0 if it must not exist.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RelayWrite:
    """A row's new value, or the row's removal.

    :param removed: whether the row is deleted; ``value`` is then unused.
    """

    table: str
    key: str
    value: bytes
    removed: bool


@dataclass(frozen=True, slots=True)
class RelayRow:
    """A row as it is in the store."""

    table: str
    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RelayCommit:
    """Entry to leader: commit a transaction."""

    request_id: int
    conditions: tuple[RelayCondition, ...]
    writes: tuple[RelayWrite, ...]


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Entry to leader: read a range of rows.

    :param limit: maximum number of rows, 0 for as many as fit into one page.
    :param partition: partition to read, empty for the partition of ``start``.
    """

    request_id: int
    table: str
    start: str
    end: str
    limit: int
    partition: str = ""


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Leader to entry: the store's answer to a relayed commit or read.

    :param failure: empty for success, ``refused`` if nothing was done, ``uncertain`` if
        the operation may have taken effect.
    :param committed: whether the transaction's conditions held.
    :param truncated: whether a read returned only a part of the range.
    :param rows: the rows that were read, or the current rows of a transaction whose
        conditions did not hold.
    """

    request_id: int
    failure: str
    committed: bool
    version: int
    truncated: bool
    rows: tuple[RelayRow, ...]
