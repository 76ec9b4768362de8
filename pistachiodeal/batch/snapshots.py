"""Loads a partition from the store and compacts its journal into snapshots."""

from __future__ import annotations

from dataclasses import dataclass

import orjson
from logbook import Logger

from pistachiodeal.batch.append_request import JournalPosition
from pistachiodeal.batch.events import decode_events
from pistachiodeal.batch.keys import (
    journal_key,
    journal_prefix,
    partition_key,
    snapshot_key,
    snapshot_object,
)
from pistachiodeal.batch.partition import PartitionState, replay
from pistachiodeal.exceptions import (
    FencedError,
    ProtocolError,
    StoreError,
    StoreUnavailableError,
)
from pistachiodeal.store.protocols import ABSENT, ObjectStore, Table, Write

log = Logger("batch")

PAGE_ROWS = 200
DELETE_ROWS = 100


@dataclass(frozen=True, slots=True)
class SnapshotInfo:
    """The content of a partition's snapshot row.

    :param seq: last journal row in the snapshot, 0 if there is no snapshot.
    :param object_key: object that holds the snapshot, empty if there is none.
    :param version: version of the row.
    """

    seq: int = 0
    object_key: str = ""
    version: int = ABSENT


class SnapshotManager:
    """Loads a partition and writes its snapshots, for its owner."""

    def __init__(self, table: Table, objects: ObjectStore, partition: int) -> None:
        self._table = table
        self._objects = objects
        self._partition = partition
        self._snapshot = SnapshotInfo()
        self._row_is_current = False
        self._first_row = 1

    @property
    def snapshot_seq(self) -> int:
        """Return the number of the last journal row in the snapshot."""
        return self._snapshot.seq

    async def load(self, state: PartitionState) -> int:
        """Rebuild the state of a partition; return the number of the last journal row.

        Call this only once the partition row names the new owner: from then on no
        earlier owner can add a row.

        :raises StoreError: the store could not be read.
        :raises ProtocolError: the stored data is incomplete or malformed.
        """
        await self._read_row()
        if self._snapshot.object_key:
            data = await self._objects.get(self._snapshot.object_key)
            if data is None:
                raise ProtocolError(
                    f"snapshot {self._snapshot.object_key} is missing", step="replay"
                )
            state.load(data)
        return await self._replay(state)

    async def write_snapshot(
        self, state: PartitionState, seq: int, position: JournalPosition
    ) -> None:
        """Store a snapshot of the state at ``seq``, then delete the rows up to ``seq``.

        :raises FencedError: another entry owns the partition.
        :raises StoreError: the store could not be written; no data is lost.
        """
        state.prune()
        data = state.dump()
        if not self._row_is_current:
            await self._read_row()
        key = snapshot_object(self._partition, seq, position.epoch)
        await self._objects.put(key, data)
        row = orjson.dumps({"seq": seq, "object": key})
        old = self._snapshot
        # Without the version check, a write whose response was lost could take effect
        # after the write of the next snapshot. The row would then name an older object
        # although the journal rows after that object are deleted.
        write = Write(snapshot_key(self._partition), row, expect=old.version)
        self._row_is_current = False
        versions = await self._commit(position, [write])
        self._snapshot = SnapshotInfo(seq, key, versions[write.key])
        self._row_is_current = True
        await self._delete_rows(position, seq)
        if old.object_key and old.object_key != key:
            await self._objects.delete(old.object_key)
        log.info(
            "batch: partition {} has a snapshot up to row {}", self._partition, seq
        )

    async def _read_row(self) -> None:
        key = snapshot_key(self._partition)
        row = (await self._table.read([key])).get(key)
        self._row_is_current = True
        if row is None:
            self._snapshot = SnapshotInfo()
            return
        document = orjson.loads(row.value)
        self._snapshot = SnapshotInfo(document["seq"], document["object"], row.version)

    async def _replay(self, state: PartitionState) -> int:
        seq = self._snapshot.seq
        prefix = journal_prefix(self._partition)
        after = ""
        first = 0
        while True:
            rows = await self._table.scan(prefix, after, PAGE_ROWS)
            for row in rows:
                number = int(row.key[len(prefix) :])
                first = first or number
                # Rows that the snapshot includes are left over when writing it was
                # interrupted between its commit and its deletes.
                if number <= self._snapshot.seq:
                    continue
                if number != seq + 1:
                    raise ProtocolError(
                        f"journal row {seq + 1} is missing", step="replay"
                    )
                replay(state, decode_events(orjson.loads(row.value)["events"]))
                seq = number
            if len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key
        self._first_row = first or seq + 1
        return seq

    async def _delete_rows(self, position: JournalPosition, seq: int) -> None:
        while self._first_row <= seq:
            last = min(seq, self._first_row + DELETE_ROWS - 1)
            numbers = range(self._first_row, last + 1)
            deletes = [Write(journal_key(self._partition, n)) for n in numbers]
            await self._commit(position, deletes)
            self._first_row = last + 1

    async def _commit(
        self, position: JournalPosition, writes: list[Write]
    ) -> dict[str, int]:
        check = Write(
            partition_key(self._partition), expect=position.row_version, check_only=True
        )
        result = await self._table.commit([check, *writes])
        if check.key in result.conflicts:
            raise FencedError(
                f"partition {self._partition} at epoch {position.epoch}",
                step="snapshot.commit",
            )
        if not result.committed:
            raise StoreUnavailableError(
                "the snapshot row has changed", step="snapshot.commit"
            )
        return result.versions


async def try_write_snapshot(
    manager: SnapshotManager, state: PartitionState, seq: int, position: JournalPosition
) -> bool:
    """Write a snapshot; log store errors and return whether it succeeded."""
    try:
        await manager.write_snapshot(state, seq, position)
    except StoreError as error:
        log.notice("batch: partition {} snapshot failed: {}", position.partition, error)
        return False
    return True
