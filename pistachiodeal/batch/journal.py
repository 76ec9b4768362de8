"""The journal of a partition: a single writer, fenced by epoch, with group commit."""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Awaitable, Callable, Sequence

import curio
import orjson
from logbook import Logger

from pistachiodeal.batch.append_request import AppendRequest, JournalPosition
from pistachiodeal.batch.events import Event, encode_events
from pistachiodeal.batch.keys import (
    journal_key,
    partition_key,
    read_snapshot_seq,
    snapshot_key,
)
from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.exceptions import (
    FencedError,
    Outcome,
    StoreError,
    StoreUnavailableError,
)
from pistachiodeal.store.protocols import ABSENT, Table, Write

log = Logger("batch")

MAX_ROW_EVENTS = 2_000
MAX_ROW_PAYLOAD = 262_144
MAX_PENDING = 20_000
SETTLE_PAUSE_S = 0.2
MAX_SETTLE_PAUSE_S = 3.0


class Journal:
    """Appends events for the owner of a partition.

    The owner is the only writer and resolves conflicts in memory before it appends,
    so a row never fails because of one of its events.

    :param apply: called for each durable event, in journal order, without an await
        between the response to the commit and the call.
    :param enqueue_message: sends the messages that a settled append returns.
    :param after_row: called once the events of a row have been applied.
    """

    def __init__(
        self,
        table: Table,
        position: JournalPosition,
        apply: Callable[[Event], object],
        enqueue_message: Callable[[OutgoingMessage], Awaitable[None]],
        after_row: Callable[[], Awaitable[None]],
        *,
        group_s: float,
    ) -> None:
        self._table = table
        self._position = position
        self._seq = position.seq
        self._apply = apply
        self._enqueue_message = enqueue_message
        self._after_row = after_row
        self._group_s = group_s
        self._pending: deque[AppendRequest] = deque()
        self._wake = curio.Event()
        self._unsettled = False
        self._closed = False
        self._rows = 0

    @property
    def seq(self) -> int:
        """Return the number of the last durable row."""
        return self._seq

    @property
    def rows(self) -> int:
        """Return the number of rows this owner has written."""
        return self._rows

    @property
    def stalled(self) -> bool:
        """Return whether appends wait until the outcome of an earlier row is known."""
        return self._unsettled

    @property
    def idle(self) -> bool:
        """Return whether no append is pending and no row has an unknown outcome."""
        return not self._pending and not self._unsettled

    @property
    def full(self) -> bool:
        """Return whether further appends are rejected."""
        return self._closed or len(self._pending) >= MAX_PENDING

    async def submit(self, append: AppendRequest) -> None:
        """Queue an append; ``append.settled`` is set once its outcome is known."""
        if self.full:
            await self._settle([append], Outcome.NOT_RUN)
            return
        self._pending.append(append)
        await self._wake.set()

    async def withdraw(self, append: AppendRequest) -> bool:
        """Withdraw an append that has not been sent to the table yet."""
        try:
            self._pending.remove(append)
        except ValueError:
            return False
        await self._settle([append], Outcome.NOT_RUN)
        return True

    async def run(self) -> None:
        """Write rows until fenced or cancelled.

        :raises FencedError: another entry owns the partition.
        """
        batch: list[AppendRequest] = []
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._pending:
                    if self._group_s:
                        await curio.sleep(self._group_s)
                    batch = self._next_batch()
                    await self._write(batch)
                    batch = []
        finally:
            self._closed = True
            await self._settle_remaining(batch)

    def _next_batch(self) -> list[AppendRequest]:
        batch: list[AppendRequest] = []
        events = payload = 0
        while self._pending:
            head = self._pending[0]
            events += len(head.events)
            payload += head.payload
            too_large = events > MAX_ROW_EVENTS or payload > MAX_ROW_PAYLOAD
            if batch and too_large:
                break
            batch.append(self._pending.popleft())
        return batch

    async def _write(self, batch: list[AppendRequest]) -> None:
        nonce = secrets.token_hex(8)
        writes = self._build(batch, nonce)
        try:
            result = await self._table.commit(writes)
        except StoreUnavailableError as error:
            await self._settle(batch, Outcome.NOT_RUN, error.retry_after)
            return
        except StoreError:
            await self._resolve_uncertain(batch, writes, nonce)
            return
        if result.committed:
            await self._apply_batch(batch)
            return
        await self._resolve_uncertain(batch, writes, nonce)

    def _build(self, batch: list[AppendRequest], nonce: str) -> tuple[Write, Write]:
        position = self._position
        events = [event for append in batch for event in append.events]
        document = {
            "nonce": nonce,
            "epoch": position.epoch,
            "events": encode_events(events),
        }
        return (
            Write(
                partition_key(position.partition),
                expect=position.row_version,
                check_only=True,
            ),
            Write(
                journal_key(position.partition, self._seq + 1),
                orjson.dumps(document),
                expect=ABSENT,
            ),
        )

    async def _resolve_uncertain(
        self, batch: list[AppendRequest], writes: Sequence[Write], nonce: str
    ) -> None:
        # The commit may have taken effect, or may still do so. That the row is absent
        # when read back proves nothing, because the commit may still be in flight: a
        # caller that got "not run" could then find that its task ran. The same row
        # is written again until one of the attempts is known to have committed.
        log.notice(
            "batch: outcome of the commit of {} unknown, retrying", writes[1].key
        )
        self._unsettled = True
        pause = SETTLE_PAUSE_S
        while True:
            try:
                result = await self._table.commit(writes)
                outcome = Outcome.RAN
                if not result.committed:
                    outcome = await self._read_back(writes[1].key, nonce)
                break
            except StoreError:
                await curio.sleep(pause)
                pause = min(2 * pause, MAX_SETTLE_PAUSE_S)
        self._unsettled = False
        if outcome is Outcome.RAN:
            await self._apply_batch(batch)
            return
        await self._settle(batch, outcome)
        raise FencedError(
            f"partition {self._position.partition} at epoch {self._position.epoch}",
            step="journal.append",
        )

    async def _read_back(self, key: str, nonce: str) -> Outcome:
        snapshot = snapshot_key(self._position.partition)
        rows = await self._table.read([key, snapshot])
        if key in rows:
            ours = orjson.loads(rows[key].value)["nonce"] == nonce
            return Outcome.RAN if ours else Outcome.NOT_RUN
        # A successor may have included this row in its snapshot and deleted it. An
        # owner that resumes after a long freeze would otherwise treat the missing row
        # as a write without effect and report "not run" to its caller.
        in_snapshot = snapshot in rows and read_snapshot_seq(rows[snapshot]) > self._seq
        return Outcome.UNKNOWN if in_snapshot else Outcome.NOT_RUN

    async def _apply_batch(self, batch: list[AppendRequest]) -> None:
        self._seq += 1
        self._rows += 1
        for append in batch:
            for event in append.events:
                self._apply(event)
        await self._settle(batch, Outcome.RAN)
        await self._after_row()

    async def _settle(
        self, batch: list[AppendRequest], outcome: Outcome, retry_after: float = 1.0
    ) -> None:
        messages: list[OutgoingMessage] = []
        for append in batch:
            append.outcome = outcome
            append.retry_after = retry_after
            messages.extend(append.on_settled(outcome))
        for append in batch:
            await append.settled.set()
        if outcome is not Outcome.RAN:
            return
        for message in messages:
            await self._enqueue_message(message)

    async def _settle_remaining(self, batch: list[AppendRequest]) -> None:
        unsettled = [append for append in batch if append.outcome is None]
        await self._settle(unsettled, Outcome.UNKNOWN)
        waiting = list(self._pending)
        self._pending.clear()
        await self._settle(waiting, Outcome.NOT_RUN)
