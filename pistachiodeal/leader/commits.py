"""Writes the leader's decisions, many jobs a transaction, fenced by the epoch.

Each transaction demands that the leader's row and every job's row are at the version
that the leader knows. Without the first, a leader that was replaced could go on.
Without the second, a transaction whose answer was lost could be carried out seconds
later and put an older state over a newer one: a task would run again after its end.
"""

from __future__ import annotations

from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import FencedError, StoreError
from pistachiodeal.jobs.record import JobRecord, encode_progress
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
# A transaction takes 100 entries; each job needs a condition and a write, and the
# leader's row one condition.
JOBS_A_TRANSACTION = 49
# Half of what one call may carry, since values grow by a third on the wire.
TRANSACTION_BYTES = 500_000
RETRY_S = 0.1
LONGEST_RETRY_S = 0.5
# The leader's right to grant leases counts from its last confirmed look at its row.
CONFIRM_S = 0.4
# Jobs whose rows go in one transaction: three rows each.
REMOVALS = 30


@dataclass(frozen=True, slots=True)
class Authority:
    """The row that makes a process the leader.

    :param asked_at: the row was surely not written before this, boot clock; the
        leader's own right counts from here.
    :param taken_by: it was surely written by then; a predecessor may have thought
        itself in office until here.
    """

    epoch: int
    row_version: int
    asked_at: float
    taken_by: float


class CommitLog:
    """Writes what the book holds unsaved."""

    def __init__(self, store: RowStore, authority: Authority, events: EventLog) -> None:
        self._store = store
        self._authority = authority
        self._events = events
        self._confirmed_at = authority.asked_at
        self._last_write_s = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of this leader."""
        return self._authority.epoch

    @property
    def confirmed_at(self) -> float:
        """Return the last moment at which this process was certainly the leader."""
        return self._confirmed_at

    @property
    def last_write_s(self) -> float:
        """Return how long the last write of jobs has taken."""
        return self._last_write_s

    async def write(self, registry: JobRegistry) -> None:
        """Write one batch; return when it is durable and its effects have run.

        :raises FencedError: another process leads now.
        """
        batch = registry.begin_writes(JOBS_A_TRANSACTION)
        while batch:
            part, batch = _split(batch)
            await self._write_part(registry, part)

    async def confirm(self) -> None:
        """Look at the leader's row when the last look is long ago.

        :raises FencedError: another process leads now.
        """
        asked_at = read_boot_clock()
        if asked_at - self._confirmed_at < CONFIRM_S:
            return
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEADER_KEY)
        except StoreError as error:
            log.debug("leader: cannot confirm: {}", error)
            return
        if not page.rows or page.rows[0].version != self._authority.row_version:
            raise FencedError(step="leader.confirm")
        self._confirmed_at = max(self._confirmed_at, asked_at)

    async def remove(self, records: list[JobRecord]) -> bool:
        """Remove the rows of jobs that nobody may ask for; tell whether it was done.

        Submissions go first, each partition by itself and without a fence: what is
        final stays final whoever leads. Progress that is left behind by a crash in
        between is of no job, while a submission without its progress would run again.

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
        return await self.keep(
            *(RowWrite(PROGRESS_TABLE, record.job_id, None) for record in records)
        )

    async def keep(self, *writes: RowWrite) -> bool:
        """Write rows while this process leads; tell whether it was done.

        :raises FencedError: another process leads now.
        """
        conditions = (self._build_own_condition(),)
        try:
            result = await self._store.commit(Transaction(conditions, writes))
        except StoreError as error:
            log.debug("leader: cannot write {}: {}", writes[0].key, error)
            return False
        self._check_fence(result)
        return result.committed

    async def _write_part(
        self, registry: JobRegistry, part: list[tuple[JobRecord, list[Callback]]]
    ) -> None:
        pause = RETRY_S
        while True:
            asked_at = read_boot_clock()
            values = [(record, encode_progress(record)) for record, _ in part]
            try:
                result = await self._store.commit(self._build(values))
            except StoreError as error:
                self._events.emit("commit.retry", jobs=len(part), cause=str(error))
                await curio.sleep(pause)
                pause = min(pause * 2, LONGEST_RETRY_S)
                continue
            if result.committed:
                for record, _ in part:
                    record.row_version = result.version
                break
            self._check_fence(result)
            self._adopt(result, part)
            # A try whose answer was lost wrote just this; to write it once more would
            # cost another 0.7 s on a slow store.
            if _is_written(values, result):
                break
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._last_write_s = read_boot_clock() - asked_at
        for record, _ in part:
            registry.finish_write(record.job_id)
        for _, callbacks in part:
            for callback in callbacks:
                callback()

    def _build(self, values: list[tuple[JobRecord, bytes]]) -> Transaction:
        conditions = [self._build_own_condition()]
        writes = []
        for record, value in values:
            conditions.append(
                RowCondition(PROGRESS_TABLE, record.job_id, record.row_version)
            )
            writes.append(RowWrite(PROGRESS_TABLE, record.job_id, value))
        return Transaction(tuple(conditions), tuple(writes))

    def _build_own_condition(self) -> RowCondition:
        version = self._authority.row_version
        return RowCondition(CONTROL_TABLE, LEADER_KEY, version)

    def _check_fence(self, result: TransactionResult) -> None:
        if result.committed:
            return
        row = result.found.get((CONTROL_TABLE, LEADER_KEY))
        if row is None or row.version != self._authority.row_version:
            raise FencedError(step="leader.commit")

    def _adopt(
        self, result: TransactionResult, part: list[tuple[JobRecord, list[Callback]]]
    ) -> None:
        # Only this epoch writes these rows, so another version is that of an earlier
        # try whose answer was lost.
        for record, _ in part:
            row = result.found.get((PROGRESS_TABLE, record.job_id))
            record.row_version = row.version if row and not row.removed else 0


def _is_written(
    values: list[tuple[JobRecord, bytes]], result: TransactionResult
) -> bool:
    """Tell whether the rows already hold what was to be written."""
    found = result.found
    rows = [found.get((PROGRESS_TABLE, record.job_id)) for record, _ in values]
    return all(
        row is not None and not row.removed and row.value == value
        for row, (_, value) in zip(rows, values, strict=True)
    )


def _split(
    batch: list[tuple[JobRecord, list[Callback]]],
) -> tuple[
    list[tuple[JobRecord, list[Callback]]], list[tuple[JobRecord, list[Callback]]]
]:
    """Return as many jobs as one call may carry, and the rest."""
    size = 0
    for number, (record, _) in enumerate(batch):
        size += len(encode_progress(record))
        if size > TRANSACTION_BYTES and number:
            return batch[:number], batch[number:]
    return batch, []
