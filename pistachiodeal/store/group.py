"""Group commit: many small, independent transactions in one table commit."""

from __future__ import annotations

import contextlib
import random
from collections import deque
from collections.abc import Sequence

import curio

from pistachiodeal.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.store.protocols import ANY_VERSION, CommitResult, Table, Write
from pistachiodeal.store.tickets import (
    Ticket,
    build_result,
    is_in_force,
    join_writes,
    reject_all,
    resolve_all,
)
from pistachiodeal.task_groups import run_until_one_ends

LANES = 4
QUEUE_LIMIT = 10_000
SETTLE_TRIES = 3
PAUSE_S = 0.05


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
        await run_until_one_ends(*[self._run_lane] * LANES)

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


def create_group_committer(
    table: Table, *, group_s: float, group_rows: int, pause_s: float = PAUSE_S
) -> GroupCommitter:
    """Return a group committer; :meth:`GroupCommitter.run` must run beside it.

    :param group_s: seconds to wait for more transactions before a commit.
    :param group_rows: most rows of one commit.
    :param pause_s: mean seconds between two tries to settle a lost answer.
    """
    return GroupCommitter(table, group_s, group_rows, pause_s)
