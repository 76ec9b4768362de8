"""Sessions: the open links of agents and entries at this entry."""

from __future__ import annotations

import itertools
import time
from collections import deque
from collections.abc import Callable, Iterator

import curio

from pistachiodeal.entry.pending import Answer, LinkLost, PendingRequest
from pistachiodeal.exceptions import LinkClosedError
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.messages import Message, Report

OUTBOX_LIMIT = 1024
RETIRED_LIMIT = 4


class Session:
    """One link of one peer, from the handshake until it closes.

    :ivar report: the agent's latest report, None before the first.
    :ivar draining: the peer is shutting down: it gets no new requests.
    :ivar retired: a newer link of the same node has replaced this one.
    :ivar services: services listed in the agent's latest report.
    """

    def __init__(self, link: Link, reader: curio.Task, joined_at: float) -> None:
        peer = link.peer
        self.role = peer.role
        self.node = peer.node
        self.worker = peer.worker
        self.data_centre = peer.data_centre
        self.rack = peer.rack
        self.incarnation = peer.incarnation
        self.joined_at = joined_at
        self.report: Report | None = None
        self.draining = False
        self.retired = False
        self.services: frozenset[str] = frozenset()
        self._link = link
        self._reader = reader
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingRequest] = {}
        self._outbox: deque[Message] = deque()
        self._enqueued = curio.Event()

    @property
    def outstanding(self) -> int:
        """Return how many requests on this link have no answer yet."""
        return len(self._pending)

    @property
    def closed(self) -> bool:
        """Return whether the link is closed."""
        return self._link.closed

    async def send(self, message: Message) -> None:
        """Send a message; waits while the link's outbox is full.

        :raises LinkClosedError: the message was not and will not be sent.
        """
        await self._link.send(message)

    async def enqueue(self, message: Message) -> None:
        """Queue a message for :meth:`run_outbox`; never waits for the peer.

        Otherwise a peer that stops reading would block the task that serves all
        peers. When the outbox is full the link is closed: the peer reconnects and
        gets the full state again.

        :raises LinkClosedError: the outbox is full, and the caller is the task
            that reads this link.
        """
        if len(self._outbox) >= OUTBOX_LIMIT:
            await self.close()
            return
        self._outbox.append(message)
        await self._enqueued.set()

    async def run_outbox(self) -> None:
        """Send queued messages until the link closes."""
        while True:
            await self._enqueued.wait()
            self._enqueued.clear()
            while self._outbox:
                await self._link.send(self._outbox.popleft())

    def open_request(self) -> PendingRequest:
        """Register a request under an id that is never reused on this link."""
        pending = PendingRequest(next(self._ids))
        self._pending[pending.request_id] = pending
        return pending

    def close_request(self, pending: PendingRequest) -> None:
        """Stop waiting for an answer; a late one is dropped."""
        self._pending.pop(pending.request_id, None)

    async def resolve(self, request_id: int, answer: Answer) -> bool:
        """Resolve a pending request; return False when there is none."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return False
        await pending.resolve(answer)
        return True

    async def fail_requests(self, detail: str) -> None:
        """Resolve all pending requests with :class:`LinkLost`."""
        lost = LinkLost(self.node, detail)
        while self._pending:
            _, pending = self._pending.popitem()
            await pending.resolve(lost)

    async def close(self) -> None:
        """End the session.

        Cancels the task that reads the link, which closes the link as it ends.
        Closing it here would wait for a peer that has stopped reading, and block
        the task that serves all peers.

        :raises LinkClosedError: when called by that task itself.
        """
        if await curio.current_task() is self._reader:
            raise LinkClosedError(step="entry.session", peer=self.node)
        await self._reader.cancel(blocking=False)


class SessionTable:
    """All sessions; the newest session of each node is the current one.

    An agent whose link timed out dials a new one. The older link is retired: it
    gets no new requests, but its open requests may still be answered on it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._current: dict[str, Session] = {}
        self._retired: list[Session] = []

    def __len__(self) -> int:
        return len(self._current) + len(self._retired)

    def __iter__(self) -> Iterator[Session]:
        return iter(tuple(self._current.values()))

    def get(self, node: str) -> Session | None:
        """Return a node's current session."""
        return self._current.get(node)

    def list_all(self) -> tuple[Session, ...]:
        """Return current and retired sessions."""
        return (*self._current.values(), *self._retired)

    async def open(self, link: Link) -> tuple[Session, Session | None]:
        """Make a new link current; return its session and the one it replaces.

        Must be called by the task that reads the link.
        """
        session = Session(link, await curio.current_task(), self._clock())
        earlier = self._current.get(session.node)
        self._current[session.node] = session
        if earlier is not None:
            earlier.retired = True
            self._retired.append(earlier)
            await self._limit_retired(session.node)
        return session, earlier

    def close(self, session: Session) -> bool:
        """Remove a session; return whether it was its node's current one."""
        if session.retired:
            self._retired.remove(session)
            return False
        del self._current[session.node]
        return True

    async def close_idle_retired(self) -> None:
        """Close retired links without open requests."""
        for session in tuple(self._retired):
            if session.outstanding == 0:
                await session.close()

    async def _limit_retired(self, node: str) -> None:
        of_node = [session for session in self._retired if session.node == node]
        for session in of_node[:-RETIRED_LIMIT]:
            await session.close()


def create_session_table(
    clock: Callable[[], float] = time.monotonic,
) -> SessionTable:
    """Return a table without sessions."""
    return SessionTable(clock)
