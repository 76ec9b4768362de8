"""Group commit: many small, independent transactions in one table commit."""

from __future__ import annotations

import contextlib
import random
from collections import deque
from collections.abc import Sequence

import curio
import logbook

from pistachiodeal.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.platform.protocols import (
    ANY_VERSION,
    CommitResult,
    Row,
    Table,
    Write,
)

LANES = 4
QUEUE_LIMIT = 10_000
SETTLE_TRIES = 3
PAUSE_S = 0.05

log = logbook.Logger("pistachiodeal.platform")


class Ticket:
    """One small transaction on its way.

    :ivar sent: some commit that holds it was handed to the table; until then it
        can be withdrawn without effect.
    """

    def __init__(self, writes: tuple[Write, ...]) -> None:
        self._done = curio.Event()
        self._result: CommitResult | None = None
        self._error: StoreError | None = None
        self.writes = writes
        self.sent = False
        self.withdrawn = False

    @property
    def answered(self) -> bool:
        """Tell whether :meth:`wait` returns at once."""
        return self._done.is_set()

    @property
    def rows(self) -> int:
        """Return how many rows this transaction adds to a commit."""
        return len(self.writes)

    @property
    def keys(self) -> frozenset[str]:
        """Return the keys of its rows."""
        return frozenset(write.key for write in self.writes)

    def withdraw(self) -> bool:
        """Keep it from being sent; False when it was sent already."""
        self.withdrawn = not self.sent
        return self.withdrawn

    async def wait(self) -> CommitResult:
        """Return the result.

        :raises StoreUnavailableError: it took no effect and never will.
        :raises StoreUncertainError: it may have taken effect, or still may.
        """
        await self._done.wait()
        if self._error is not None:
            raise self._error
        assert self._result is not None
        return self._result

    async def resolve(self, result: CommitResult) -> None:
        """Answer with a result; later answers are ignored."""
        if self.answered:
            return
        self._result = result
        await self._done.set()

    async def reject(self, error: StoreError) -> None:
        """Answer with an error; later answers are ignored."""
        if self.answered:
            return
        self._error = error
        await self._done.set()


class GroupCommitter:
    """Joins small transactions into commits, and answers each by itself.

    Every write must be conditional, and every transaction must write at least
    one value that no other transaction writes (one that holds a nonce): that is
    how a commit whose answer was lost is settled.
    """

    def __init__(
        self, table: Table, group_s: float, group_rows: int, pause_s: float
    ) -> None:
        self._table = table
        self._group_s = group_s
        self._group_rows = group_rows
        self._pause_s = pause_s
        self._queue: deque[Ticket] = deque()
        self._filled = curio.Event()
        self._gathering = curio.Lock()

    @property
    def queued(self) -> int:
        """Return how many transactions wait to be sent."""
        return len(self._queue)

    async def submit(self, writes: Sequence[Write]) -> Ticket:
        """Queue a small transaction and return its ticket.

        :raises StoreUnavailableError: the queue is full.
        """
        check_transaction(writes, self._group_rows)
        if len(self._queue) >= QUEUE_LIMIT:
            raise StoreUnavailableError("commit queue is full", step="group.submit")
        ticket = Ticket(tuple(writes))
        self._queue.append(ticket)
        try:
            await self._filled.set()
        except BaseException:
            # Nobody would hold the ticket, and so nobody end what it began.
            ticket.withdraw()
            raise
        return ticket

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        """Commit a small transaction together with others.

        :raises StoreUnavailableError: it took no effect.
        :raises StoreUncertainError: it may have taken effect.
        """
        ticket = await self.submit(writes)
        try:
            return await ticket.wait()
        finally:
            ticket.withdraw()

    async def run(self) -> None:
        """Commit what is queued, until cancelled."""
        async with curio.TaskGroup(wait=any) as lanes:
            for _ in range(LANES):
                await lanes.spawn(self._run_lane)
        if lanes.exception is not None:
            raise lanes.exception

    async def _run_lane(self) -> None:
        while True:
            batch = await self._gather()
            if batch:
                await self._answer_batch(batch)

    async def _gather(self) -> list[Ticket]:
        async with self._gathering:
            await self._filled.wait()
            if len(self._queue) < self._group_rows:
                await curio.sleep(self._group_s)
            return self._take()

    def _take(self) -> list[Ticket]:
        """Take tickets for one commit: no key twice, at most ``group_rows`` rows."""
        batch: list[Ticket] = []
        later: list[Ticket] = []
        keys: set[str] = set()
        rows = 0
        while self._queue:
            ticket = self._queue.popleft()
            if ticket.withdrawn:
                continue
            if rows + ticket.rows > self._group_rows:
                later.append(ticket)
                break
            if keys & ticket.keys:
                later.append(ticket)
                continue
            ticket.sent = True
            batch.append(ticket)
            keys |= ticket.keys
            rows += ticket.rows
        self._queue.extendleft(reversed(later))
        if not self._queue:
            self._filled.clear()
        return batch

    async def _answer_batch(self, batch: list[Ticket]) -> None:
        try:
            await self._commit_batch(batch)
        finally:
            # A lane that is cancelled or fails would leave its callers waiting
            # for good: they get the only true answer there is.
            for ticket in batch:
                await ticket.reject(
                    StoreUncertainError("commit was cut off", step="group.commit")
                )

    async def _commit_batch(self, batch: list[Ticket]) -> None:
        open_tickets = list(batch)
        uncertain: StoreError | None = None
        tries = SETTLE_TRIES
        while open_tickets:
            try:
                result = await self._table.commit(join_writes(open_tickets))
            except StoreUnavailableError as error:
                if uncertain is None:
                    await reject_all(open_tickets, error)
                    return
            except StoreError as error:
                uncertain = error
            else:
                if result.committed:
                    await resolve_all(open_tickets, result)
                    return
                open_tickets = await self._drop_conflicting(
                    open_tickets, result, uncertain
                )
                continue
            tries -= 1
            with contextlib.suppress(StoreError):
                open_tickets = await self._settle(open_tickets)
            if tries == 0:
                await reject_all(open_tickets, uncertain)
                return
            if open_tickets:
                await curio.sleep(self._pause_s * random.uniform(0.5, 1.5))

    async def _settle(self, tickets: list[Ticket]) -> list[Ticket]:
        """Read back after a lost answer; return the tickets that are not in force.

        A commit that took effect whose answer was lost would read as a conflict
        when sent again, and a write that is in force would be reported as
        failed. One would notice by a row that holds the reporter's own nonce.
        What is not there yet is sent again: the conditions let only one of the
        two commits take effect, however late the first one lands.

        :raises StoreError: the table did not answer.
        """
        keys = [key for ticket in tickets for key in sorted(ticket.keys)]
        rows = await self._table.read(keys)
        left = []
        for ticket in tickets:
            if is_in_force(ticket, rows):
                await ticket.resolve(build_result(ticket, rows))
            else:
                left.append(ticket)
        return left

    async def _drop_conflicting(
        self, tickets: list[Ticket], result: CommitResult, uncertain: StoreError | None
    ) -> list[Ticket]:
        """Answer the tickets whose condition failed; return the others.

        One row's failed condition fails the whole commit, so without this a
        single repeated key would fail every other caller in its group.
        """
        conflicts = frozenset(result.conflicts)
        hit = [ticket for ticket in tickets if ticket.keys & conflicts]
        left = [ticket for ticket in tickets if not ticket.keys & conflicts]
        if uncertain is not None and hit:
            try:
                hit = await self._settle(hit)
            except StoreError:
                await reject_all(hit, uncertain)
        for ticket in hit:
            own = tuple(sorted(ticket.keys & conflicts))
            await ticket.resolve(CommitResult(conflicts=own))
        if len(left) == len(tickets):
            error = StoreUncertainError("conflict on unknown keys", step="group.commit")
            await reject_all(left, error)
            return []
        return left


