"""The internal port: accepts links and serves each one in a task of its own."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import curio
from curio.io import Socket
from logbook import Logger

from pistachiodeal.entry.forwarding import ForwardedRequestServer
from pistachiodeal.entry.inbox import BatchInbox
from pistachiodeal.entry.interference import InterferenceRelay
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
from pistachiodeal.web.listener import accept_connection
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
GOODBYE_TIMEOUT_S = 0.2
# An error that persists would else use a whole core and flood the log.
HELPER_RETRY_S = 0.1
ANSWERS = (Response, Refusal, Failure)
TASK_MESSAGES = (StartRefused, TaskEnded)


@dataclass(frozen=True, slots=True)
class LinkServerComponents:
    """The collaborators of the link server."""

    identity: Identity
    secret: str
    timings: LinkTimings
    sessions: SessionTable
    targets: TargetTable
    batch: TaskService
    profiles: ProfileManager
    pusher: Pusher
    evidence: InterferenceRelay
    metrics: Metrics


class LinkServer:
    """Accepts and serves the links of agents and other entries."""

    def __init__(
        self, listener: stdlib_socket.socket, components: LinkServerComponents
    ) -> None:
        self._listener = listener
        self._identity = components.identity
        self._secret = components.secret
        self._timings = components.timings
        self._sessions = components.sessions
        self._targets = components.targets
        self._batch = components.batch
        self._profiles = components.profiles
        self._pusher = components.pusher
        self._evidence = components.evidence
        self._metrics = components.metrics
        self._tasks: set[curio.Task] = set()
        self._entries: set[Session] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._listener.getsockname()[1]

    async def run(self) -> None:
        """Accept links until cancelled, which closes them all."""
        listener = Socket(self._listener)
        try:
            while True:
                await self._accept(listener)
        finally:
            while self._tasks:
                await self._tasks.pop().cancel()

    async def send_goodbye(self, reason: str) -> None:
        """Tell all peers to send nothing new to this entry."""
        goodbye = Goodbye(reason)
        for session in (*self._sessions.list_all(), *self._entries):
            with suppress(LinkClosedError):
                await curio.ignore_after(GOODBYE_TIMEOUT_S, session.send, goodbye)

    async def _accept(self, listener: Socket) -> None:
        sock, _ = await accept_connection(listener)
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
            log.exception("entry: task serving a link failed")
        finally:
            await sock.close()
            self._tasks.discard(await curio.current_task())

    async def _serve_link(self, link: Link) -> None:
        # The handshake accepts only these two roles.
        if link.peer.role == AGENT_ROLE:
            await self._serve_agent(link)
        else:
            await self._serve_entry(link)

    async def _serve_entry(self, link: Link) -> None:
        session = Session(link, await curio.current_task(), 0.0)
        self._entries.add(session)
        forwarding = ForwardedRequestServer(session, self._batch.handle_forwarded)
        outbox = await curio.spawn(self._run_helper, session.run_outbox, daemon=True)
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
        helpers = [
            await curio.spawn(self._run_helper, session.run_outbox, daemon=True),
            await curio.spawn(self._run_helper, inbox.run, daemon=True),
        ]
        detail = "the link was closed"
        try:
            await self._pusher.on_open(session)
            while True:
                await self._receive(session, inbox, await link.receive())
        except PistachiodealError as error:
            detail = error.detail
            raise
        finally:
            for helper in helpers:
                await helper.cancel()
            await self._close(session, detail)

    async def _run_helper(self, helper: Callable[[], Awaitable[None]]) -> None:
        """Run a helper task of a link and restart it on errors; the link stays open."""
        while True:
            try:
                await helper()
            except LinkClosedError:
                return
            except Exception:
                log.exception("entry: helper task of a link failed")
                await curio.sleep(HELPER_RETRY_S)

    async def _open(self, link: Link) -> Session:
        session, earlier = await self._sessions.open(link)
        if earlier is not None:
            session.services = earlier.services
            same_process = earlier.incarnation == session.incarnation
            session.draining = earlier.draining and same_process
            self._batch.session_closed(earlier)
            log.notice(
                "entry: new link of agent {} replaces the previous one", session.node
            )
        else:
            log.notice("entry: agent {} connected", session.node)
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
            # The newer link carries the same messages; a report on the older link
            # may be outdated.
            return
        elif isinstance(message, Report):
            await self._handle_report(session, inbox, message)
        elif isinstance(message, TASK_MESSAGES):
            await self._enqueue(inbox, message)
        elif isinstance(message, Policies):
            self._profiles.merge(message.parts)
        elif isinstance(message, Evidence):
            self._evidence.accept(session.node, message)
        elif isinstance(message, Goodbye):
            self._handle_goodbye(session, message)

    async def _handle_report(
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
        await self._enqueue(inbox, report)

    async def _enqueue(
        self, inbox: BatchInbox, message: Report | StartRefused | TaskEnded
    ) -> None:
        if not await inbox.put(message):
            self._metrics.count("entry.task_messages_dropped")

    def _handle_goodbye(self, session: Session, goodbye: Goodbye) -> None:
        log.notice("entry: agent {} is leaving: {}", session.node, goodbye.reason)
        session.draining = True
        self._withdraw_targets(session)

    def _withdraw_targets(self, session: Session) -> None:
        self._targets.remove(session.node, session.services)
        session.services = frozenset()
