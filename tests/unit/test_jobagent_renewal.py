"""Calls of an agent that keep the lease and look at its runner."""

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
    """Answers each renewal as it is told; the tokens of the calls are kept."""

    listing: Listing = field(default_factory=lambda: Listing(CallResult.DONE, 100))
    tokens: list[int] = field(default_factory=list)

    async def renew(
        self, worker: str, token: int, noted: int, lease_end_ms: int, wait_ms: int
    ) -> Listing:
        self.tokens.append(token)
        await curio.sleep(0.01)
        return self.listing


@dataclass
class Stage:
    """An agent whose worker ``w@1`` is known and whose leader has granted it time."""

    ledger: AgentLedger
    runtime: FakeRuntime
    signals: AgentSignals
    renewal: Renewal


def build_stage(listing: Listing) -> Stage:
    events = create_quiet_log()
    ledger = AgentLedger(events)
    ledger.apply_directive(build_directive("w@1"), read_boot_clock())
    ledger.adopt(build_beat("w@1"))
    runtime, signals = FakeRuntime(listing), AgentSignals()
    paces = PaceController(ledger, runtime, events, 4.0)
    renewal = Renewal(ledger, runtime, paces, events, signals)
    return Stage(ledger, runtime, signals, renewal)


def test_a_start_is_looked_into_under_a_token_of_its_own():
    """An order for the earlier start is carried out after the look at the next one."""

    async def main():
        stage = build_stage(Listing(CallResult.DONE, 100))
        before = stage.ledger.authority.token
        await stage.renewal.verify(build_beat("w@2"))
        assert stage.runtime.tokens == [before + 1]
        assert stage.ledger.authority.token == before + 1

    curio.run(main)


def test_a_call_that_another_one_has_overtaken_ends_no_link():
    """An agent leaves its leader because of its own higher token."""

    async def main():
        stage = build_stage(Listing(CallResult.FENCED))
        renewing = await curio.spawn(stage.renewal._renew, 0)
        await curio.sleep(0)
        stage.ledger.authority.token_increments += 1
        assert not await renewing.join()
        assert not stage.signals.fenced.is_set()
        assert not await stage.renewal._renew(0)
        assert stage.signals.fenced.is_set()

    curio.run(main)


def test_a_listing_that_cannot_be_read_ends_no_worker():
    """One answer of another writer loses all that runs there."""

    async def main():
        stage = build_stage(Listing(CallResult.UNREADABLE, detail="born is missing"))
        assert not await stage.renewal._renew(0)
        assert stage.ledger.worker == "w@1"

    curio.run(main)


def test_a_worker_adopted_meanwhile_outlasts_an_older_answer():
    """An answer of an earlier start, on its way until now, ends the present one."""

    async def main():
        stage = build_stage(Listing(CallResult.OTHER_INCARNATION))
        renewing = await curio.spawn(stage.renewal._renew, 0)
        await curio.sleep(0)
        stage.ledger.adopt(build_beat("w@2"))
        await renewing.join()
        assert stage.ledger.worker == "w@2"

    curio.run(main)
