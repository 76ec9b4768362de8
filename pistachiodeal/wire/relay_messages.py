"""Messages by which an entry uses the store through the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayCondition:
    """The version that a row must have, 0 when it must not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RelayWrite:
    """A row's new value, or its removal."""

    table: str
    key: str
    value: bytes
    removed: bool


@dataclass(frozen=True, slots=True)
class RelayRow:
    """A row as the store has it."""

    table: str
    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RelayCommit:
    """Entry to leader: apply a transaction."""

    request_id: int
    conditions: tuple[RelayCondition, ...]
    writes: tuple[RelayWrite, ...]


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Entry to leader: read a range of rows.

    :param limit: most rows, 0 for as many as one page holds.
    :param partition: where to look, empty for the partition of ``start``.
    """

    request_id: int
    table: str
    start: str
    end: str
    limit: int
    partition: str = ""


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Leader to entry: what the store has answered.

    :param failure: empty, ``refused`` when nothing was done, or ``uncertain``.
    :param committed: whether a transaction's conditions held.
    :param rows: of a read, or those of a transaction whose conditions did not hold.
    """

    request_id: int
    failure: str
    committed: bool
    version: int
    truncated: bool
    rows: tuple[RelayRow, ...]
