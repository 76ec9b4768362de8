"""Who leads: one row of the store, taken over under a higher epoch.

A follower keeps a link to the leader. It takes the row when the link is gone and no
other entry hears the leader, or when the leader lives but can't reach the store.
Taking it too early is harmless: the old leader's transactions fail from then on.
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
from pistachiodeal.leader.fitness import may_wait_for_fitter
from pistachiodeal.leader.leader_probe import STORE_AGE_LIMIT_S, ask_witnesses
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

# A leader that is refused is told from a store that is slow by an own look at the row:
# the leader may take this many times as long. A look waits for nobody, and the leader
# has writes and looks on their way at once.
SLOW_FACTOR = 4.0
# After an outage of the store for everybody, the leader has this long to come back
# before a follower whose store works again takes over.
SECOND_LOOK_S = 0.6
# An entry that hears no other entry is likely cut off itself; it waits for this long
# before it takes the row from a leader whom the others may still hear.
ALONE_S = 3.0
STAGGER_S = 0.2
# Entries that are far from fit let the others go first for a second, which is how far
# apart entries suspect a leader.
HANDICAP_S = 1.0
RETRY_S = 0.2


Lead = Callable[[LeaderTerm], Awaitable[None]]
TakeAnswer = Callable[[JobAnswer | RelayAnswer], Awaitable[None]]


class Election:
    """Follows the leader, or becomes it.

    :param lead: leads under an authority until fenced.
    :param fitness: of this process, see :mod:`pistachiodeal.leader.fitness`.
    """

    def __init__(
        self,
        store: RowStore,
        peers: PeerContext,
        lead: Lead,
        *,
        fitness: float = 1.0,
    ) -> None:
        self._rows = LeaderRowClient(store, peers.directory, peers.events)
        self._peers = peers
        self._holder = LeaderCandidate(
            peers.identity.node, peers.address, peers.identity.incarnation, fitness
        )
        self._address = peers.address
        self._directory = peers.directory
        self._events = peers.events
        self._lead = lead
        self._retired = False
        self._appointed = 0
        self._led_epoch = 0
        self._link: Link | None = None
        self._on_answer: TakeAnswer | None = None

    @property
    def link(self) -> Link | None:
        """Return the link to the leader, None while there is none."""
        return self._link

    def set_answer_handler(self, handler: TakeAnswer) -> None:
        """Set what takes the leader's answers to queries and relayed calls."""
        self._on_answer = handler

    async def run(self) -> None:
        """Follow and lead by turns, for ever."""
        while True:
            if self._appointed > self._rows.row.epoch:
                await self._settle(self._appointed, "the last leader has handed over")
                # Asked for once: what became of it shows in the row.
                self._appointed = 0
                continue
            directory = self._directory
            heard = directory.epoch > self._rows.row.epoch
            if heard and directory.leader != self._address:
                # Another entry has said who leads. A store that turns us away would
                # take a second to say nothing.
                await self._follow(self._rows.build_heard_row())
                continue
            await self._go_by_row()

    async def _go_by_row(self) -> None:
        asked_at = read_boot_clock()
        row = await self._rows.read()
        if row is not None:
            self._rows.row = row
            if self._is_named(row) and row.epoch > self._led_epoch:
                # A leader has handed over to this process, and its word was lost.
                await self._take_office(asked_at, "the row names this process")
                return
        if row is not None and self._is_vacant(row) and not self._retired:
            await self._campaign("nobody leads")
            return
        known = self._rows.row
        if not known.address or known.address == self._address:
            await curio.sleep(RETRY_S)
            return
        began_at = read_boot_clock()
        refused = await self._follow(known)
        if self._appointed:
            return
        if not self._retired:
            await self._consider(gone=refused)
        if read_boot_clock() - began_at < RETRY_S:
            # While the store is away, a row that names a process which leads no
            # more would be followed again at once: 70 links a second were seen.
            await curio.sleep(RETRY_S)

    async def stop_campaigning(self) -> None:
        """Follow from now on, and never lead again: this process is stopping."""
        self._retired = True
        if self._link is not None:
            await self._tell_state(self._link)

    async def hand_over(self, holder: LeaderCandidate) -> int:
        """Name another process in the row that names this one.

        :return: the epoch under which it leads; 0 when it surely or likely doesn't.
        """
        epoch = self._rows.row.epoch + 1
        try:
            result = await self._rows.appoint(holder)
        except StoreUncertainError as error:
            log.debug("election: no answer to a hand-over: {}", error)
            row = await self._rows.read()
            named = row is not None and (row.nonce, row.epoch) == (holder.nonce, epoch)
            return epoch if named else 0
        except StoreError as error:
            log.info("election: cannot hand over: {}", error)
            return 0
        return epoch if result.committed else 0

    async def resign(self) -> None:
        """Leave the leader's row vacant, so that nobody has to wait for silence."""
        try:
            await self._rows.vacate()
        except StoreError as error:
            log.info("election: cannot resign: {}", error)
        self._events.emit("leader.resigned", epoch=self._rows.row.epoch)

    def _is_named(self, row: LeaderRow) -> bool:
        """Tell whether a row names this very process."""
        return (row.address, row.nonce) == (self._address, self._holder.nonce)

    def _is_vacant(self, row: LeaderRow) -> bool:
        # A row of our address that this loop sees is of an earlier life of this
        # process, or of a campaign that was carried out after it had been given up.
        return not row.address or row.address == self._address

    async def _follow(self, row: LeaderRow) -> bool:
        """Keep a link to the leader until it ends or the leader lost the store.

        :return: whether nothing listens at the leader's address.
        """
        refused = False
        try:
            async with dial_peer(self._peers, row.address) as link:
                self._link = link
                self._events.emit("leader.followed", epoch=row.epoch, peer=row.address)
                await self._tell_state(link)
                await self._listen(link)
        except (PistachiodealError, OSError) as error:
            if self._link is None:
                self._directory.note_unreachable(row.address)
                refused = isinstance(error, LinkRefusedError)
            self._events.emit("leader.unheard", epoch=row.epoch, cause=str(error))
        finally:
            self._link = None
        return refused

    async def _tell_state(self, link: Link) -> None:
        """Tell the leader how fit this process is to succeed it."""
        fitness = 0.0 if self._retired else self._holder.fitness
        try:
            await link.send(EntryState(self._address, int(fitness * 1000)))
        except LinkClosedError as error:
            log.debug("election: the leader is gone: {}", error)

    async def _listen(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, JobAnswer | RelayAnswer) and self._on_answer:
                await self._on_answer(message)
            if isinstance(message, Appointment):
                self._take_appointment(message)
                return
            if not isinstance(message, LeaderNotice):
                continue
            self._directory.apply_notice(message)
            if message.address != link.address:
                raise LinkClosedError("it no longer leads", peer=link.address)
            if self._directory.epoch > self._rows.row.epoch:
                raise LinkClosedError("another entry leads", peer=link.address)
            if message.store_age_ms < STORE_AGE_LIMIT_S * 1000 or self._retired:
                continue
            if await self._outlasts_leader(link):
                return

    def _take_appointment(self, appointment: Appointment) -> None:
        self._events.emit("leader.appointed", epoch=appointment.epoch)
        self._appointed = appointment.epoch

    async def _outlasts_leader(self, link: Link) -> bool:
        """Tell whether our store works while the leader's goes on being refused.

        Also if another entry has already taken the row. On a store that was a hundred
        times slower, a leader that went on writing was replaced, and 160 agents moved.
        """
        if await self._rows.read() is None:
            return False
        limit_s = STORE_AGE_LIMIT_S + SLOW_FACTOR * self._rows.read_s
        deadline = read_boot_clock() + SECOND_LOOK_S
        while read_boot_clock() < deadline:
            message = await link.receive()
            if isinstance(message, Appointment):
                self._take_appointment(message)
                return True
            if not isinstance(message, LeaderNotice):
                continue
            if message.store_age_ms < limit_s * 1000:
                return False
        return await self._rows.read() is not None

    async def _consider(self, *, gone: bool) -> None:
        """Take the row over if the leader is gone for the other entries too.

        :param gone: whether nothing listens at its address. Then no entry has to be
            there as a witness: after everything was down the first one to start would
            wait 0.45 s for the others, and all tasks with it.
        """
        row = await self._rows.read()
        if row is None or row.version != self._rows.row.version:
            return
        suspected_at = read_boot_clock()
        while read_boot_clock() - suspected_at < ALONE_S:
            heard = await ask_witnesses(self._peers, row)
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
        await curio.sleep(random.uniform(0, STAGGER_S))
        await self._campaign("the leader is gone")

    async def _campaign(self, why: str) -> None:
        row = self._rows.row
        if may_wait_for_fitter(self._holder.fitness, row.fitness):
            # Whoever takes the row meanwhile makes the condition below fail.
            await curio.sleep(HANDICAP_S)
        epoch = row.epoch + 1
        asked_at = read_boot_clock()
        try:
            result = await self._rows.appoint(self._holder)
        except StoreUncertainError:
            await self._settle(epoch, "the row was written without an answer")
            return
        except StoreError as error:
            log.debug("election: cannot campaign: {}", error)
            await curio.sleep(RETRY_S)
            return
        if result.committed:
            await self._take_office(asked_at, why)

    async def _settle(self, epoch: int, why: str) -> None:
        """Lead if the row names this process under an epoch."""
        asked_at = read_boot_clock()
        row = await self._rows.read()
        if row is None or not self._is_named(row) or row.epoch != epoch:
            return
        self._rows.row = row
        await self._take_office(asked_at, why)

    async def _take_office(self, asked_at: float, why: str) -> None:
        if self._retired:
            # The stop came while the row was being written.
            await self.resign()
            return
        row = self._rows.row
        authority = LeaderTerm(row.epoch, row.version, asked_at, read_boot_clock())
        # A leader that has failed leads again only under a higher epoch: its tokens
        # count from one in each.
        self._led_epoch = row.epoch
        self._events.emit("leader.taken", epoch=row.epoch, why=why)
        self._directory.note_leader(row.epoch, self._address)
        for address in self._directory.list_others(self._address):
            await curio.spawn(self._announce, address, daemon=True)
        try:
            await self._lead(authority)
        finally:
            self._events.emit("leader.ended", epoch=row.epoch)

    async def _announce(self, address: str) -> None:
        """Tell an entry who leads now; one that led until now may not know it."""
        try:
            async with dial_peer(self._peers, address) as link:
                await link.send(self._directory.build_notice(0))
        except (PistachiodealError, OSError) as error:
            log.debug("election: cannot tell {} who leads: {}", address, error)
