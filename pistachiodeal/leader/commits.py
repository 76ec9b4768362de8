"""Writes the leader's decisions in fenced transactions of many jobs each.

Each transaction is conditional on the versions of the leader's row and of the rows of
all its jobs. Without the first condition, a replaced leader could go on writing.
Without the second, a transaction whose answer was lost could be carried out seconds
later and overwrite a newer state with an older one, so that a finished task would run
again.
"""

from __future__ import annotations

from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import DEFAULT_ROW_BYTES
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import FencedError, StoreError, StoreRejectedError
from pistachiodeal.jobs.progress import encode_progress
from pistachiodeal.jobs.progress_rows import build_part_key, divide_progress
from pistachiodeal.jobs.record import JobRecord
from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    UNDIVIDED_PARTITION,
    build_cancel_key,
    find_partition,
)
from pistachiodeal.leader.registry import Callback, JobRegistry
from pistachiodeal.store.row_store import (
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
    TransactionResult,
    read_row,
)

log = Logger("leader")

CONTROL_TABLE = "control"
LEADER_KEY = "leader"
# A transaction holds at most 100 entries: one condition and one write for each job, or
# more if its progress is divided, and one condition on the leader's row.
MAX_JOBS_PER_TRANSACTION = 49
MAX_ENTRIES = 99
# Half the limit of one call, since values grow by a third on the wire.
MAX_TRANSACTION_BYTES = 500_000
RETRY_S = 0.1
MAX_RETRY_S = 0.5
# A job whose row the store rejects is written again after this long.
REJECTED_RETRY_S = 5.0
# How often the leader reads its row if it writes nothing. Leases are granted for a
# time that counts from the last confirmation.
CONFIRM_INTERVAL_S = 0.4
# Jobs whose rows are removed at a time, three rows each.
MAX_REMOVALS = 30


Batch = list[tuple[JobRecord, list[Callback]]]
"""Jobs to write, each with what is called once its row is durable."""


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """One term of a leader, as established by the leader's row.

    :param row_version: of the leader's row; another version means another leader.
    :param asked_at: when this process sent the write of the row, or the read that found
        itself in it, boot clock. Its authority to grant leases counts from here.
    :param acquired_by: when the answer was in, boot clock. The row was written by then,
        and the predecessor may have considered itself the leader until here.
    """

    epoch: int
    row_version: int
    asked_at: float
    acquired_by: float


