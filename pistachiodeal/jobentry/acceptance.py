"""Accepts jobs and cancellations: rows that are inserted once, many a transaction."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    Outcome,
    RequestError,
    StoreError,
    StoreUncertainError,
)
from pistachiodeal.jobs.rows import JOBS_TABLE
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowStore,
    RowWrite,
    Transaction,
    TransactionResult,
)

log = Logger("acceptance")

# Each insert is a condition and a write, and a transaction takes 100 entries.
INSERTS_A_TRANSACTION = 40
WRITERS = 2
RETRY_AFTER_S = 1.0
# Time kept for the answer's way back to the caller.
ANSWER_MARGIN_S = 0.3
RETRY_S = 0.05
# A lost answer is settled by the second try, which finds the row. A store that is
# silent twice is away: the caller learns it then, and may try elsewhere.
MOST_TRIES = 2
# A refused store is asked again this often; in between, callers are refused at once.
PROBE_S = 0.3


@dataclass(slots=True, eq=False)
class _Insert:
    """One row on its way.

    :param tries: tries without an answer; any of them may still take effect.
    """

    key: str
    value: bytes
    deadline: float
    tries: int = 0
    error: RequestError | None = None
    done: curio.Event = field(default_factory=curio.Event)


class Acceptance:
    """Inserts rows into the jobs table."""

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._queue: curio.Queue = curio.Queue()
        self._down_since = 0.0
        self._probed_at = 0.0

    async def insert(self, key: str, value: bytes, budget_s: float) -> None:
        """Insert a row that may be there already; return when it is durable.

        :raises RequestError: with outcome ``not_run`` if the row certainly is not,
            and never will be, there; else ``unknown``.
        """
        deadline = read_boot_clock() + budget_s - ANSWER_MARGIN_S
        self._refuse_while_down()
        insert = _Insert(key, value, deadline)
        await self._queue.put(insert)
        await insert.done.wait()
        if insert.error is not None:
            raise insert.error

    async def run(self) -> None:
        """Write for ever."""
        async with curio.TaskGroup() as group:
            for _ in range(WRITERS):
                await group.spawn(self._keep_writing)

    def _refuse_while_down(self) -> None:
        if not self._down_since:
            return
        now = read_boot_clock()
        if now - self._probed_at >= PROBE_S:
            # This one goes through and finds out whether the store is back.
            self._probed_at = now
            return
        raise _build_refusal("the store is away")

    async def _keep_writing(self) -> None:
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < INSERTS_A_TRANSACTION:
                batch.append(await self._queue.get())
            while batch:
                batch = await self._write(batch)

    async def _write(self, batch: list[_Insert]) -> list[_Insert]:
        """Try once; return the inserts that have to be tried again."""
        try:
            result = await self._store.commit(_build(batch))
        except StoreUncertainError as error:
            return await self._retry_uncertain(batch, error)
        except StoreError as error:
            return await self._refuse(batch, error)
        if self._down_since:
            away_s = read_boot_clock() - self._down_since
            self._events.emit("store.regained", away_ms=int(away_s * 1000))
            self._down_since = 0.0
        if result.committed:
            for insert in batch:
                await insert.done.set()
            return []
        return await self._take_conflict(batch, result)

    async def _take_conflict(
        self, batch: list[_Insert], result: TransactionResult
    ) -> list[_Insert]:
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

    async def _retry_uncertain(
        self, batch: list[_Insert], error: StoreError
    ) -> list[_Insert]:
        again = []
        for insert in batch:
            insert.tries += 1
            if insert.tries < MOST_TRIES and read_boot_clock() < insert.deadline:
                again.append(insert)
            else:
                await self._fail(insert, error)
        if len(again) < len(batch):
            self._note_down(error)
        if again:
            await curio.sleep(RETRY_S)
        return again

    async def _refuse(self, batch: list[_Insert], error: StoreError) -> list[_Insert]:
        self._note_down(error)
        for insert in batch:
            await self._fail(insert, error)
        return []

    async def _fail(self, insert: _Insert, error: StoreError) -> None:
        if insert.tries:
            # An earlier try may still be carried out: "not accepted" would be untrue.
            insert.error = RequestError(
                str(error),
                code="store_uncertain",
                status=504,
                outcome=Outcome.UNKNOWN,
                step="jobs.accept",
            )
        else:
            insert.error = _build_refusal(str(error))
        await insert.done.set()

    def _note_down(self, error: StoreError) -> None:
        if not self._down_since:
            self._down_since = self._probed_at = read_boot_clock()
            self._events.emit("store.lost", cause=str(error))


def _build(batch: list[_Insert]) -> Transaction:
    conditions = tuple(RowCondition(JOBS_TABLE, one.key, ABSENT) for one in batch)
    writes = tuple(RowWrite(JOBS_TABLE, one.key, one.value) for one in batch)
    return Transaction(conditions, writes)


def _build_refusal(detail: str) -> RequestError:
    return RequestError(
        detail,
        code="store_unavailable",
        status=503,
        retry_after=RETRY_AFTER_S,
        step="jobs.accept",
    )
