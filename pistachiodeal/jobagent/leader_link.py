"""The agent's link to the leader: finds it, sends reports, receives directives."""

from __future__ import annotations

from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.leader.directory import hears_leader
from pistachiodeal.leader.leader_row import LeaderRowClient
from pistachiodeal.peers import PeerContext, dial_peer, query_leader
from pistachiodeal.store.row_store import RowStore
from pistachiodeal.task_groups import run_until_first_exit
from pistachiodeal.wire.job_messages import Directive, LeaderNotice
from pistachiodeal.wire.link import Link

log = Logger("leader_link")

REPORT_S = 0.4
# Delay that batches ends into one report: they come in groups, and a report for each
# one would cost more than it is worth.
REPORT_PAUSE_S = 0.015
RETRY_S = 0.1
# Least time between two reads of the leader's row, as all processes share the store.
LEADER_READ_S = 0.5
# For this long, a leader that has just stopped answering is tried last: the handshake
# with it would take 0.8 s each time, and the other entries know its successor.
UNREACHABLE_S = 1.0
# A leader reads its row every 0.65 s, and grants 11 s from the last confirmed read. A
# grant below this means that the store rejects its reads; another entry may lead by now
# without its knowledge.
MIN_GRANT_MS = 8_500
SUCCESSOR_POLL_S = 0.5


@dataclass(frozen=True, slots=True)
class _SentReport:
    """A report that the leader may still answer.

    :param at: when it was sent, seconds of the boot clock.
    :param listed: whether it had a listing of the worker.
    """

    at: float
    listed: bool


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
        self._rows = LeaderRowClient(store, peers.directory, peers.events)
        self._peers = peers
        self._directory = peers.directory
        self._ledger = ledger
        self._executor = executor
        self._events = peers.events
        self._refresh = signals.refresh
        self._report = signals.report
        self._fenced = signals.fenced
        self._ends_acked = signals.ends_acked
        self._beat = 0
        self._sent: dict[int, _SentReport] = {}
        self._leader_read_at = 0.0
        self._unreachable = ""
        self._unreachable_until = 0.0
        self._grant_ms = 0
        self._successor_known = False
        self._leader_loaded = curio.Event()

    async def run(self) -> None:
        """Stay attached to the leader, for ever."""
        while True:
            for address in await self._list_candidates():
                if await self._attach(address):
                    break
            if not self._successor_known:
                await curio.sleep(RETRY_S)

    async def _list_candidates(self) -> list[str]:
        """Return the addresses where the leader may be, the most likely first."""
        now = read_boot_clock()
        if self._successor_known:
            # The previous leader has named its successor. Reads of the row by hundreds
            # of agents at once would return the same, 0.4 s later from a slow store.
            self._successor_known = False
        elif now - self._leader_read_at >= LEADER_READ_S:
            self._leader_read_at = now
            await self._rows.read()
        leader = self._directory.leader
        others = self._directory.list_others(leader)
        if not leader:
            return others
        if leader == self._unreachable and now < self._unreachable_until:
            return [*others, leader]
        return [leader, *others]

    async def _attach(self, address: str) -> bool:
        """Try one address; return whether it leads, or the leader is known by now."""
        with self._events.confine("leader.failed", peer=address):
            return await self._attach_to(address)
        return False

    async def _attach_to(self, address: str) -> bool:
        try:
            async with dial_peer(self._peers, address) as link:
                notice = await link.receive()
                if isinstance(notice, LeaderNotice):
                    self._directory.apply_notice(notice)
                    if notice.address != address:
                        if hears_leader(notice):
                            self._unreachable = ""
                        return bool(notice.address)
                loading = isinstance(notice, LeaderNotice) and notice.loading
                await self._serve(link, loading=loading)
                return True
        except (PistachiodealError, OSError) as error:
            log.debug("leader_link: {}", error)
            if address == self._directory.leader:
                self._unreachable = address
                self._unreachable_until = read_boot_clock() + UNREACHABLE_S
            return False

    async def _serve(self, link: Link, *, loading: bool) -> None:
        self._beat = 0
        self._leader_loaded.clear()
        if not loading:
            await self._leader_loaded.set()
        self._sent.clear()
        self._fenced.clear()
        self._ledger.reset_reports()
        self._grant_ms = MIN_GRANT_MS
        self._events.emit("leader.attached", peer=link.address)
        try:
            await run_until_first_exit(
                lambda: self._send_reports(link),
                lambda: self._receive(link),
                self._watch_successor,
                self._fenced.wait,
            )
        finally:
            self._events.emit("leader.detached", peer=link.address)

    async def _send_reports(self, link: Link) -> None:
        """Send reports without end; a loading leader gets only the first one.

        It reads no reports before it knows the jobs, and those of many agents would
        take up the link over which it reads them.
        """
        while True:
            self._report.clear()
            self._beat += 1
            report = self._ledger.build_report(self._beat)
            self._sent[self._beat] = _SentReport(read_boot_clock(), report.listed)
            await link.send(report)
            await self._leader_loaded.wait()
            await curio.sleep(REPORT_PAUSE_S)
            await curio.ignore_after(REPORT_S, self._report.wait)

    async def _receive(self, link: Link) -> None:
        epoch = self._directory.epoch
        while True:
            message = await link.receive()
            if isinstance(message, LeaderNotice):
                self._directory.apply_notice(message)
                self._successor_known = self._directory.epoch > epoch
                if self._successor_known:
                    return
                if not message.loading:
                    await self._leader_loaded.set()
            if not isinstance(message, Directive):
                continue
            if not await self._apply_directive(message):
                self._events.emit("leader.outdated", epoch=message.epoch)
                return
            for beat in [beat for beat in self._sent if beat < message.beat]:
                del self._sent[beat]
            await self._ends_acked.set()
            await self._executor.carry_out(message)

    async def _apply_directive(self, directive: Directive) -> bool:
        """Apply a directive; return False if its leader has been replaced."""
        authority = self._ledger.authority
        report = self._sent.get(directive.beat)
        lapsed = authority.granted_until <= read_boot_clock()
        if not self._ledger.apply_directive(directive, report.at if report else None):
            return False
        if report is not None and report.listed:
            # A report without a listing gets no grant, whatever the leader's state.
            self._grant_ms = directive.grant_ms
        if lapsed and authority.granted_until > read_boot_clock():
            # The next renewal may be a long poll away, and the leases of runs that an
            # earlier process of this agent started may end before.
            await self._refresh.set()
        return True

    async def _watch_successor(self) -> None:
        """Return when another entry is known to lead.

        A leader that is partitioned from the store and all other entries keeps its
        links. An agent that stayed with it would get no work until its grant expires.
        """
        epoch = self._directory.epoch
        while self._directory.epoch == epoch:
            await curio.sleep(SUCCESSOR_POLL_S)
            if self._grant_ms >= MIN_GRANT_MS:
                continue
            for address in self._directory.list_others(self._directory.leader):
                notice = await query_leader(self._peers, address)
                if notice is not None:
                    self._directory.apply_notice(notice)
        self._events.emit("leader.superseded", epoch=epoch, by=self._directory.epoch)
