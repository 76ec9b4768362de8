"""Accepts jobs and cancellations by idempotent, batched inserts into the store."""

from __future__ import annotations

import random

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    JobWithdrawnError,
    Outcome,
    RequestError,
    StoreError,
    StoreRejectedError,
    StoreUncertainError,
)
from pistachiodeal.jobentry.insert_queue import Insert, InsertQueue
from pistachiodeal.jobentry.probe import probe_store
from pistachiodeal.jobs.rows import JOBS_TABLE, SUBMISSION_PARTITIONS
from pistachiodeal.jobs.tombstones import MAX_INSERT_S, is_tombstone
from pistachiodeal.scheduling.retry_after import choose_retry_after_s
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
    TransactionResult,
)

# One per partition of submissions, as each has one transaction in flight at a time.
WRITERS = SUBMISSION_PARTITIONS
# Reserved for sending the response to the caller; at most half of the remaining time.
ANSWER_MARGIN_S = 0.3
# With less time than this a write is not started. Callers that retry have little more
# time left: if the whole margin were reserved, their inserts would be sent and answered
# "unknown" in the same millisecond.
MIN_WRITE_TIME_S = 0.02
# Interval of probes while the store is unavailable. The first probe is delayed too: a
# store that rate-limits writes but answers reads would be written to in a loop.
PROBE_INTERVAL_S = 0.2
FIRST_PROBE_DELAY_S = 0.05


