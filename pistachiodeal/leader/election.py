"""Leader election through one row of the store, replaced under a higher epoch.

A follower keeps a link to the leader. It writes its own name into the row when the
link is closed and no other entry hears the leader, or when the leader is alive but
can't reach the store. A premature election is harmless: the transactions of the old
leader are fenced from then on.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import (
    LinkClosedError,
    LinkRefusedError,
    PistachiodealError,
    StoreError,
    StoreUncertainError,
)
from pistachiodeal.leader.commits import LeaderTerm
from pistachiodeal.leader.fitness import should_defer_to_fitter
from pistachiodeal.leader.leader_probe import STORE_AGE_LIMIT_S, probe_leader_via_peers
from pistachiodeal.leader.leader_row import LeaderCandidate, LeaderRow, LeaderRowClient
from pistachiodeal.peers import PeerContext, dial_peer
from pistachiodeal.store.row_store import RowStore
from pistachiodeal.wire.job_messages import (
    Appointment,
    EntryState,
    JobAnswer,
    LeaderNotice,
)
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.relay_messages import RelayAnswer

log = Logger("election")

# A follower reads the row itself to distinguish a leader that the store refuses from a
# slow store. The leader may take this many times as long as that read, which waits for
# nothing else, whereas the leader has writes and reads in flight at the same time.
SLOW_STORE_FACTOR = 4.0
# After a store outage that affected all entries, the leader has this long to reach the
# store again before a follower that already reaches it takes over.
STORE_RECOVERY_WAIT_S = 0.6
# An entry that hears no other entry is probably partitioned itself. It waits this long
# before it replaces a leader that the others may still hear.
ISOLATED_WAIT_S = 3.0
# Random delay before a campaign, so that entries don't all write the row at once.
CAMPAIGN_JITTER_S = 0.2
# Entries of low fitness campaign a second later than the others, because entries notice
# the loss of a leader up to a second apart.
LOW_FITNESS_DELAY_S = 1.0
RETRY_S = 0.2


LeadCallback = Callable[[LeaderTerm], Awaitable[None]]
AnswerHandler = Callable[[JobAnswer | RelayAnswer], Awaitable[None]]
LinkLostHandler = Callable[[], Awaitable[None]]
NoticeHandler = Callable[[LeaderNotice], None]


class Election:
    """Follows the leader, or becomes the leader.

    :param lead: runs the leader's work for one term, until it is fenced.
    :param fitness: of this process, see :mod:`pistachiodeal.leader.fitness`.
    """

    def __init__(
        self,
        store: RowStore,
        peers: PeerContext,
        lead: LeadCallback,
        *,
        fitness: float = 1.0,
    ) -> None:
        self._rows = LeaderRowClient(store, peers.directory, peers.events)
        self._peers = peers
        self._candidate = LeaderCandidate(
            peers.identity.node, peers.address, peers.identity.incarnation, fitness
        )
        self._address = peers.address
        self._directory = peers.directory
        self._events = peers.events
        self._lead = lead
        self._follower_only = False
        self._appointed_epoch = 0
        self._led_epoch = 0
        self._link: Link | None = None
        self._answer_handler: AnswerHandler | None = None
        self._link_lost_handler: LinkLostHandler | None = None
        self._notice_handler: NoticeHandler | None = None

    @property
    def link(self) -> Link | None:
        """Return the link to the leader, None while there is none."""
        return self._link

    def set_answer_handler(
        self, handler: AnswerHandler, link_lost: LinkLostHandler | None = None
    ) -> None:
        """Set the handler for the leader's answers to queries and relayed calls.

        :param link_lost: called when no further answer can come, because the link to
            the leader is closed.
        """
        self._answer_handler = handler
        self._link_lost_handler = link_lost

    def set_notice_handler(self, handler: NoticeHandler) -> None:
        """Set the handler for the notices of the leader that is followed."""
        self._notice_handler = handler

    async def run(self) -> None:
        """Follow or lead in turn, without end."""
        while True:
            if self._appointed_epoch > self._rows.row.epoch:
                await self._lead_if_named(
                    self._appointed_epoch, "the last leader has handed over"
                )
                # One check is enough: from here on the row shows who leads.
                self._appointed_epoch = 0
                continue
            directory = self._directory
            is_newer = directory.epoch > self._rows.row.epoch
            if is_newer and directory.leader != self._address:
                # Another entry has announced the leader. Reading the row instead would
                # take a second to fail if the store refuses this process.
                await self._follow(self._rows.adopt_reported_leader())
                continue
            await self._follow_stored_row()

    async def _follow_stored_row(self) -> None:
        asked_at = read_boot_clock()
        row = await self._rows.read()
        if row is not None:
            self._rows.row = row
            if self._is_named(row) and row.epoch > self._led_epoch:
                # A leader has handed over to this process, but the appointment message
                # was lost.
                await self._start_leading(asked_at, "the row names this process")
                return
        if row is not None and self._is_vacant(row) and not self._follower_only:
            await self._campaign("nobody leads")
            return
        known = self._rows.row
        if not known.address or known.address == self._address:
            await curio.sleep(RETRY_S)
            return
        began_at = read_boot_clock()
        refused = await self._follow(known)
        if self._appointed_epoch:
            return
        if not self._follower_only:
            await self._campaign_if_leader_lost(gone=refused)
        if read_boot_clock() - began_at < RETRY_S:
            # During a store outage the last known row may name a process that no
            # longer leads. Without this pause it would be dialled again immediately:
            # 70 links a second.
            await curio.sleep(RETRY_S)

    async def stop_campaigning(self) -> None:
        """Only follow from now on, because this process is stopping."""
        self._follower_only = True
        if self._link is not None:
            await self._send_state(self._link)

    async def hand_over(self, candidate: LeaderCandidate) -> int:
        """Replace this process in the leader's row by another process.

        :param candidate: the process that is to lead.
        :return: its epoch; 0 if the write failed, or if it got no answer and a read of
            the row doesn't show it.
        """
        return await self._rows.transfer(candidate)

    async def resign(self) -> None:
        """Clear the leader's row, so that followers needn't wait for a timeout."""
        try:
            await self._rows.clear_leader()
        except StoreError as error:
            log.info("election: cannot clear the leader's row: {}", error)
        self._events.emit("leader.resigned", epoch=self._rows.row.epoch)

    def _is_named(self, row: LeaderRow) -> bool:
        """Tell whether a row names this incarnation of the process."""
        return (row.address, row.nonce) == (self._address, self._candidate.nonce)

    def _is_vacant(self, row: LeaderRow) -> bool:
        # A row with this process's address that this loop reads is left over from an
        # earlier incarnation, or from a campaign whose write was carried out after the
        # campaign had been given up.
        return not row.address or row.address == self._address

    async def _follow(self, row: LeaderRow) -> bool:
        """Keep a link to the leader until it closes or the leader loses the store.

        :return: whether the leader's address refuses connections.
        """
        with self._events.confine("leader.failed", peer=row.address):
            return await self._follow_link(row)
        return False

    async def _follow_link(self, row: LeaderRow) -> bool:
        refused = False
        try:
            async with dial_peer(self._peers, row.address) as link:
                self._link = link
                self._events.emit("leader.followed", epoch=row.epoch, peer=row.address)
                await self._send_state(link)
                await self._process_messages(link)
        except (PistachiodealError, OSError) as error:
            if self._link is None:
                self._directory.mark_unreachable(row.address)
                refused = isinstance(error, LinkRefusedError)
            self._events.emit("leader.unheard", epoch=row.epoch, cause=str(error))
        finally:
            self._link = None
            if self._link_lost_handler is not None:
                await self._link_lost_handler()
        return refused

    async def _send_state(self, link: Link) -> None:
        """Send the leader this process's fitness to succeed it, 0 while stopping."""
        fitness = 0.0 if self._follower_only else self._candidate.fitness
        try:
            await link.send(EntryState(self._address, int(fitness * 1000)))
        except LinkClosedError as error:
            log.debug("election: the link to the leader is closed: {}", error)

    async def _process_messages(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, JobAnswer | RelayAnswer) and self._answer_handler:
                await self._answer_handler(message)
            if isinstance(message, Appointment):
                self._record_appointment(message)
                return
            if not isinstance(message, LeaderNotice):
                continue
            self._directory.apply_notice(message)
            if message.address != link.address:
                raise LinkClosedError("it no longer leads", peer=link.address)
            if self._directory.epoch > self._rows.row.epoch:
                raise LinkClosedError("another entry leads", peer=link.address)
            if self._notice_handler is not None:
                self._notice_handler(message)
            if message.store_age_ms < STORE_AGE_LIMIT_S * 1000 or self._follower_only:
                continue
            if await self._is_only_leader_cut_off(link):
                return

    def _record_appointment(self, appointment: Appointment) -> None:
        self._events.emit("leader.appointed", epoch=appointment.epoch)
        self._appointed_epoch = appointment.epoch

    async def _is_only_leader_cut_off(self, link: Link) -> bool:
        """Tell whether this process reaches the store while the leader still doesn't.

        True also if another entry has already replaced the row. The comparison with
        this process's own read time matters: without it, a store a hundred times
        slower than usual had a leader replaced that was still writing, and 160 agents
        had to move.
        """
        if await self._rows.read() is None:
            return False
        limit_s = STORE_AGE_LIMIT_S + SLOW_STORE_FACTOR * self._rows.last_read_s
        deadline = read_boot_clock() + STORE_RECOVERY_WAIT_S
        age_ms = 0
        while read_boot_clock() < deadline:
            message = await link.receive()
            if isinstance(message, Appointment):
                self._record_appointment(message)
                return True
            if not isinstance(message, LeaderNotice):
                continue
            if message.store_age_ms < limit_s * 1000:
                return False
            age_ms = message.store_age_ms
        if await self._rows.read() is None:
            return False
        self._events.emit(
            "leader.stale",
            epoch=self._rows.row.epoch,
            age_ms=age_ms,
            limit_ms=int(limit_s * 1000),
        )
        return True

    async def _campaign_if_leader_lost(self, *, gone: bool) -> None:
        """Campaign if the other entries have lost the leader too.

        :param gone: whether the leader's address refuses connections. Then no other
            entry has to confirm the loss: after a complete restart the first entry
            would otherwise wait 0.45 s for the others, and so would all tasks.
        """
        row = await self._rows.read()
        if row is None or row.version != self._rows.row.version:
            return
        suspected_at = read_boot_clock()
        while read_boot_clock() - suspected_at < ISOLATED_WAIT_S:
            heard = await probe_leader_via_peers(self._peers, row)
            if (
                heard is None
                and not gone
                and self._directory.list_others(self._address)
            ):
                await curio.sleep(RETRY_S)
                continue
            if heard:
                await curio.sleep(RETRY_S)
                return
            break
        await curio.sleep(random.uniform(0, CAMPAIGN_JITTER_S))
        await self._campaign("the leader is gone")

    async def _campaign(self, why: str) -> None:
        row = self._rows.row
        if should_defer_to_fitter(self._candidate.fitness, row.fitness):
            # If another entry replaces the row meanwhile, the conditional write below
            # fails.
            await curio.sleep(LOW_FITNESS_DELAY_S)
        epoch = row.epoch + 1
        asked_at = read_boot_clock()
        try:
            result = await self._rows.set_leader(self._candidate)
        except StoreUncertainError:
            await self._lead_if_named(epoch, "the row was written without an answer")
            return
        except StoreError as error:
            log.debug("election: cannot write the leader's row: {}", error)
            await curio.sleep(RETRY_S)
            return
        if result.committed:
            await self._start_leading(asked_at, why)

    async def _lead_if_named(self, epoch: int, why: str) -> None:
        """Lead if the row names this process under an epoch."""
        asked_at = read_boot_clock()
        row = await self._rows.read()
        if row is None or not self._is_named(row) or row.epoch != epoch:
            return
        self._rows.row = row
        await self._start_leading(asked_at, why)

    async def _start_leading(self, asked_at: float, why: str) -> None:
        if self._follower_only:
            # This process was stopped while the row was being written.
            await self.resign()
            return
        row = self._rows.row
        term = LeaderTerm(row.epoch, row.version, asked_at, read_boot_clock())
        # After a failure this process leads again only under a higher epoch, because
        # fencing tokens are numbered from one in each epoch.
        self._led_epoch = row.epoch
        self._events.emit("leader.taken", epoch=row.epoch, why=why)
        self._directory.update_leader(row.epoch, self._address)
        for address in self._directory.list_others(self._address):
            await curio.spawn(self._announce, address, daemon=True)
        try:
            await self._lead(term)
        finally:
            self._events.emit("leader.ended", epoch=row.epoch)

    async def _announce(self, address: str) -> None:
        """Tell an entry who leads now; the old leader may not have noticed yet."""
        try:
            async with dial_peer(self._peers, address) as link:
                await link.send(self._directory.build_notice(0))
        except (PistachiodealError, OSError) as error:
            log.debug(
                "election: cannot announce the new leader to {}: {}", address, error
            )
