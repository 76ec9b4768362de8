"""The store through the leader, for an entry that the store turns away.

The failure that this answers: the store refuses a third of the VMs for nine seconds, or
a VM is cut off from it, and serves all others. Callers of such an entry would be turned
away, or told "unknown", although the leader, to which the entry has a link, could write
their jobs. What the leader does for another entry is bounded, so that it goes on
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
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.jobentry.probe import probe_store
from pistachiodeal.store.adaptive_timeout import MAX_TIMEOUT_S
from pistachiodeal.store.row_store import (
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

# The leader waits for the store a little less than this, also for one that is slow.
ANSWER_TIMEOUT_S = MAX_TIMEOUT_S + 0.3
# A store that turns this process away is asked again this often.
PROBE_INTERVAL_S = 0.3
# Calls that a leader makes for others at a time; more are refused. Each takes some
# 5 ms of an answering store.
MAX_RELAYED_CALLS = 32
STEP = "relay"

RelayCall = RelayCommit | RelayRead
FindLink = Callable[[], Link | None]


class _Failure(StrEnum):
    NONE = ""
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class RelayServer:
    """Makes calls of the store for other entries."""

    def __init__(self, store: RowStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._running = 0

    async def take(self, link: Link, call: RelayCall) -> None:
        """Begin a call; its answer follows on the link."""
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
            log.debug("relay: no answer of the store: {}", error)
            answer = _build_failure(call, _Failure.UNCERTAIN)
        except StoreError as error:
            log.debug("relay: the store refuses: {}", error)
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
            log.debug("relay: an answer could not be sent: {}", error)


class RelayedRows:
    """A ``RowStore`` that goes through the leader while the store turns us away.

    :param find_link: returns the link to the leader, None while there is none.
    """

    def __init__(self, store: RowStore, find_link: FindLink, events: EventLog) -> None:
        self._store = store
        self._find_link = find_link
        self._events = events
        self._away_since = 0.0
        self._waiting: dict[int, curio.Queue] = {}
        self._request_id = 0

    async def handle_answer(self, answer: RelayAnswer) -> None:
        """Take in what the leader sends."""
        waiting = self._waiting.get(answer.request_id)
        if waiting is not None:
            await waiting.put(answer)

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction; see ``RowStore``."""
        link = self._find_relay_link()
        if link is None:
            try:
                return await self._store.commit(transaction)
            except StoreUncertainError as error:
                # It may still be carried out. Whoever sends it again sees by the rows
                # whether it was; that is not for this class to decide.
                await self._mark_away(error)
                raise
            except StoreError as error:
                await self._mark_away(error)
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
    ) -> RowPage:
        """Return a range of rows; see ``RowStore``."""
        link = self._find_relay_link()
        if link is None:
            try:
                return await self._store.read(table, start, end, limit, partition)
            except StoreError as error:
                await self._mark_away(error)
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
        """Return what has changed; never relayed, as it would hold the leader up."""
        return await self._store.follow(table, after, wait_s)

    def _find_relay_link(self) -> Link | None:
        return self._find_link() if self._away_since else None

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
        if answer.failure:
            raise StoreUnavailableError("refused", step=STEP, peer=link.address)
        return answer

    async def _mark_away(self, error: StoreError) -> None:
        if self._away_since:
            return
        self._away_since = read_boot_clock()
        self._events.emit("store.turned_away", cause=str(error))
        await curio.spawn(self._probe, daemon=True)

    async def _probe(self) -> None:
        """Ask the store itself until it answers."""
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            if not await probe_store(self._store):
                continue
            away_s = read_boot_clock() - self._away_since
            self._away_since = 0.0
            self._events.emit("store.taken_back", away_ms=int(away_s * 1000))
            return


def build_dispatcher(
    relayed: RelayedRows, handle_answer: Callable[..., Awaitable[None]]
) -> Callable[..., Awaitable[None]]:
    """Return what takes the leader's messages, relayed answers and all others."""

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
        RelayCondition(one.table, one.key, one.version)
        for one in transaction.conditions
    )
    writes = tuple(
        RelayWrite(one.table, one.key, one.value or b"", one.value is None)
        for one in transaction.writes
    )
    return RelayCommit(request_id, conditions, writes)


def _unpack_commit(call: RelayCommit) -> Transaction:
    conditions = tuple(
        RowCondition(one.table, one.key, one.version) for one in call.conditions
    )
    writes = tuple(
        RowWrite(one.table, one.key, None if one.removed else one.value)
        for one in call.writes
    )
    return Transaction(conditions, writes)


def _pack_row(table: str, row: StoredRow) -> RelayRow:
    return RelayRow(table, row.key, row.value, row.version)


def _unpack_row(row: RelayRow) -> StoredRow:
    return StoredRow(row.key, row.value, row.version)
