"""The row that names the leader."""

from __future__ import annotations

from dataclasses import dataclass

import orjson
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY
from pistachiodeal.leader.directory import Directory
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

# The version of a row that was heard of and not read: no condition on it holds.
UNREAD = -1


@dataclass(frozen=True, slots=True)
class LeaderCandidate:
    """A process that the row can name.

    :param nonce: its incarnation, so that it recognises a row of its own.
    :param fitness: see :mod:`pistachiodeal.leader.fitness`.
    """

    node: str
    address: str
    nonce: int
    fitness: float


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """The row that names the leader.

    :param nonce: of the process that it names.
    :param fitness: of the last process that it named, 0 if that isn't known.
    """

    epoch: int
    node: str
    address: str
    nonce: int
    version: int
    fitness: float = 0.0


NOBODY = LeaderRow(0, "", "", 0, ABSENT)


class LeaderRowClient:
    """Reads and replaces the row for one process.

    :ivar row: the newest that is known.
    """

    def __init__(self, store: RowStore, directory: Directory, events: EventLog) -> None:
        self._store = store
        self._directory = directory
        self._events = events
        self._read_s = 0.0
        self.row = NOBODY

    @property
    def read_s(self) -> float:
        """Return how long the last answered read has taken, seconds."""
        return self._read_s

    async def read(self) -> LeaderRow | None:
        """Return the row as it is now, None when the store gives no answer."""
        asked_at = read_boot_clock()
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEADER_KEY)
        except StoreError as error:
            log.debug("leader_row: cannot read it: {}", error)
            return None
        self._read_s = read_boot_clock() - asked_at
        if not page.rows:
            return NOBODY
        try:
            row = decode_leader_row(page.rows[0])
        except ProtocolError as error:
            return self._build_unreadable_row(page.rows[0], error)
        if row.address:
            self._directory.note_leader(row.epoch, row.address)
        return row

    def build_heard_row(self) -> LeaderRow:
        """Take what others say of the leader for its row.

        Nobody can campaign against it: no condition on its version holds.
        """
        directory = self._directory
        self.row = LeaderRow(directory.epoch, "", directory.leader, 0, UNREAD)
        return self.row

    async def appoint(self, holder: LeaderCandidate) -> TransactionResult:
        """Name a process under the next epoch, if the row has not changed.

        :raises StoreError: see ``RowStore``.
        """
        epoch = self.row.epoch + 1
        result = await self._store.commit(build_replacement(self.row, epoch, holder))
        if result.committed:
            self.row = LeaderRow(
                epoch,
                holder.node,
                holder.address,
                holder.nonce,
                result.version,
                holder.fitness,
            )
        return result

    async def vacate(self) -> None:
        """Name nobody, so that others needn't wait for silence.

        :raises StoreError: see ``RowStore``.
        """
        row = self.row
        nobody = LeaderCandidate("", "", 0, row.fitness)
        await self._store.commit(build_replacement(row, row.epoch, nobody))

    def _build_unreadable_row(self, row: StoredRow, error: Exception) -> LeaderRow:
        """Take a row that another writer has spoilt for a vacant one.

        Left as it is, nobody could ever take the lead again. The epoch goes on from
        the highest one heard of, so that runners obey whoever takes it.
        """
        self._events.emit(
            "row.unreadable", table=CONTROL_TABLE, key=row.key, cause=str(error)
        )
        epoch = max(self._directory.epoch, self.row.epoch)
        return LeaderRow(epoch, "", "", 0, row.version)


def build_replacement(
    row: LeaderRow, epoch: int, holder: LeaderCandidate
) -> Transaction:
    """Return the transaction that replaces a row which has not changed meanwhile."""
    value = orjson.dumps(
        {
            "epoch": epoch,
            "node": holder.node,
            "address": holder.address,
            "nonce": holder.nonce,
            "fitness": holder.fitness,
        }
    )
    return Transaction(
        (RowCondition(CONTROL_TABLE, LEADER_KEY, row.version),),
        (RowWrite(CONTROL_TABLE, LEADER_KEY, value),),
    )


def decode_leader_row(row: StoredRow) -> LeaderRow:
    """Return what the store has.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        document = orjson.loads(row.value)
        found = LeaderRow(
            document["epoch"],
            document["node"],
            document["address"],
            document["nonce"],
            row.version,
            # Rows of earlier versions don't tell it.
            document.get("fitness", 0.0),
        )
        check_fields(found)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(repr(error), step="leader.decode_row") from error
    return found
