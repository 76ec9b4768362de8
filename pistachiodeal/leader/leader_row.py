"""Reads and writes the row of the store that names the leader."""

from __future__ import annotations

from dataclasses import dataclass

import orjson
from logbook import Logger

from pistachiodeal.addresses import is_address
from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    ProtocolError,
    StoreError,
    StoreUncertainError,
)
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY
from pistachiodeal.leader.directory import Directory
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
    read_row,
)

log = Logger("leader_row")

# The version of a row that other processes reported and that was not read: no
# conditional write against it succeeds.
UNREAD_VERSION = -1
# Fencing tokens are 64-bit numbers, with the epoch above the lowest 30 bits. The bound
# is far below, so that a leader can go on from any epoch that it has read.
MAX_EPOCH = 10**9


@dataclass(frozen=True, slots=True)
class LeaderCandidate:
    """A process that can become the leader.

    :param nonce: its incarnation, by which it recognises a row that it wrote itself.
    :param fitness: see :mod:`pistachiodeal.leader.fitness`.
    """

    node: str
    address: str
    nonce: int
    fitness: float


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """The decoded row that names the leader.

    :param nonce: incarnation of the leader.
    :param fitness: of the last leader that the row named, 0 if it isn't known.
    """

    epoch: int
    node: str
    address: str
    nonce: int
    version: int
    fitness: float = 0.0


NO_LEADER = LeaderRow(0, "", "", 0, ABSENT)


class LeaderRowClient:
    """Reads and replaces the leader's row on behalf of one process.

    :ivar row: the newest known state of the row.
    """

    def __init__(self, store: RowStore, directory: Directory, events: EventLog) -> None:
        self._store = store
        self._directory = directory
        self._events = events
        self._last_read_s = 0.0
        self.row = NO_LEADER

    @property
    def last_read_s(self) -> float:
        """Return the duration of the last successful read, seconds."""
        return self._last_read_s

    async def read(self) -> LeaderRow | None:
        """Return the current row, None if the store doesn't answer."""
        asked_at = read_boot_clock()
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEADER_KEY)
        except StoreError as error:
            log.debug("leader_row: cannot read the leader's row: {}", error)
            return None
        self._last_read_s = read_boot_clock() - asked_at
        if not page.rows:
            return NO_LEADER
        try:
            row = decode_leader_row(page.rows[0])
        except ProtocolError as error:
            return self._build_vacant_row(page.rows[0], error)
        if row.address:
            self._directory.update_leader(row.epoch, row.address)
        return row

    def adopt_reported_leader(self) -> LeaderRow:
        """Use the leader that other processes reported as the row.

        The row can't be replaced, since no condition on its version holds.
        """
        directory = self._directory
        self.row = LeaderRow(directory.epoch, "", directory.leader, 0, UNREAD_VERSION)
        return self.row

    async def set_leader(self, candidate: LeaderCandidate) -> TransactionResult:
        """Write a new leader under the next epoch, if the row has not changed.

        :raises StoreError: see ``RowStore``.
        """
        epoch = self.row.epoch + 1
        result = await self._store.commit(build_replacement(self.row, epoch, candidate))
        if result.committed:
            self.row = LeaderRow(
                epoch,
                candidate.node,
                candidate.address,
                candidate.nonce,
                result.version,
                candidate.fitness,
            )
        return result

    async def transfer(self, candidate: LeaderCandidate) -> int:
        """Write a successor under the next epoch, and find out whether that worked.

        :return: its epoch; 0 if the write failed, or if it got no answer and a read of
            the row doesn't show it.
        """
        epoch = self.row.epoch + 1
        try:
            result = await self.set_leader(candidate)
        except StoreUncertainError as error:
            log.debug("leader_row: no answer to the write of a hand-over: {}", error)
            row = await self.read()
            named = row is not None and (row.nonce, row.epoch) == (
                candidate.nonce,
                epoch,
            )
            return epoch if named else 0
        except StoreError as error:
            log.info("leader_row: cannot write the hand-over: {}", error)
            return 0
        return epoch if result.committed else 0

    async def clear_leader(self) -> None:
        """Write a row without a leader, so that followers needn't wait for a timeout.

        :raises StoreError: see ``RowStore``.
        """
        row = self.row
        no_candidate = LeaderCandidate("", "", 0, row.fitness)
        await self._store.commit(build_replacement(row, row.epoch, no_candidate))

    def _build_vacant_row(self, row: StoredRow, error: Exception) -> LeaderRow:
        """Treat a row that can't be decoded as one without a leader.

        Otherwise no process could ever become the leader again. The epoch continues
        from the highest known one, so that runners accept the next leader.
        """
        self._events.emit(
            "row.unreadable", table=CONTROL_TABLE, key=row.key, cause=str(error)
        )
        epoch = max(self._directory.epoch, self.row.epoch)
        return LeaderRow(epoch, "", "", 0, row.version)


def build_replacement(
    row: LeaderRow, epoch: int, candidate: LeaderCandidate
) -> Transaction:
    """Return the transaction that replaces the row if its version is unchanged."""
    value = orjson.dumps(
        {
            "epoch": epoch,
            "node": candidate.node,
            "address": candidate.address,
            "nonce": candidate.nonce,
            "fitness": candidate.fitness,
        }
    )
    return Transaction(
        (RowCondition(CONTROL_TABLE, LEADER_KEY, row.version),),
        (RowWrite(CONTROL_TABLE, LEADER_KEY, value),),
    )


def decode_leader_row(row: StoredRow) -> LeaderRow:
    """Decode the leader's row.

    :raises ProtocolError: the value is malformed.
    """
    try:
        document = orjson.loads(row.value)
        found = LeaderRow(
            document["epoch"],
            document["node"],
            document["address"],
            document["nonce"],
            row.version,
            # Rows written by earlier versions lack this field.
            document.get("fitness", 0.0),
        )
        check_fields(found)
        if found.nonce < 0 or not 0 <= found.epoch <= MAX_EPOCH:
            raise ValueError("a number is out of bounds")
        if found.address and not is_address(found.address):
            raise ValueError("the address can't be used")
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="leader.decode_row") from error
    return found
