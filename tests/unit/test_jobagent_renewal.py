"""Tests of lease renewal and of the verification of incarnations."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobagent.renewal import Renewal
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.runtime import CallResult, Listing
from tests.standins.job_cluster import create_quiet_log
from tests.unit.test_jobagent_ledger import build_beat, build_directive


@dataclass
class FakeRuntime:
    """Gives a set answer to each renewal, and records the tokens of the calls."""

    listing: Listing = field(default_factory=lambda: Listing(CallResult.DONE, 100))
    tokens: list[int] = field(default_factory=list)

    async def renew(
        self,
        worker: str,
        token: int,
        acknowledged: int,
        lease_end_ms: int,
        wait_ms: int,
    ) -> Listing:
        self.tokens.append(token)
        await curio.sleep(0.01)
        return self.listing


@dataclass
class AgentHarness:
    """An agent that has adopted worker ``w@1`` and holds a grant of its leader."""

    ledger: AgentLedger
    runtime: FakeRuntime
    signals: AgentSignals
    renewal: Renewal


def build_harness(listing: Listing) -> AgentHarness:
    events = create_quiet_log()
    ledger = AgentLedger(events)
    ledger.apply_directive(build_directive("w@1"), read_boot_clock())
    ledger.adopt(build_beat("w@1"))
    runtime, signals = FakeRuntime(listing), AgentSignals()
    paces = PaceController(ledger, runtime, events, 4.0)
    renewal = Renewal(ledger, runtime, paces, events, signals)
    return AgentHarness(ledger, runtime, signals, renewal)


def test_a_start_is_verified_under_a_token_of_its_own():
    """Guards against an order for an earlier start that takes effect after it."""

    async def main():
        harness = build_harness(Listing(CallResult.DONE, 100))
        before = harness.ledger.authority.token
        await harness.renewal.verify(build_beat("w@2"))
        assert harness.runtime.tokens == [before + 1]
        assert harness.ledger.authority.token == before + 1

    curio.run(main)


def test_a_call_that_another_one_has_overtaken_does_not_end_the_link():
    """Guards against an agent that leaves its leader because of its own token."""

    async def main():
        harness = build_harness(Listing(CallResult.FENCED))
        renewing = await curio.spawn(harness.renewal._renew, 0)
        await curio.sleep(0)
        harness.ledger.authority.token_increments += 1
        assert not await renewing.join()
        assert not harness.signals.fenced.is_set()
        assert not await harness.renewal._renew(0)
        assert harness.signals.fenced.is_set()

    curio.run(main)


def test_an_unreadable_listing_does_not_drop_the_worker():
    """Guards against losing all runs of a worker by one foreign answer."""

    async def main():
        harness = build_harness(
            Listing(CallResult.UNREADABLE, detail="born is missing")
        )
        assert not await harness.renewal._renew(0)
        assert harness.ledger.worker == "w@1"

    curio.run(main)


def test_a_worker_adopted_meanwhile_is_not_dropped_by_an_older_answer():
    """Guards against a delayed answer for an earlier start that drops the worker."""

    async def main():
        harness = build_harness(Listing(CallResult.OTHER_INCARNATION))
        renewing = await curio.spawn(harness.renewal._renew, 0)
        await curio.sleep(0)
        harness.ledger.adopt(build_beat("w@2"))
        await renewing.join()
        assert harness.ledger.worker == "w@2"

    curio.run(main)
