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
    ProtocolError,
    StoreError,
    StoreUncertainError,
)
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY, Authority
from pistachiodeal.leader.directory import is_heard
from pistachiodeal.leader.leader_row import (
    NOBODY,
    UNREAD,
    LeaderRow,
    build_replacement,
    decode_leader_row,
)
from pistachiodeal.peers import PeerContext, ask_who_leads, dial_peer
from pistachiodeal.store.row_store import (
    RowStore,
    StoredRow,
    read_row,
)
from pistachiodeal.wire.job_messages import JobAnswer, LeaderNotice
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.relay_messages import RelayAnswer

log = Logger("election")

# A leader writes or looks at its row every 0.65 s at most, and an answer of a slow
# store takes 0.3 s: an age above this means that the store refuses the leader.
STORE_AGE_LIMIT_S = 1.4
# After an outage of the store for everybody, the leader has this long to come back
# before a follower whose store works again takes over.
SECOND_LOOK_S = 0.6
# An entry that hears no other entry is likely cut off itself; it waits for this long
# before it takes the row from a leader whom the others may still hear.
ALONE_S = 3.0
STAGGER_S = 0.2
# A leader of 74 workers uses up to 0.55 of a core and 5 Mbit/s. On 0.3 of a core, with
# 10 Mbit/s, short jobs that take 2 s took 20. Entries below these limits let the others
# go first for a second, which is how far apart entries suspect a leader.
WEAK_CORES = 0.35
WEAK_MBPS = 50.0
HANDICAP_S = 1.0
RETRY_S = 0.2


Lead = Callable[[Authority], Awaitable[None]]
TakeAnswer = Callable[[JobAnswer | RelayAnswer], Awaitable[None]]


