"""Relays store calls through the leader for an entry that cannot reach the store.

The store may refuse a third of the VMs for nine seconds, or a VM may be cut off from
it, while it serves all others. Callers of such an entry would be refused, or answered
"unknown", although the leader, to which the entry has a link, could write their jobs.
The number of calls that the leader relays at a time is limited, so that it can go on
leading.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    LinkClosedError,
    PistachiodealError,
    StoreError,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.jobentry.probe import probe_store
from pistachiodeal.store.adaptive_timeout import MAX_TIMEOUT_S
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowCondition,
    RowPage,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
)
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.relay_messages import (
    RelayAnswer,
    RelayCommit,
    RelayCondition,
    RelayRead,
    RelayRow,
    RelayWrite,
)

log = Logger("relay")

# Slightly longer than the leader's own longest time-out for the store.
ANSWER_TIMEOUT_S = MAX_TIMEOUT_S + 0.3
# Interval of probes while this process cannot reach the store.
PROBE_INTERVAL_S = 0.3
# Calls that a leader relays concurrently; further ones are refused. Each takes about
# 5 ms if the store answers.
MAX_RELAYED_CALLS = 32
STEP = "relay"

RelayCall = RelayCommit | RelayRead
FindLink = Callable[[], Link | None]


class _Failure(StrEnum):
    NONE = ""
    REFUSED = "refused"
    REJECTED = "rejected"
    UNCERTAIN = "uncertain"


class RelayServer:
    """Makes store calls on behalf of other entries."""

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._running = 0

    async def take(self, link: Link, call: RelayCall) -> None:
        """Start a call; its answer is sent on the link."""
        if self._running >= MAX_RELAYED_CALLS:
            self._events.emit("relay.refused", peer=link.address, running=self._running)
            await self._send(link, _build_failure(call, _Failure.REFUSED))
            return
        self._running += 1
        await curio.spawn(self._run, link, call, daemon=True)

    async def _run(self, link: Link, call: RelayCall) -> None:
        try:
            answer = await self._call_store(call)
        except StoreUncertainError as error:
            log.debug("relay: the store does not answer: {}", error)
            answer = _build_failure(call, _Failure.UNCERTAIN)
        except StoreRejectedError as error:
            log.debug("relay: the store rejects the call: {}", error)
            answer = _build_failure(call, _Failure.REJECTED)
        except StoreError as error:
            log.debug("relay: the store refuses the call: {}", error)
            answer = _build_failure(call, _Failure.REFUSED)
        finally:
            self._running -= 1
        await self._send(link, answer)

    async def _call_store(self, call: RelayCall) -> RelayAnswer:
        if isinstance(call, RelayRead):
            page = await self._store.read(
                call.table, call.start, call.end, call.limit, call.partition
            )
            rows = tuple(_pack_row(call.table, row) for row in page.rows)
            return RelayAnswer(
                call.request_id, "", False, page.version, page.truncated, rows
            )
        result = await self._store.commit(_unpack_commit(call))
        found = tuple(_pack_row(table, row) for (table, _), row in result.found.items())
        return RelayAnswer(
            call.request_id, "", result.committed, result.version, False, found
        )

    async def _send(self, link: Link, answer: RelayAnswer) -> None:
        try:
            await link.send(answer)
        except PistachiodealError as error:
            log.debug("relay: cannot send an answer: {}", error)


class RelayedRows:
    """A ``RowStore`` that relays calls through the leader during an outage.

    :param find_link: returns the link to the leader, or None if there is none.
    """

    def __init__(self, store: RowStore, find_link: FindLink, events: EventLog) -> None:
        self._store = store
        self._find_link = find_link
        self._events = events
        self._unavailable_since = 0.0
        self._waiting: dict[int, curio.Queue] = {}
        self._request_id = 0

    async def handle_answer(self, answer: RelayAnswer) -> None:
        """Pass the leader's answer to the call that waits for it."""
        waiting = self._waiting.get(answer.request_id)
        if waiting is not None:
            await waiting.put(answer)

    async def abandon_calls(self) -> None:
        """End the calls that wait for an answer on a link that is closed now.

        Such a call may have taken effect.
        """
        for waiting in list(self._waiting.values()):
            await waiting.put(None)

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction; see ``RowStore``."""
        link = self._find_relay_link()
        if link is None:
            try:
                return await self._store.commit(transaction)
            except StoreUncertainError as error:
                # The transaction may still be carried out, so it is not relayed. A
                # caller that sends it again sees from the rows whether it was.
                await self._mark_unavailable(error)
                raise
            except StoreRejectedError:
                raise
            except StoreError as error:
                await self._mark_unavailable(error)
                link = self._find_relay_link()
                if link is None:
                    raise
        answer = await self._ask(link, lambda number: _pack_commit(number, transaction))
        found = {(row.table, row.key): _unpack_row(row) for row in answer.rows}
        return TransactionResult(answer.committed, answer.version, found)

    async def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        limit: int = 0,
        partition: str = "",
        *,
        on_progress: Callable[[int], None] | None = None,
    ) -> RowPage:
        """Return a range of rows; see ``RowStore``."""
        link = self._find_relay_link()
        if link is None:
            try:
                return await self._store.read(
                    table, start, end, limit, partition, on_progress=on_progress
                )
            except StoreRejectedError:
                raise
            except StoreError as error:
                await self._mark_unavailable(error)
                link = self._find_relay_link()
                if link is None:
                    raise
        answer = await self._ask(
            link,
            lambda number: RelayRead(number, table, start, end, limit, partition),
        )
        rows = tuple(_unpack_row(row) for row in answer.rows)
        return RowPage(rows, answer.version, answer.truncated)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return changes; never relayed, as a long poll would occupy the leader."""
        try:
            return await self._store.follow(table, after, wait_s)
        except HistoryLostError:
            raise
        except StoreError as error:
            await self._mark_unavailable(error)
            raise

    def _find_relay_link(self) -> Link | None:
        return self._find_link() if self._unavailable_since else None

    async def _ask(self, link: Link, build: Callable[[int], RelayCall]) -> RelayAnswer:
        self._request_id += 1
        number = self._request_id
        waiting: curio.Queue = curio.Queue()
        self._waiting[number] = waiting
        answer: RelayAnswer | None = None
        try:
            async with curio.ignore_after(ANSWER_TIMEOUT_S):
                await link.send(build(number))
                answer = await waiting.get()
        except LinkClosedError as error:
            raise StoreUnavailableError(
                error.detail, step=STEP, peer=link.address
            ) from None
        finally:
            del self._waiting[number]
        if answer is None or answer.failure == _Failure.UNCERTAIN:
            raise StoreUncertainError("no answer", step=STEP, peer=link.address)
        if answer.failure == _Failure.REJECTED:
            raise StoreRejectedError("rejected", step=STEP, peer=link.address)
        if answer.failure:
            raise StoreUnavailableError("refused", step=STEP, peer=link.address)
        return answer

    async def _mark_unavailable(self, error: StoreError) -> None:
        if self._unavailable_since:
            return
        self._unavailable_since = read_boot_clock()
        self._events.emit("store.turned_away", cause=str(error))
        await curio.spawn(self._probe, daemon=True)

    async def _probe(self) -> None:
        """Probe the store directly until it answers."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if not await probe_store(self._store):
                continue
            away_s = read_boot_clock() - self._unavailable_since
            self._unavailable_since = 0.0
            self._events.emit("store.taken_back", away_ms=int(away_s * 1000))
            return


def build_dispatcher(
    relayed: RelayedRows, handle_answer: Callable[..., Awaitable[None]]
) -> Callable[..., Awaitable[None]]:
    """Return a handler of the leader's messages: relayed answers and all others."""

    async def dispatch(message: object) -> None:
        if isinstance(message, RelayAnswer):
            await relayed.handle_answer(message)
        else:
            await handle_answer(message)

    return dispatch


def _build_failure(call: RelayCall, failure: _Failure) -> RelayAnswer:
    return RelayAnswer(call.request_id, failure.value, False, 0, False, ())


def _pack_commit(request_id: int, transaction: Transaction) -> RelayCommit:
    conditions = tuple(
        RelayCondition(condition.table, condition.key, condition.version)
        for condition in transaction.conditions
    )
    writes = tuple(
        RelayWrite(write.table, write.key, write.value or b"", write.value is None)
        for write in transaction.writes
    )
    return RelayCommit(request_id, conditions, writes)


def _unpack_commit(call: RelayCommit) -> Transaction:
    conditions = tuple(
        RowCondition(condition.table, condition.key, condition.version)
        for condition in call.conditions
    )
    writes = tuple(
        RowWrite(write.table, write.key, None if write.removed else write.value)
        for write in call.writes
    )
    return Transaction(conditions, writes)


def _pack_row(table: str, row: StoredRow) -> RelayRow:
    return RelayRow(table, row.key, row.value, row.version)


def _unpack_row(row: RelayRow) -> StoredRow:
    return StoredRow(row.key, row.value, row.version)
