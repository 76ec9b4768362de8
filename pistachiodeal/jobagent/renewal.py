"""Renews the lease at the runner and reads its listing of running and ended runs."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.model import LossCause
from pistachiodeal.jobs.runtime import CallResult, Listing, Runtime, WorkerHeartbeat

log = Logger("renewal")

# Long poll: the runner answers as soon as a run ends, at the latest after this time.
# Figures of serving tasks cover half a second.
WAIT_MS = 400
RETRY_S = 0.1
# The leader writes an end within 10 ms, or within 0.3 s to a slow store.
ACK_WAIT_S = 0.25
IDLE_S = 0.05
# A runner that has crashed refuses connections, one that is only busy doesn't. After
# three refusals over this time the runner counts as crashed.
ABSENT_S = 0.25
ABSENT_CALLS = 3
LAPSE_MARGIN_S = 0.3


class Renewal:
    """Keeps the lease and the listing of the worker up to date."""

    def __init__(
        self,
        ledger: AgentLedger,
        runtime: Runtime,
        paces: PaceController,
        events: EventLog,
        signals: AgentSignals,
    ) -> None:
        self._ledger = ledger
        self._runtime = runtime
        self._events = events
        self._paces = paces
        self._refresh = signals.refresh
        self._report = signals.report
        self._fenced = signals.fenced
        self._ends_acked = signals.ends_acked
        self._absent = 0
        self._absent_since = 0.0

    async def run(self) -> None:
        """Renew the lease, for ever."""
        while True:
            if not self._ledger.worker or not self._ledger.authority.token:
                await curio.sleep(IDLE_S)
                continue
            wait_ms = WAIT_MS if self._ledger.listed else 0
            if not await self._renew(wait_ms):
                await curio.sleep(RETRY_S)
            elif self._ledger.ends:
                # A runner with unacknowledged ends answers at once. Polling again
                # before the leader has written them would be a busy loop.
                await curio.ignore_after(ACK_WAIT_S, self._ends_acked.wait)
                self._ends_acked.clear()

    async def run_on_demand(self) -> None:
        """Read the listing each time the runner has answered a start or stop."""
        while True:
            await self._refresh.wait()
            self._refresh.clear()
            if not self._ledger.worker or not self._ledger.authority.token:
                continue
            if not await self._renew(0):
                await curio.sleep(RETRY_S)
                await self._refresh.set()

    async def verify(self, beat: WorkerHeartbeat) -> CallResult:
        """Check whether an incarnation is the one that answers now.

        The higher token of the call makes the runner refuse orders that were sent
        before. If another incarnation answers, further calls to it use the same token.

        :returns: ``DONE`` if the incarnation is the one that answers.
        """
        self._ledger.authority.token_increments += 1
        token = self._ledger.authority.token
        listing = await self._runtime.renew(beat.worker, token, 0, 0, 0)
        return listing.result

    async def _renew(self, wait_ms: int) -> bool:
        """Make one call to the runner; return whether it succeeded."""
        ledger = self._ledger
        worker = ledger.worker
        now = read_boot_clock()
        lease_end_ms = 0
        if not ledger.is_silent(now):
            lease_end_ms = ledger.lease.extend(now, ledger.authority.granted_until)
        token = ledger.authority.token
        listing = await self._runtime.renew(
            worker, token, ledger.acked_end, lease_end_ms, wait_ms
        )
        if ledger.worker != worker:
            return True
        if listing.result is CallResult.FENCED and token < ledger.authority.token:
            # A later call of this agent, under a higher token, has overtaken this one.
            return False
        if listing.result is CallResult.DONE:
            with self._events.confine("listing.failed", worker=worker):
                await self._apply_listing(listing, now)
                return True
            return False
        if listing.result is CallResult.UNREADABLE:
            self._events.emit("listing.unreadable", worker=worker, cause=listing.detail)
        await self._process_failure(listing.result)
        return False

    async def _apply_listing(self, listing: Listing, sent_at: float) -> None:
        now = read_boot_clock()
        self._absent = 0
        if self._ledger.apply_listing(listing, sent_at, now):
            await self._report.set()
        await self._paces.apply(now)

    async def _process_failure(self, result: CallResult) -> None:
        ledger = self._ledger
        now = read_boot_clock()
        ledger.run_ages.record_unanswered_call(now)
        if result is CallResult.OTHER_INCARNATION:
            ledger.drop_worker("another incarnation answers")
            await self._report.set()
        elif result is CallResult.FENCED:
            await self._fenced.set()
        elif result is CallResult.ABSENT:
            await self._count_absent(now)
        else:
            self._absent = 0
        if ledger.worker and ledger.listed and self._has_lapsed(now):
            ledger.drop_worker(
                "it is silent and its lease has run out", LossCause.SILENT
            )
            await self._report.set()

    async def _count_absent(self, now: float) -> None:
        if not self._absent:
            self._absent_since = now
        self._absent += 1
        long_enough = now - self._absent_since >= ABSENT_S
        if self._absent >= ABSENT_CALLS and long_enough:
            self._absent = 0
            self._ledger.drop_worker("nothing listens at its address")
            await self._report.set()

    def _has_lapsed(self, now: float) -> bool:
        until = self._ledger.lease.until
        return self._ledger.is_silent(now) and now > until + LAPSE_MARGIN_S