class Acceptance:
    """Inserts rows into the jobs table.

    When the store becomes unavailable, a few inserts are left without an answer. Each
    of them is retried once the store answers again, while its caller still waits. All
    other inserts are refused at once: as they were never sent, their callers may safely
    retry elsewhere. Probes only read. A caller's insert used as a probe could be left
    with an unknown outcome, and a caller with an unknown outcome may not retry.
    """

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._queue = InsertQueue()
        self._unsettled: list[Insert] = []
        self._unavailable_since = 0.0
        self._store_lost = curio.Event()
        self._random = random.Random()

    async def insert(self, key: str, value: bytes, budget_s: float) -> None:
        """Insert a row unless it exists; return when it is durable.

        :raises RequestError: see :meth:`find_or_insert`; or the row is a submission
            that was cancelled before, which has no effect.
        """
        found = await self.find_or_insert(key, value, budget_s)
        if found is not None and is_tombstone(found):
            raise RequestError(
                "the job was cancelled before it was stored",
                code=JobWithdrawnError.code,
                status=409,
                step="jobs.accept",
            )

    async def find_or_insert(
        self, key: str, value: bytes, budget_s: float
    ) -> bytes | None:
        """Insert a row unless it exists; return when it is durable.

        :return: value of the row that existed already, None if it was inserted.
        :raises RequestError: with outcome ``not_run`` if this insert certainly has no
            effect, now or later; otherwise ``unknown``.
        """
        if self._unavailable_since:
            raise self._build_refusal("the store is unavailable")
        wait_s = min(budget_s - min(ANSWER_MARGIN_S, budget_s / 2), MAX_INSERT_S)
        if wait_s < MIN_WRITE_TIME_S:
            raise self._build_refusal("the deadline leaves no time for a write")
        insert = Insert(key, value, read_boot_clock() + wait_s)
        try:
            await self._queue.put(insert)
            async with curio.ignore_after(wait_s):
                await insert.done.wait()
        finally:
            insert.abandoned = not insert.done.is_set()
        if insert.abandoned:
            insert.error = self._build_failure(
                insert, "the store did not answer in time"
            )
        if insert.error is not None:
            raise insert.error
        return insert.found

    async def run(self) -> None:
        """Run the writers and the probe for ever."""
        async with curio.TaskGroup() as group:
            for _ in range(WRITERS):
                await group.spawn(self._run_writer)
            await group.spawn(self._run_probe)

    async def _run_writer(self) -> None:
        while True:
            partition, batch = await self._queue.take()
            while batch:
                batch = await self._write(_drop_expired(batch))
            await self._queue.finish(partition)

    async def _write(self, batch: list[Insert]) -> list[Insert]:
        """Try to commit a batch once; return the inserts to retry at once."""
        if not batch:
            return []
        if self._unavailable_since:
            await self._defer_or_refuse(batch, "the store is unavailable")
            return []
        for insert in batch:
            insert.tries += 1
        try:
            result = await self._store.commit(_build(batch))
        except StoreUncertainError as error:
            await self._mark_unavailable(error)
            await self._defer_or_refuse(batch, str(error))
            return []
        except StoreRejectedError as error:
            for insert in batch:
                insert.tries -= 1
            return await self._isolate(batch, error)
        except StoreError as error:
            # This try took no effect.
            for insert in batch:
                insert.tries -= 1
            await self._mark_unavailable(error)
            await self._defer_or_refuse(batch, str(error))
            return []
        if result.committed:
            for insert in batch:
                await insert.done.set()
            return []
        return await self._resolve_conflict(batch, result)

    async def _isolate(
        self, batch: list[Insert], error: StoreRejectedError
    ) -> list[Insert]:
        """Insert the rows of a rejected batch in two, or refuse a single one."""
        if len(batch) > 1:
            middle = len(batch) // 2
            first = await self._write(batch[:middle])
            return first + await self._write(_drop_expired(batch[middle:]))
        [insert] = batch
        self._events.emit("insert.rejected", key=insert.key, cause=str(error))
        insert.error = self._build_rejection(insert, error)
        await insert.done.set()
        return []

    async def _resolve_conflict(
        self, batch: list[Insert], result: TransactionResult
    ) -> list[Insert]:
        # One row that exists fails the whole transaction. Its insert repeats an earlier
        # submission, so it counts as accepted; the others are retried.
        again = []
        for insert in batch:
            row = result.found.get((JOBS_TABLE, insert.key))
            if row is not None and row.version:
                insert.found = row.value
                await insert.done.set()
            else:
                again.append(insert)
        return again

    async def _defer_or_refuse(self, batch: list[Insert], detail: str) -> None:
        """Defer inserts that may have taken effect; refuse those that have not."""
        for insert in batch:
            if insert.tries:
                self._unsettled.append(insert)
            else:
                insert.error = self._build_failure(insert, detail)
                await insert.done.set()

    async def _run_probe(self) -> None:
        """Probe an unavailable store; when it answers, retry the unsettled inserts."""
        while True:
            await self._store_lost.wait()
            await curio.sleep(FIRST_PROBE_DELAY_S)
            if not await probe_store(self._store):
                await curio.sleep(PROBE_INTERVAL_S)
                continue
            away_s = read_boot_clock() - self._unavailable_since
            self._store_lost.clear()
            self._unavailable_since = 0.0
            unsettled, self._unsettled = self._unsettled, []
            self._events.emit(
                "store.regained", away_ms=int(away_s * 1000), unsettled=len(unsettled)
            )
            for insert in unsettled:
                await self._queue.put(insert)

    async def _mark_unavailable(self, error: StoreError) -> None:
        if self._unavailable_since:
            return
        self._unavailable_since = read_boot_clock()
        self._events.emit("store.lost", cause=str(error))
        await self._store_lost.set()

    def _build_failure(self, insert: Insert, detail: str) -> RequestError:
        if not insert.tries:
            return self._build_refusal(detail)
        # A try may still be carried out, so the outcome is not known to be "not run".
        return RequestError(
            detail,
            code="store_uncertain",
            status=504,
            outcome=Outcome.UNKNOWN,
            step="jobs.accept",
        )

    def _build_rejection(
        self, insert: Insert, error: StoreRejectedError
    ) -> RequestError:
        if insert.tries:
            return self._build_failure(insert, str(error))
        return RequestError(
            f"the store rejects the row of the request: {error}",
            code=StoreRejectedError.code,
            status=422,
            step="jobs.accept",
        )

    def _build_refusal(self, detail: str) -> RequestError:
        away_s = (
            read_boot_clock() - self._unavailable_since
            if self._unavailable_since
            else 0.0
        )
        return RequestError(
            detail,
            code="store_unavailable",
            status=503,
            retry_after=choose_retry_after_s(away_s, self._random),
            step="jobs.accept",
        )


def _drop_expired(batch: list[Insert]) -> list[Insert]:
    """Return the inserts whose callers wait.

    A process that was suspended sends nothing that was due before: the timers of its
    callers may fire later than its writers run.
    """
    now = read_boot_clock()
    return [
        insert for insert in batch if not insert.abandoned and now < insert.expires_at
    ]


def _build(batch: list[Insert]) -> Transaction:
    conditions = tuple(RowCondition(JOBS_TABLE, insert.key, ABSENT) for insert in batch)
    writes = tuple(RowWrite(JOBS_TABLE, insert.key, insert.value) for insert in batch)
    return Transaction(conditions, writes)
