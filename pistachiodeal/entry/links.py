"""The internal port: accepts links, and serves each by one task that reads it."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import curio
from curio.io import Socket
from logbook import Logger

from pistachiodeal.entry.evidence import EvidenceRelay
from pistachiodeal.entry.forwarding import Forwarding
from pistachiodeal.entry.inbox import BatchInbox
from pistachiodeal.entry.protocols import TaskService
from pistachiodeal.entry.pushing import Pusher
from pistachiodeal.entry.sessions import Session, SessionTable
from pistachiodeal.entry.targets import TargetTable
from pistachiodeal.exceptions import (
    AuthenticationError,
    LinkClosedError,
    PistachiodealError,
    ProtocolError,
)
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.wire.identity import AGENT_ROLE, Identity
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.messages import (
    Evidence,
    Failure,
    Goodbye,
    Message,
    Policies,
    Refusal,
    Report,
    Request,
    Response,
)
from pistachiodeal.wire.opening import accept_link
from pistachiodeal.wire.task_messages import StartRefused, TaskEnded

log = Logger("entry")

LINK_LIMIT = 4096
ACCEPT_PAUSE_S = 0.1
GOODBYE_S = 0.2
ANSWERS = (Response, Refusal, Failure)
TASK_MESSAGES = (StartRefused, TaskEnded)


@dataclass(frozen=True, slots=True)
class LinkParts:
    """What the internal port works with."""

    identity: Identity
    secret: str
    timings: LinkTimings
    sessions: SessionTable
    targets: TargetTable
    batch: TaskService
    keeper: ProfileManager
    pusher: Pusher
    evidence: EvidenceRelay
    metrics: Metrics


class LinkServer:
    """Serves the internal port until cancelled."""

    def __init__(self, listener: stdlib_socket.socket, parts: LinkParts) -> None:
        self._listener = listener
        self._identity = parts.identity
        self._secret = parts.secret
        self._timings = parts.timings
        self._sessions = parts.sessions
        self._targets = parts.targets
        self._batch = parts.batch
        self._keeper = parts.keeper
        self._pusher = parts.pusher
        self._evidence = parts.evidence
        self._metrics = parts.metrics
        self._tasks: set[curio.Task] = set()
        self._entries: set[Session] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._listener.getsockname()[1]

    async def run(self) -> None:
        """Accept links; cancelling this ends them all."""
        listener = Socket(self._listener)
        try:
            while True:
                await self._accept(listener)
        finally:
            while self._tasks:
                await self._tasks.pop().cancel()

    async def say_goodbye(self, reason: str) -> None:
        """Tell all peers that nothing new should come here."""
        goodbye = Goodbye(reason)
        for session in (*self._sessions.list_all(), *self._entries):
            with suppress(LinkClosedError):
                await curio.ignore_after(GOODBYE_S, session.send, goodbye)

    async def _accept(self, listener: Socket) -> None:
        try:
            sock, _ = await listener.accept()
        except OSError as error:
            # Out of descriptors, for example: without the pause this loop would
            # take a whole processor and starve those who could free some.
            log.error("entry: accept failed: {!r}", error)
            await curio.sleep(ACCEPT_PAUSE_S)
            return
        if len(self._tasks) >= LINK_LIMIT:
            self._metrics.count("entry.links_rejected")
            await sock.close()
            return
        self._tasks.add(await curio.spawn(self._serve, sock, daemon=True))

    async def _serve(self, sock: Socket) -> None:
        try:
            async with accept_link(
                sock, self._identity, self._secret, self._timings
            ) as link:
                await self._serve_link(link)
        except (AuthenticationError, ProtocolError, LinkClosedError) as error:
            self._metrics.count(f"entry.link_error.{error.code}")
            log.info("entry: link ended: {}", error)
        except Exception:
            self._metrics.count("entry.link_error.internal")
            log.exception("entry: link task failed")
        finally:
            await sock.close()
            self._tasks.discard(await curio.current_task())

    async def _serve_link(self, link: Link) -> None:
        # The handshake lets no other roles in than these two.
        if link.peer.role == AGENT_ROLE:
            await self._serve_agent(link)
        else:
            await self._serve_entry(link)

    async def _serve_entry(self, link: Link) -> None:
        session = Session(link, await curio.current_task(), 0.0)
        self._entries.add(session)
        forwarding = Forwarding(session, self._batch.handle_forwarded)
        outbox = await curio.spawn(self._run_part, session.run_outbox, daemon=True)
        try:
            while True:
                message = await link.receive()
                if isinstance(message, Request):
                    await forwarding.accept(message)
        finally:
            self._entries.discard(session)
            await forwarding.close()
            await outbox.cancel()

    async def _serve_agent(self, link: Link) -> None:
        session = await self._open(link)
        inbox = BatchInbox(session, self._batch)
        parts = [
            await curio.spawn(self._run_part, session.run_outbox, daemon=True),
            await curio.spawn(self._run_part, inbox.run, daemon=True),
        ]
        detail = "the link was closed"
        try:
            await self._pusher.greet(session)
            while True:
                await self._receive(session, inbox, await link.receive())
        except PistachiodealError as error:
            detail = error.detail
            raise
        finally:
            for part in parts:
                await part.cancel()
            await self._close(session, detail)

    async def _run_part(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run a helper task of a link; a failure of it closes nothing else."""
        while True:
            try:
                await part()
            except LinkClosedError:
                return
            except Exception:
                log.exception("entry: helper task of a link failed")

    async def _open(self, link: Link) -> Session:
        session, earlier = await self._sessions.open(link)
        if earlier is not None:
            session.services = earlier.services
            same_process = earlier.incarnation == session.incarnation
            session.draining = earlier.draining and same_process
            self._batch.session_closed(earlier)
            log.notice("entry: new link of {} replaces the older one", session.node)
        else:
            log.notice("entry: agent {} joined", session.node)
        self._batch.session_opened(session)
        return session

    async def _close(self, session: Session, detail: str) -> None:
        if self._sessions.close(session):
            self._targets.remove(session.node, session.services)
            self._batch.session_closed(session)
            log.notice("entry: agent {} is gone: {}", session.node, detail)
        await session.fail_requests(detail)

    async def _receive(
        self, session: Session, inbox: BatchInbox, message: Message
    ) -> None:
        if isinstance(message, ANSWERS):
            if not await session.resolve(message.request_id, message):
                self._metrics.count("entry.late_answers")
        elif session.retired:
            # Its successor says the same; a report from an older link may be
            # older than what the newer one brought.
            return
        elif isinstance(message, Report):
            await self._receive_report(session, inbox, message)
        elif isinstance(message, TASK_MESSAGES):
            await self._put(inbox, message)
        elif isinstance(message, Policies):
            self._keeper.merge(message.parts)
        elif isinstance(message, Evidence):
            self._evidence.accept(session.node, message)
        elif isinstance(message, Goodbye):
            self._receive_goodbye(session, message)

    async def _receive_report(
        self, session: Session, inbox: BatchInbox, report: Report
    ) -> None:
        session.report = report
        session.draining = session.draining or report.draining
        if not session.draining:
            earlier = session.services
            session.services = self._targets.update(
                session.node, session.data_centre, report, earlier
            )
            added = session.services - earlier
            if added:
                await self._pusher.push_services(session, added)
        else:
            self._withdraw_targets(session)
        await self._put(inbox, report)

    async def _put(
        self, inbox: BatchInbox, message: Report | StartRefused | TaskEnded
    ) -> None:
        if not await inbox.put(message):
            self._metrics.count("entry.task_messages_dropped")

    def _receive_goodbye(self, session: Session, goodbye: Goodbye) -> None:
        log.notice("entry: agent {} is leaving: {}", session.node, goodbye.reason)
        session.draining = True
        self._withdraw_targets(session)

    def _withdraw_targets(self, session: Session) -> None:
        self._targets.remove(session.node, session.services)
        session.services = frozenset()