class Election:
    """Follows the leader, or becomes it.

    :param lead: leads under an authority until fenced.
    :param weak: whether other entries had better lead.
    """

    def __init__(
        self,
        store: RowStore,
        peers: PeerContext,
        lead: Lead,
        *,
        weak: bool = False,
    ) -> None:
        self._store = store
        self._peers = peers
        self._identity = peers.identity
        self._address = peers.address
        self._directory = peers.directory
        self._events = peers.events
        self._lead = lead
        self._weak = weak
        self._row = NOBODY
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
            if self._directory.epoch > self._row.epoch:
                # Another entry has said who leads. A store that turns us away would
                # take a second to say nothing.
                await self._follow(self._build_heard_row())
            row = await self._read_row()
            if row is not None:
                self._row = row
            if row is not None and self._is_vacant(row):
                await self._campaign("nobody leads")
                continue
            if not self._row.address or self._row.address == self._address:
                await curio.sleep(RETRY_S)
                continue
            began_at = read_boot_clock()
            refused = await self._follow(self._row)
            await self._consider(gone=refused)
            if read_boot_clock() - began_at < RETRY_S:
                # While the store is away, a row that names a process which leads no
                # more would be followed again at once: 70 links a second were seen.
                await curio.sleep(RETRY_S)

    async def resign(self) -> None:
        """Leave the leader's row vacant, so that nobody has to wait for silence."""
        row = self._row
        transaction = build_replacement(
            row, epoch=row.epoch, node="", address="", nonce=0
        )
        try:
            await self._store.commit(transaction)
        except StoreError as error:
            log.info("election: cannot resign: {}", error)
        self._events.emit("leader.resigned", epoch=row.epoch)

    def _is_vacant(self, row: LeaderRow) -> bool:
        # A row of our address that this loop sees is of an earlier life of this
        # process, or of a campaign that was carried out after it had been given up.
        return not row.address or row.address == self._address

    async def _read_row(self) -> LeaderRow | None:
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEADER_KEY)
        except StoreError as error:
            log.debug("election: cannot read the leader's row: {}", error)
            return None
        if not page.rows:
            return NOBODY
        try:
            row = decode_leader_row(page.rows[0])
        except ProtocolError as error:
            return self._build_unreadable_row(page.rows[0], error)
        if row.address:
            self._directory.note_leader(row.epoch, row.address)
        return row

    def _build_unreadable_row(self, row: StoredRow, error: Exception) -> LeaderRow:
        """Take a row that another writer has spoilt for a vacant one.

        Left as it is, nobody could ever take the lead again. The epoch goes on from
        the highest one heard of, so that runners obey whoever takes it.
        """
        self._events.emit(
            "row.unreadable", table=CONTROL_TABLE, key=row.key, cause=str(error)
        )
        epoch = max(self._directory.epoch, self._row.epoch)
        return LeaderRow(epoch, "", "", 0, row.version)

    def _build_heard_row(self) -> LeaderRow:
        """Take what others say of the leader for its row.

        Nobody can campaign against it: no condition on its version holds.
        """
        directory = self._directory
        self._row = LeaderRow(directory.epoch, "", directory.leader, 0, UNREAD)
        return self._row

    async def _follow(self, row: LeaderRow) -> bool:
        """Keep a link to the leader until it ends or the leader lost the store.

        :return: whether nothing listens at the leader's address.
        """
        refused = False
        try:
            async with dial_peer(self._peers, row.address) as link:
                self._link = link
                self._events.emit("leader.followed", epoch=row.epoch, peer=row.address)
                await self._listen(link)
        except (PistachiodealError, OSError) as error:
            if self._link is None:
                self._directory.note_unreachable(row.address)
                refused = isinstance(error, LinkRefusedError)
            self._events.emit("leader.unheard", epoch=row.epoch, cause=str(error))
        finally:
            self._link = None
        return refused

    async def _listen(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, JobAnswer | RelayAnswer) and self._on_answer:
                await self._on_answer(message)
            if not isinstance(message, LeaderNotice):
                continue
            self._directory.take_notice(message)
            if message.address != link.address:
                raise LinkClosedError("it no longer leads", peer=link.address)
            if self._directory.epoch > self._row.epoch:
                raise LinkClosedError("another entry leads", peer=link.address)
            if message.store_age_ms < STORE_AGE_LIMIT_S * 1000:
                continue
            if await self._outlasts_leader(link):
                return

    async def _outlasts_leader(self, link: Link) -> bool:
        """Tell whether our store works while the leader's goes on being refused.

        Also if another entry has already taken the row.
        """
        if await self._read_row() is None:
            return False
        deadline = read_boot_clock() + SECOND_LOOK_S
        while read_boot_clock() < deadline:
            message = await link.receive()
            if not isinstance(message, LeaderNotice):
                continue
            if message.store_age_ms < STORE_AGE_LIMIT_S * 1000:
                return False
        return await self._read_row() is not None

    async def _consider(self, *, gone: bool) -> None:
        """Take the row over if the leader is gone for the other entries too.

        :param gone: whether nothing listens at its address. Then no entry has to be
            there as a witness: after everything was down the first one to start would
            wait 0.45 s for the others, and all tasks with it.
        """
        row = await self._read_row()
        if row is None or row.version != self._row.version:
            return
        suspected_at = read_boot_clock()
        while read_boot_clock() - suspected_at < ALONE_S:
            heard = await self._ask_entries(row)
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

    async def _ask_entries(self, row: LeaderRow) -> bool | None:
        """Tell whether another entry hears the leader; None if none answers."""
        answered = None
        for address in self._directory.list_others(self._address, row.address):
            notice = await ask_who_leads(self._peers, address)
            if notice is None:
                continue
            answered = False
            fresh = notice.store_age_ms < STORE_AGE_LIMIT_S * 1000
            if notice.epoch >= row.epoch and is_heard(notice) and fresh:
                return True
        return answered

    async def _campaign(self, why: str) -> None:
        row = self._row
        if self._weak:
            # Whoever takes the row meanwhile makes the condition below fail.
            await curio.sleep(HANDICAP_S)
        epoch = row.epoch + 1
        transaction = build_replacement(
            row,
            epoch=epoch,
            node=self._identity.node,
            address=self._address,
            nonce=self._identity.incarnation,
        )
        asked_at = read_boot_clock()
        try:
            result = await self._store.commit(transaction)
        except StoreUncertainError:
            await self._settle(epoch)
            return
        except StoreError as error:
            log.debug("election: cannot campaign: {}", error)
            await curio.sleep(RETRY_S)
            return
        if not result.committed:
            return
        self._row = LeaderRow(
            epoch,
            self._identity.node,
            self._address,
            self._identity.incarnation,
            result.version,
        )
        await self._take_office(asked_at, why)

    async def _settle(self, epoch: int) -> None:
        """Find out whether a campaign without an answer has won."""
        asked_at = read_boot_clock()
        row = await self._read_row()
        if row is None or row.nonce != self._identity.incarnation or row.epoch != epoch:
            return
        self._row = row
        await self._take_office(asked_at, "the row was written without an answer")

    async def _take_office(self, asked_at: float, why: str) -> None:
        row = self._row
        authority = Authority(row.epoch, row.version, asked_at, read_boot_clock())
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


def is_weak(cores: float, link_mbps: float) -> bool:
    """Tell whether a process had better leave the lead to others."""
    return cores < WEAK_CORES or link_mbps < WEAK_MBPS