def check_transaction(writes: Sequence[Write], limit: int) -> None:
    """Refuse what could not be settled after a lost answer.

    :raises ValueError: a programming error of the caller of this module.
    """
    if len(writes) > limit:
        raise ValueError("transaction is larger than a group")
    if not any(write.value is not None and not write.check_only for write in writes):
        raise ValueError("transaction writes no value")
    if any(write.expect == ANY_VERSION for write in writes):
        raise ValueError("write is not conditional")


def join_writes(tickets: Sequence[Ticket]) -> list[Write]:
    """Return the writes of all tickets as one transaction."""
    return [write for ticket in tickets for write in ticket.writes]


def is_in_force(ticket: Ticket, rows: dict[str, Row]) -> bool:
    """Tell whether every value of a transaction is what the table holds."""
    for write in ticket.writes:
        if write.check_only or write.value is None:
            continue
        row = rows.get(write.key)
        if row is None or row.value != write.value:
            return False
    return True


def build_result(ticket: Ticket, rows: dict[str, Row]) -> CommitResult:
    """Return a transaction's result from the rows that were read back."""
    return CommitResult(
        versions={key: rows[key].version for key in ticket.keys if key in rows}
    )


async def resolve_all(tickets: Sequence[Ticket], result: CommitResult) -> None:
    """Answer each ticket with its own part of a commit's result."""
    for ticket in tickets:
        own = {k: v for k, v in result.versions.items() if k in ticket.keys}
        await ticket.resolve(CommitResult(versions=own))


async def reject_all(tickets: Sequence[Ticket], error: StoreError | None) -> None:
    """Answer all tickets with one error."""
    if not tickets:
        return
    cause = error or StoreUncertainError("commit not settled", step="group.commit")
    log.debug("platform: {} grouped transactions failed: {}", len(tickets), cause)
    for ticket in tickets:
        await ticket.reject(cause)


def create_group_committer(
    table: Table, *, group_s: float, group_rows: int, pause_s: float = PAUSE_S
) -> GroupCommitter:
    """Return a group committer; :meth:`GroupCommitter.run` must run beside it.

    :param group_s: seconds to wait for more transactions before a commit.
    :param group_rows: most rows of one commit.
    :param pause_s: mean seconds between two tries to settle a lost answer.
    """
    return GroupCommitter(table, group_s, group_rows, pause_s)