class FencedWriter:
    """Writes rows on condition that this process still leads.

    :param row_bytes: largest row that the store accepts, bytes.
    """

    def __init__(
        self,
        store: RowStore,
        term: LeaderTerm,
        events: EventLog,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        self._store = store
        self._term = term
        self._events = events
        self._row_bytes = row_bytes
        # Jobs that were last written without their checkpoints.
        self._reduced: set[str] = set()
        self._confirmed_at = term.asked_at
        self._last_write_s = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of this leader."""
        return self._term.epoch

    @property
    def confirmed_at(self) -> float:
        """Return when this process was last confirmed as the leader, boot clock."""
        return self._confirmed_at

    @property
    def unconfirmed_s(self) -> float:
        """Return the time since that confirmation, seconds."""
        return read_boot_clock() - self._confirmed_at

    @property
    def last_write_s(self) -> float:
        """Return the duration of the last write of jobs, seconds."""
        return self._last_write_s

    async def write(self, registry: JobRegistry) -> None:
        """Write one batch of unsaved jobs; return once it is durable and applied.

        The callbacks of a decision, such as the one that sends its order, run after the
        write.

        :raises FencedError: another process leads now.
        """
        batch = registry.begin_writes(MAX_JOBS_PER_TRANSACTION)
        while batch:
            part, batch = self._split(batch)
            await self._write_part(registry, part)

    async def confirm(self) -> None:
        """Read the leader's row if the last confirmation is too old.

        :raises FencedError: another process leads now.
        """
        asked_at = read_boot_clock()
        if asked_at - self._confirmed_at < CONFIRM_INTERVAL_S:
            return
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEADER_KEY)
        except StoreError as error:
            log.debug("leader: cannot read the leader's row: {}", error)
            return
        if not page.rows or page.rows[0].version != self._term.row_version:
            raise FencedError(step="leader.confirm")
        self._confirmed_at = max(self._confirmed_at, asked_at)

    async def remove(self, records: list[JobRecord]) -> bool:
        """Remove the rows of expired jobs; tell whether all were removed.

        Submissions are removed first, one transaction for each partition and without
        fencing, since a final state stays final whoever leads. A crash in between
        leaves progress rows without a job, which are harmless, whereas a submission
        without its progress would run again.

        :raises FencedError: another process leads now.
        """
        submissions: dict[str, list[RowWrite]] = {}
        for record in records:
            partitions = [find_partition(JOBS_TABLE, record.job_id)]
            if record.undivided:
                partitions.append(UNDIVIDED_PARTITION)
            for partition in partitions:
                submissions.setdefault(partition, []).extend(
                    RowWrite(JOBS_TABLE, key, None, partition)
                    for key in (record.job_id, build_cancel_key(record.job_id))
                )
        try:
            for removals in submissions.values():
                await self._store.commit(Transaction((), tuple(removals)))
        except StoreError as error:
            log.debug("leader: cannot remove old jobs: {}", error)
            return False
        removals = [
            RowWrite(PROGRESS_TABLE, key, None)
            for record in records
            for key in _list_row_keys(record)
        ]
        for start in range(0, len(removals), MAX_ENTRIES):
            if not await self.write_rows(*removals[start : start + MAX_ENTRIES]):
                return False
        return True

    async def write_rows(self, *writes: RowWrite) -> bool:
        """Write rows if this process still leads; tell whether they were written.

        :raises FencedError: another process leads now.
        """
        conditions = (self._build_leader_condition(),)
        try:
            result = await self._store.commit(Transaction(conditions, writes))
        except StoreError as error:
            log.debug("leader: cannot write {}: {}", writes[0].key, error)
            return False
        self._check_fence(result)
        return result.committed

    async def _write_part(self, registry: JobRegistry, part: Batch) -> None:
        pause = RETRY_S
        while True:
            asked_at = read_boot_clock()
            values = [(record, self._encode(record)) for record, _ in part]
            try:
                result = await self._store.commit(self._build(values))
            except StoreRejectedError as error:
                await self._isolate(registry, part, error)
                return
            except StoreError as error:
                self._events.emit("commit.retry", jobs=len(part), cause=str(error))
                await curio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_S)
                continue
            if result.committed:
                for record, rows in values:
                    record.row_version = result.version
                    record.part_rows = len(rows) - 1
                break
            self._check_fence(result)
            self._adopt_row_versions(result, part)
            # An earlier attempt whose answer was lost has written the same values.
            # Writing them again would cost another 0.7 s on a slow store.
            if _is_written(values, result):
                break
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._last_write_s = read_boot_clock() - asked_at
        for record, _ in part:
            registry.finish_write(record.job_id)
        for _, callbacks in part:
            for callback in callbacks:
                callback()

    async def _isolate(
        self, registry: JobRegistry, part: Batch, error: StoreRejectedError
    ) -> None:
        """Write the jobs of a rejected transaction in two, or postpone a single one."""
        if len(part) > 1:
            middle = len(part) // 2
            await self._write_part(registry, part[:middle])
            await self._write_part(registry, part[middle:])
            return
        [(record, callbacks)] = part
        self._events.emit("commit.rejected", job=record.job_id, cause=str(error))
        until = read_boot_clock() + REJECTED_RETRY_S
        registry.postpone_write(record.job_id, callbacks, until)

    def _encode(self, record: JobRecord) -> tuple[bytes, ...]:
        """Return the values of a job's rows, the head first."""
        state, limit = record.state, self._row_bytes
        rows = divide_progress(encode_progress(record), state, limit)
        size = sum(map(len, rows))
        if size <= MAX_TRANSACTION_BYTES:
            self._reduced.discard(record.job_id)
            return rows
        # Tasks that start from the beginning under the next leader are better than a
        # job of which nothing can be written, so that none of its tasks is started.
        if record.job_id not in self._reduced:
            self._reduced.add(record.job_id)
            self._events.emit("progress.reduced", job=record.job_id, bytes=size)
        value = encode_progress(record, checkpoints=False)
        return divide_progress(value, state, limit)

    def _build(self, values: list[tuple[JobRecord, tuple[bytes, ...]]]) -> Transaction:
        conditions = [self._build_leader_condition()]
        writes = []
        for record, rows in values:
            conditions.append(
                RowCondition(PROGRESS_TABLE, record.job_id, record.row_version)
            )
            # If the answer is lost, these rows may exist or may still be written.
            record.part_rows = max(record.part_rows, len(rows) - 1)
            unused = (None,) * (record.part_rows + 1 - len(rows))
            writes += [
                RowWrite(PROGRESS_TABLE, key, value)
                for key, value in zip(
                    _list_row_keys(record), (*rows, *unused), strict=True
                )
            ]
        return Transaction(tuple(conditions), tuple(writes))

    def _split(self, batch: Batch) -> tuple[Batch, Batch]:
        """Return the jobs that fit into one transaction, and the rest."""
        size, entries = 0, 0
        for number, (record, _) in enumerate(batch):
            rows = self._encode(record)
            size += sum(map(len, rows))
            entries += 2 + max(record.part_rows, len(rows) - 1)
            if number and (size > MAX_TRANSACTION_BYTES or entries > MAX_ENTRIES):
                return batch[:number], batch[number:]
        return batch, []

    def _build_leader_condition(self) -> RowCondition:
        version = self._term.row_version
        return RowCondition(CONTROL_TABLE, LEADER_KEY, version)

    def _check_fence(self, result: TransactionResult) -> None:
        if result.committed:
            return
        row = result.found.get((CONTROL_TABLE, LEADER_KEY))
        if row is None or row.version != self._term.row_version:
            raise FencedError(step="leader.commit")

    def _adopt_row_versions(self, result: TransactionResult, part: Batch) -> None:
        # Only the leader of this epoch writes these rows, so a different version stems
        # from an earlier attempt whose answer was lost.
        for record, _ in part:
            row = result.found.get((PROGRESS_TABLE, record.job_id))
            record.row_version = row.version if row and not row.removed else 0


def _list_row_keys(record: JobRecord) -> list[str]:
    """Return the keys of all progress rows that a job may have, the head first."""
    numbers = range(1, record.part_rows + 1)
    return [record.job_id, *(build_part_key(record.job_id, one) for one in numbers)]


def _is_written(
    values: list[tuple[JobRecord, tuple[bytes, ...]]], result: TransactionResult
) -> bool:
    """Tell whether the rows already hold the values to be written.

    Equal heads have equal rows beside them.
    """
    found = result.found
    rows = [found.get((PROGRESS_TABLE, record.job_id)) for record, _ in values]
    return all(
        row is not None and not row.removed and row.value == head
        for row, (_, (head, *_)) in zip(rows, values, strict=True)
    )
