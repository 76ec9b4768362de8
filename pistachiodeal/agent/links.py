"""Links to entries: to a subset for requests, and to the owners of runs."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Protocol

import curio
import logbook

from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.agent.entry_selector import EntrySelector
from pistachiodeal.agent.peers import EntryPeer
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.exceptions import (
    LinkClosedError,
    LinkSilentError,
    PistachiodealError,
)
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.messages import Goodbye, Message
from pistachiodeal.wire.opening import dial_link

log = logbook.Logger("agent")

RECONCILE_S = 0.5
SEND_S = 0.5
STABLE_S = 5.0
AVOID_AFTER_GOODBYE_S = 5.0
RETIRE_GRACE_S = 1.0


class LinkHandler(Protocol):
    """Callbacks for opened and closed links and for their messages."""

    async def on_open(self, link: Link) -> None:
        """Handle a link that has opened."""

    async def receive(self, link: Link, message: Message) -> None:
        """Handle a message."""

    async def on_close(self, link: Link) -> None:
        """Handle a link that has closed."""

    def count_open(self, link: Link) -> int:
        """Return the number of unanswered requests of the link."""


class LinkManager:
    """Maintains links to the selected entries, with one curio task per link."""

    def __init__(
        self,
        settings: AgentSettings,
        identity: Identity,
        directory: MergedDirectory,
        list_needed_partitions: Callable[[], set[int]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._directory = directory
        self._clock = clock
        self._selector = EntrySelector(
            settings, directory, list_needed_partitions, clock
        )
        self._timings = LinkTimings(**settings.link.model_dump())
        self._handler: LinkHandler | None = None
        self._peers: dict[str, EntryPeer] = {}
        self._changed = curio.Event()
        self._draining = False

    @property
    def links(self) -> list[Link]:
        """Return the open links."""
        peers = self._peers.values()
        return [peer.link for peer in peers if peer.link and not peer.link.closed]

    def set_handler(self, handler: LinkHandler) -> None:
        """Set the handler of links and messages; call it before :meth:`run`."""
        self._handler = handler

    async def run(self) -> None:
        """Maintain links until cancelled."""
        try:
            while True:
                await self.reconcile()
                await curio.ignore_after(RECONCILE_S, self._changed.wait)
                self._changed.clear()
        finally:
            for peer in list(self._peers.values()):
                await self._remove(peer)

    async def reconcile(self) -> None:
        """Dial selected entries without a link, and retire links to all others."""
        wanted = self.choose_addresses()
        for address in wanted:
            await self._ensure_peer(address)
        settled = any(self._is_in_use(a) for a in wanted)
        for peer in list(self._peers.values()):
            surplus = peer.address not in wanted and (settled or peer.link is None)
            # An entry that has received a goodbye treats the link as closing, even
            # if the entry is selected again; only a new link changes that.
            if surplus or peer.retiring_since is not None:
                await self._retire(peer)

    def choose_addresses(self) -> set[str]:
        """Return the addresses of the entries that should be linked."""
        return self._selector.choose(self._peers)

    async def send_to_owner(self, partition: int, message: Message) -> bool:
        """Send to a partition's owner; False if there is no link to it."""
        owner = self._directory.get_owner(partition)
        if owner is None:
            return False
        for link in self.links:
            if link.peer.node == owner.node:
                return await self.send(link, message)
        return False

    async def send_to_any(self, message: Message) -> bool:
        """Send on one link, chosen at random; False if there is none."""
        links = self.links
        return bool(links) and await self.send(random.choice(links), message)

    async def send_to_all(self, message: Message, exclude: Link | None = None) -> None:
        """Send on all links except ``exclude``."""
        for link in self.links:
            if link is not exclude:
                await self.send(link, message)

    async def handle_goodbye(self, link: Link) -> None:
        """Select a substitute for an entry that is shutting down."""
        for peer in self._peers.values():
            if peer.link is link:
                peer.avoid_until = self._clock() + AVOID_AFTER_GOODBYE_S
        await self._changed.set()

    async def handle_directory_change(self) -> None:
        """Select entries again after a change of the directory."""
        await self._changed.set()

    async def send_goodbye(self, reason: str) -> None:
        """Inform all entries that this agent accepts no new work."""
        self._draining = True
        await self.send_to_all(Goodbye(reason))

    async def send(self, link: Link, message: Message) -> bool:
        """Send on one link; False if it is closed or its buffer stays full."""
        # The time limit keeps a blocked link from delaying messages to others.
        async with curio.ignore_after(SEND_S):
            try:
                await link.send(message)
            except LinkClosedError:
                return False
            return True
        return False

    def _is_in_use(self, address: str) -> bool:
        peer = self._peers.get(address)
        return peer is not None and bool(peer.link) and peer.retiring_since is None

    async def _ensure_peer(self, address: str) -> None:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = EntryPeer(address)
            peer.task = await curio.spawn(self._maintain, peer, daemon=True)

    async def _retire(self, peer: EntryPeer) -> None:
        """Send a goodbye on a link, and close it once its requests are answered."""
        now = self._clock()
        if peer.link is None or self._handler is None:
            await self._remove(peer)
            return
        if peer.retiring_since is None:
            peer.retiring_since = now
            await self.send(peer.link, Goodbye("other entries are nearer"))
            return
        elapsed = now - peer.retiring_since
        idle = self._handler.count_open(peer.link) == 0
        if (idle and elapsed >= RETIRE_GRACE_S) or elapsed >= self._settings.drain_s:
            await self._remove(peer)

    async def _remove(self, peer: EntryPeer) -> None:
        self._peers.pop(peer.address, None)
        if peer.task:
            await peer.task.cancel()

    async def _maintain(self, peer: EntryPeer) -> None:
        """Maintain the link to one entry until cancelled: dial, serve, redial."""
        await curio.sleep(peer.backoff.next_delay())
        while True:
            opened_at = self._clock()
            try:
                await self._dial(peer)
            except LinkSilentError as error:
                log.warning("agent: replacing a silent link: {}", error)
                continue
            except (PistachiodealError, OSError) as error:
                log.info("agent: link ended: {}", error)
            except Exception as error:
                log.error("agent: link to {} failed: {!r}", peer.address, error)
                log.debug("agent: traceback for {}", peer.address, exc_info=True)
            if self._clock() - opened_at >= STABLE_S:
                peer.backoff.reset()
            await self._changed.set()
            await curio.sleep(peer.backoff.next_delay())

    async def _dial(self, peer: EntryPeer) -> None:
        peer.failures += 1
        async with dial_link(
            peer.address, self._identity, self._settings.secret, self._timings
        ) as link:
            peer.failures = 0
            peer.avoid_until = 0.0
            peer.link = link
            log.notice("agent: linked to {} at {}", link.peer.node, peer.address)
            try:
                await self._serve(link)
            finally:
                peer.link = None
                if self._handler:
                    await self._handler.on_close(link)

    async def _serve(self, link: Link) -> None:
        if self._handler is None:
            return
        await self._changed.set()
        await self._handler.on_open(link)
        if self._draining:
            await link.send(Goodbye("draining"))
        while True:
            await self._handler.receive(link, await link.receive())
