"""The agent's link to the leader: finds it, reports, takes directives."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.leader.directory import is_heard
from pistachiodeal.leader.leader_row import LeaderRows
from pistachiodeal.peers import PeerContext, dial_peer, query_leader
from pistachiodeal.store.row_store import RowStore
from pistachiodeal.task_groups import run_until_one_ends
from pistachiodeal.wire.job_messages import Directive, LeaderNotice
from pistachiodeal.wire.link import Link

log = Logger("leader_link")

REPORT_S = 0.4
# Ends come in groups; a report for each one would cost more than it tells.
REPORT_PAUSE_S = 0.015
RETRY_S = 0.1
# The store is asked who leads at most this often: it is shared by all processes.
LOOK_S = 0.5
# A leader that has just gone silent is asked last for this long: the handshake with it
# would take 0.8 s each time, and its successor is known by the other entries.
UNHEARD_S = 1.0
# A leader grants 11 s from its last confirmed look at its row, and looks each 0.65 s.
# Less than this means that the store turns it away; another may lead by now, whom
# it does not hear of.
LEAST_GRANT_MS = 8_500
SUCCESSOR_S = 0.5


class LeaderLink:
    """Keeps the agent attached to the leader."""

    def __init__(
        self,
        store: RowStore,
        peers: PeerContext,
        ledger: AgentLedger,
        executor: Executor,
        signals: AgentSignals,
    ) -> None:
        self._rows = LeaderRows(store, peers.directory, peers.events)
        self._peers = peers
        self._directory = peers.directory
        self._ledger = ledger
        self._executor = executor
        self._events = peers.events
        self._report = signals.report
        self._fenced = signals.fenced
        self._noted = signals.noted
        self._beat = 0
        self._sent: dict[int, float] = {}
        self._looked_at = 0.0
        self._unheard = ""
        self._unheard_until = 0.0
        self._grant_ms = 0
        self._told = False

    async def run(self) -> None:
        """Stay attached for ever."""
        while True:
            for address in await self._list_candidates():
                if await self._attach(address):
                    break
            if not self._told:
                await curio.sleep(RETRY_S)

    async def _list_candidates(self) -> list[str]:
        """Return where the leader may be, the likeliest address first."""
        now = read_boot_clock()
        if self._told:
            # The last leader has said who follows it. Asked by hundreds of agents at
            # once the store would only say the same, and a slow one 0.4 s later.
            self._told = False
        elif now - self._looked_at >= LOOK_S:
            self._looked_at = now
            await self._rows.read()
        leader = self._directory.leader
        others = self._directory.list_others(leader)
        if not leader:
            return others
        if leader == self._unheard and now < self._unheard_until:
            return [*others, leader]
        return [leader, *others]

    async def _attach(self, address: str) -> bool:
        """Try one address; tell whether a leader was there, or is known by now."""
        try:
            async with dial_peer(self._peers, address) as link:
                notice = await link.receive()
                if isinstance(notice, LeaderNotice):
                    self._directory.take_notice(notice)
                    if notice.address != address:
                        if is_heard(notice):
                            self._unheard = ""
                        return bool(notice.address)
                await self._serve(link)
                return True
        except (PistachiodealError, OSError) as error:
            log.debug("leader_link: {}", error)
            if address == self._directory.leader:
                self._unheard = address
                self._unheard_until = read_boot_clock() + UNHEARD_S
            return False

    async def _serve(self, link: Link) -> None:
        self._beat = 0
        self._sent.clear()
        self._fenced.clear()
        self._ledger.forget_reports()
        self._grant_ms = LEAST_GRANT_MS
        self._events.emit("leader.attached", peer=link.address)
        try:
            await run_until_one_ends(
                lambda: self._send_reports(link),
                lambda: self._receive(link),
                self._watch_successor,
                self._fenced.wait,
            )
        finally:
            self._events.emit("leader.detached", peer=link.address)

    async def _send_reports(self, link: Link) -> None:
        while True:
            self._report.clear()
            self._beat += 1
            self._sent[self._beat] = read_boot_clock()
            await link.send(self._ledger.build_report(self._beat))
            await curio.sleep(REPORT_PAUSE_S)
            await curio.ignore_after(REPORT_S, self._report.wait)

    async def _receive(self, link: Link) -> None:
        epoch = self._directory.epoch
        while True:
            message = await link.receive()
            if isinstance(message, LeaderNotice):
                self._directory.take_notice(message)
                self._told = self._directory.epoch > epoch
                if self._told:
                    return
            if not isinstance(message, Directive):
                continue
            sent_at = self._sent.get(message.beat)
            if not self._ledger.take_directive(message, sent_at):
                self._events.emit("leader.outdated", epoch=message.epoch)
                return
            self._grant_ms = message.grant_ms
            for beat in [beat for beat in self._sent if beat < message.beat]:
                del self._sent[beat]
            await self._noted.set()
            await self._executor.carry_out(message)

    async def _watch_successor(self) -> None:
        """Return once another entry is known to lead.

        A leader that is cut off from the store and from all other entries goes on, and
        an agent that stayed with it would get no work until its grant has run out.
        """
        epoch = self._directory.epoch
        while self._directory.epoch == epoch:
            await curio.sleep(SUCCESSOR_S)
            if self._grant_ms >= LEAST_GRANT_MS:
                continue
            for address in self._directory.list_others(self._directory.leader):
                notice = await query_leader(self._peers, address)
                if notice is not None:
                    self._directory.take_notice(notice)
        self._events.emit("leader.superseded", epoch=epoch, by=self._directory.epoch)
