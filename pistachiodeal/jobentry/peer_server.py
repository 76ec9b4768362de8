"""Accepts links from agents and other entries, and leads while elected."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

import curio
from curio.io import Socket
from logbook import Logger

from pistachiodeal.addresses import split_address
from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import (
    DEFAULT_LINK_MBPS,
    DEFAULT_ROW_BYTES,
    NO_FEATURES,
    FeatureSettings,
    LimitSettings,
)
from pistachiodeal.exceptions import (
    FencedError,
    LinkClosedError,
    PistachiodealError,
)
from pistachiodeal.jobentry.relay import RelayServer
from pistachiodeal.jobs.advice import Adviser
from pistachiodeal.jobs.model import Queue
from pistachiodeal.leader.commits import LeaderTerm
from pistachiodeal.leader.leader_row import LeaderCandidate
from pistachiodeal.leader.leadership import Leadership
from pistachiodeal.leader.load_messages import LoadSender
from pistachiodeal.peers import PeerContext
from pistachiodeal.store.row_store import RowStore
from pistachiodeal.web.listener import accept_connection, bind_listener
from pistachiodeal.wire.configuration_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)
from pistachiodeal.wire.identity import AGENT_ROLE
from pistachiodeal.wire.job_messages import (
    Appointment,
    EntryState,
    JobAnswer,
    JobNotice,
    JobQuery,
    LeaderNotice,
)
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.opening import accept_link
from pistachiodeal.wire.relay_messages import RelayCommit, RelayRead

log = Logger("seat")

NOTICE_INTERVAL_S = 0.25
# Limits the wait for links that accept no more bytes when leadership is transferred.
BROADCAST_TIMEOUT_S = 0.2
LOAD_POLL_INTERVAL_S = 0.03


@dataclass(frozen=True, slots=True)
class Follower:
    """An entry that follows this leader and could succeed it."""

    link: Link
    candidate: LeaderCandidate


class PeerServer:
    """Serves links of agents and entries; leads while this process is elected.

    :param answer_configuration: returns this process's copy of the configuration.
    :param link_mbps: rate of this process's network link, Mbit/s.
    :param row_bytes: largest row that the store accepts, bytes.
    """

    def __init__(
        self,
        store: RowStore,
        peers: PeerContext,
        refresh_queue: Callable[[Queue], Queue],
        limits: LimitSettings,
        adviser: Adviser | None = None,
        *,
        answer_configuration: Callable[[ConfigurationQuery], ConfigurationAnswer],
        features: FeatureSettings = NO_FEATURES,
        link_mbps: float = DEFAULT_LINK_MBPS,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        self._store = store
        self._answer_configuration = answer_configuration
        self._peers = peers
        self._directory = peers.directory
        self._address = peers.address
        self._refresh_queue = refresh_queue
        self._limits = limits
        self._features = features
        self._link_mbps = link_mbps
        self._row_bytes = row_bytes
        self._adviser = adviser
        self._events = peers.events
        self._leadership: Leadership | None = None
        self._relay = RelayServer(store, peers.events)
        self._links: set[Link] = set()
        self._followers: dict[Link, Follower] = {}

    @property
    def leadership(self) -> Leadership | None:
        """Return the current leadership, or None while this process doesn't lead."""
        return self._leadership

    @property
    def followers(self) -> Collection[Follower]:
        """Return the followers; the fitness of an entry that is stopping is 0."""
        return self._followers.values()

    def find_fittest(self) -> Follower | None:
        """Return the fittest follower that is not stopping, or None."""
        fit = [
            follower
            for follower in self._followers.values()
            if follower.candidate.fitness
        ]
        return max(fit, key=lambda follower: follower.candidate.fitness, default=None)

    async def appoint(self, follower: Follower, epoch: int) -> None:
        """Notify a follower that the leader's row names it as the successor."""
        try:
            await follower.link.send(Appointment(epoch))
        except LinkClosedError as error:
            # The successor, or another entry, will read the row.
            log.info("seat: cannot notify the successor: {}", error)

    async def yield_leadership(self, epoch: int) -> None:
        """Stop leading because another process leads under a higher epoch."""
        leadership = self._leadership
        if leadership is None:
            return
        await self._broadcast_notice()
        await leadership.step_down(epoch)

    async def lead(self, term: LeaderTerm) -> None:
        """Lead in the given term until another process takes over."""
        self._leadership = Leadership(
            self._store,
            term,
            self._refresh_queue,
            self._limits,
            self._events,
            adviser=self._adviser,
            features=self._features,
            link_mbps=self._link_mbps,
            row_bytes=self._row_bytes,
        )
        try:
            await self._leadership.run()
        except FencedError as error:
            log.warning("seat: another process leads now: {}", error)
        finally:
            self._leadership = None
            for link in list(self._links):
                await link.close()

    async def listen(self) -> None:
        """Accept links for ever."""
        host, port = split_address(self._address)
        listener = Socket(bind_listener(host, port))
        async with listener:
            while True:
                sock, _ = await accept_connection(listener)
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: Socket) -> None:
        try:
            async with accept_link(
                sock, self._peers.identity, self._peers.secret, self._peers.timings
            ) as link:
                # Ends this link; its peer dials again.
                with self._events.confine("link.failed", peer=link.peer.node):
                    if link.peer.role == AGENT_ROLE:
                        await self._serve_agent(link)
                    else:
                        await self._serve_entry(link)
        except (PistachiodealError, OSError) as error:
            log.debug("seat: a link ended: {}", error)

    async def _serve_agent(self, link: Link) -> None:
        await link.send(self._build_notice())
        leadership = self._leadership
        if leadership is None:
            return
        waited = not leadership.loaded
        while not leadership.loaded:
            # Reconciled before the jobs are loaded, all runs of a worker would look
            # unknown.
            if link.closed or self._leadership is not leadership:
                return
            await curio.sleep(LOAD_POLL_INTERVAL_S)
        if waited:
            await link.send(self._build_notice(with_entries=False))
        self._links.add(link)
        try:
            await leadership.sessions.serve(link)
        finally:
            self._links.discard(link)

    async def _serve_entry(self, link: Link) -> None:
        await link.send(self._build_notice())
        if self._leadership is None:
            await self._receive_notices(link)
            return
        self._links.add(link)
        notifier = await curio.spawn(self._send_notices, link, daemon=True)
        try:
            while True:
                message = await link.receive()
                if isinstance(message, LeaderNotice):
                    await self._handle_notice(message)
                elif isinstance(message, EntryState):
                    self._handle_entry_state(link, message)
                elif isinstance(message, JobQuery):
                    await self._answer_query(link, message)
                elif isinstance(message, JobNotice) and self._leadership is not None:
                    self._leadership.handle_notice(message)
                elif isinstance(message, RelayCommit | RelayRead):
                    await self._relay.take(link, message)
                elif isinstance(message, ConfigurationQuery):
                    await link.send(self._answer_configuration(message))
        finally:
            self._links.discard(link)
            self._followers.pop(link, None)
            await notifier.cancel()

    async def _receive_notices(self, link: Link) -> None:
        """Receive leader notices from an entry; those that only query disconnect."""
        while self._leadership is None:
            message = await link.receive()
            if isinstance(message, LeaderNotice):
                await self._handle_notice(message)
            elif isinstance(message, ConfigurationQuery):
                await link.send(self._answer_configuration(message))

    async def _handle_notice(self, notice: LeaderNotice) -> None:
        self._directory.apply_notice(notice)
        leadership = self._leadership
        if leadership is not None and notice.epoch > leadership.epoch:
            await self.yield_leadership(notice.epoch)

    def _handle_entry_state(self, link: Link, state: EntryState) -> None:
        peer = link.peer
        self._directory.update_entry(state.address)
        self._followers[link] = Follower(
            link,
            LeaderCandidate(
                peer.node,
                state.address,
                peer.incarnation,
                state.fitness_milli / 1000,
            ),
        )

    async def _broadcast_notice(self) -> None:
        """Send the new leader's address to all agents and entries.

        It spares them the search for the new leader.
        """
        notice = self._directory.build_notice()

        async def send(link: Link) -> None:
            try:
                await link.send(notice)
            except PistachiodealError as error:
                log.debug("seat: a link ended: {}", error)

        async with (
            curio.ignore_after(BROADCAST_TIMEOUT_S),
            curio.TaskGroup(wait=all) as group,
        ):
            for link in list(self._links):
                await group.spawn(send, link)

    async def _send_notices(self, link: Link) -> None:
        sent_revision = 0
        load = self._leadership.load_summary if self._leadership else None
        load_sender = LoadSender(load) if load else None
        try:
            while not link.closed:
                # The list of entries is sent only when it has changed. Sent with each
                # notice, the traffic would grow with the square of the number of
                # entries.
                changed = self._directory.revision != sent_revision
                sent_revision = self._directory.revision
                notice = self._build_notice(with_entries=changed)
                if load_sender is not None:
                    notice = load_sender.extend(notice, read_boot_clock())
                await link.send(notice)
                await curio.sleep(NOTICE_INTERVAL_S)
        except PistachiodealError as error:
            log.debug("seat: a link ended: {}", error)

    def _build_notice(self, *, with_entries: bool = True) -> LeaderNotice:
        leadership = self._leadership
        age_ms = None
        if leadership is not None:
            age_ms = int(leadership.store_age_s * 1000)
        notice = self._directory.build_notice(age_ms, with_entries=with_entries)
        loading = leadership is not None and not leadership.loaded
        return replace(notice, loading=loading)

    async def _answer_query(self, link: Link, query: JobQuery) -> None:
        leadership = self._leadership
        if leadership is None or not leadership.loaded:
            return
        state = leadership.find_state(query.job) if query.job else None
        pending = leadership.registry.count_pending(query.queue) if query.queue else 0
        text = state.value if state is not None else ""
        await link.send(JobAnswer(query.request_id, text, pending))
