"""Accepts jobs and cancellations: rows that are inserted once, many a transaction."""

from __future__ import annotations

import random

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    Outcome,
    RequestError,
    StoreError,
    StoreUncertainError,
)
from pistachiodeal.jobentry.insert_queue import Insert, InsertQueue
from pistachiodeal.jobentry.probe import probe_store
from pistachiodeal.jobs.rows import JOBS_TABLE, SUBMISSION_PARTITIONS
from pistachiodeal.scheduling.comeback import choose_retry_after_s
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
    TransactionResult,
)

# One for each partition of submissions, which has one transaction on its way.
WRITERS = SUBMISSION_PARTITIONS
# Time kept for the answer's way back to the caller, at most half of what is left.
ANSWER_MARGIN_S = 0.3
# With less time than this a write is not begun. Callers that come back have little more
# left: with all of the margin kept, their inserts would be sent and answered "unknown"
# in the same millisecond.
MIN_WRITE_TIME_S = 0.02
# A store that is away is asked again this often, and first after a short while: one
# that refuses writes for their rate and answers reads would be written to in a loop.
PROBE_INTERVAL_S = 0.2
FIRST_PROBE_DELAY_S = 0.05


class Acceptance:
    """Inserts rows into the jobs table.

    A store that goes away leaves a few inserts without an answer. Each of them is
    settled by trying it again once the store answers, while its caller still waits.
    All others are refused at once: they were never sent, so that is true, and their
    callers may try again elsewhere. Whether the store is back is found out by reading.
    A caller's insert as the probe would be one more that nobody knows the end of, and
    a caller that is told so may not try again.
    """

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._queue = InsertQueue()
        self._unsettled: list[Insert] = []
        self._down_since = 0.0
        self._store_lost = curio.Event()
        self._random = random.Random()

    async def insert(self, key: str, value: bytes, budget_s: float) -> None:
        """Insert a row that may be there already; return when it is durable.

        :raises RequestError: with outcome ``not_run`` if the row certainly is not,
            and never will be, there; else ``unknown``.
        """
        if self._down_since:
            raise self._build_refusal("the store is away")
        wait_s = budget_s - min(ANSWER_MARGIN_S, budget_s / 2)
        if wait_s < MIN_WRITE_TIME_S:
            raise self._build_refusal("its caller leaves no time for a write")
        insert = Insert(key, value)
        await self._queue.put(insert)
        async with curio.ignore_after(wait_s):
            await insert.done.wait()
        if not insert.done.is_set():
            insert.abandoned = True
            insert.error = self._build_failure(
                insert, "the store gave no answer in time"
            )
        if insert.error is not None:
            raise insert.error

    async def run(self) -> None:
        """Write for ever."""
        async with curio.TaskGroup() as group:
            for _ in range(WRITERS):
                await group.spawn(self._run_writer)
            await group.spawn(self._run_probe)

    async def _run_writer(self) -> None:
        while True:
            partition, batch = await self._queue.take()
            while batch:
                batch = await self._write([one for one in batch if not one.abandoned])
            await self._queue.finish(partition)

    async def _write(self, batch: list[Insert]) -> list[Insert]:
        """Try once; return the inserts that have to be tried again."""
        if not batch:
            return []
        if self._down_since:
            await self._defer_or_refuse(batch, "the store is away")
            return []
        for insert in batch:
            insert.tries += 1
        try:
            result = await self._store.commit(_build(batch))
        except StoreUncertainError as error:
            await self._mark_down(error)
            await self._defer_or_refuse(batch, str(error))
            return []
        except StoreError as error:
            # Nothing was done by this try.
            for insert in batch:
                insert.tries -= 1
            await self._mark_down(error)
            await self._defer_or_refuse(batch, str(error))
            return []
        if result.committed:
            for insert in batch:
                await insert.done.set()
            return []
        return await self._resolve_conflict(batch, result)

    async def _resolve_conflict(
        self, batch: list[Insert], result: TransactionResult
    ) -> list[Insert]:
        # One row that is there already fails the whole transaction. It is a repeat of
        # its own submission, so it is accepted; the others are tried again.
        again = []
        for insert in batch:
            row = result.found.get((JOBS_TABLE, insert.key))
            if row is not None and row.version:
                await insert.done.set()
            else:
                again.append(insert)
        return again

    async def _defer_or_refuse(self, batch: list[Insert], detail: str) -> None:
        """Keep what may have taken effect for later; refuse what certainly has not."""
        for insert in batch:
            if insert.tries:
                self._unsettled.append(insert)
            else:
                insert.error = self._build_failure(insert, detail)
                await insert.done.set()

    async def _run_probe(self) -> None:
        """Find out when the store is back, and then settle what has no answer."""
        while True:
            await self._store_lost.wait()
            await curio.sleep(FIRST_PROBE_DELAY_S)
            if not await probe_store(self._store):
                await curio.sleep(PROBE_INTERVAL_S)
                continue
            away_s = read_boot_clock() - self._down_since
            self._store_lost.clear()
            self._down_since = 0.0
            unsettled, self._unsettled = self._unsettled, []
            self._events.emit(
                "store.regained", away_ms=int(away_s * 1000), unsettled=len(unsettled)
            )
            for insert in unsettled:
                await self._queue.put(insert)

    async def _mark_down(self, error: StoreError) -> None:
        if self._down_since:
            return
        self._down_since = read_boot_clock()
        self._events.emit("store.lost", cause=str(error))
        await self._store_lost.set()

    def _build_failure(self, insert: Insert, detail: str) -> RequestError:
        if not insert.tries:
            return self._build_refusal(detail)
        # A try may still be carried out: "not accepted" would be untrue.
        return RequestError(
            detail,
            code="store_uncertain",
            status=504,
            outcome=Outcome.UNKNOWN,
            step="jobs.accept",
        )

    def _build_refusal(self, detail: str) -> RequestError:
        away_s = read_boot_clock() - self._down_since if self._down_since else 0.0
        return RequestError(
            detail,
            code="store_unavailable",
            status=503,
            retry_after=choose_retry_after_s(away_s, self._random),
            step="jobs.accept",
        )


def _build(batch: list[Insert]) -> Transaction:
    conditions = tuple(RowCondition(JOBS_TABLE, one.key, ABSENT) for one in batch)
    writes = tuple(RowWrite(JOBS_TABLE, one.key, one.value) for one in batch)
    return Transaction(conditions, writes)
