"""Tests of the adoption of incarnations on heartbeats."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from pistachiodeal.jobagent.heartbeats import Heartbeats
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobs.model import LossCause
from pistachiodeal.jobs.runtime import CallResult, WorkerHeartbeat
from tests.standins.job_cluster import create_quiet_log
from tests.unit.test_jobagent_ledger import build_beat, build_directive

# Shorter than the pause between two heartbeats of a runner.
SOON_S = 0.8


@dataclass
class FakeRenewal:
    """Answers for one incarnation, after a number of unanswered calls."""

    worker: str
    unanswered: int = 0
    asked: list[str] = field(default_factory=list)

    async def verify(self, beat: WorkerHeartbeat) -> CallResult:
        self.asked.append(beat.worker)
        await curio.sleep(0.02)
        if self.unanswered:
            self.unanswered -= 1
            return CallResult.ABSENT
        if beat.worker != self.worker:
            return CallResult.OTHER_INCARNATION
        return CallResult.DONE


def build_harness(renewal: FakeRenewal) -> tuple[Heartbeats, AgentLedger]:
    """Return an agent that has adopted the incarnation ``w@1``."""
    events = create_quiet_log()
    ledger = AgentLedger(events)
    ledger.adopt(build_beat("w@1"))
    return Heartbeats(ledger, renewal, events, curio.Event()), ledger


async def wait_for_worker(ledger: AgentLedger, worker: str) -> None:
    """Wait until an incarnation is adopted."""
    async with curio.timeout_after(SOON_S):
        while ledger.worker != worker:
            await curio.sleep(0.01)


def test_a_start_that_listens_after_its_first_heartbeat_is_adopted_soon():
    """Guards against a restarted worker that stays idle until its second heartbeat."""

    async def main():
        renewal = FakeRenewal("w@2", unanswered=2)
        heartbeats, ledger = build_harness(renewal)
        await heartbeats.process_heartbeat(build_beat("w@2"))
        await wait_for_worker(ledger, "w@2")

    curio.run(main)


def test_a_heartbeat_that_arrives_while_another_is_verified_counts():
    """Guards against a second quick restart that waits for its second heartbeat."""

    async def main():
        heartbeats, ledger = build_harness(FakeRenewal("w@3"))
        for worker in ("w@2", "w@3", "w@0"):
            await heartbeats.process_heartbeat(build_beat(worker))
        await wait_for_worker(ledger, "w@3")
        await curio.sleep(0.1)
        assert ledger.worker == "w@3"

    curio.run(main)


def test_a_sender_that_never_answers_is_called_only_a_few_times():
    """Guards against endless calls to an ended runner after a delayed heartbeat."""

    async def main():
        renewal = FakeRenewal("w@1", unanswered=1_000)
        heartbeats, ledger = build_harness(renewal)
        await heartbeats.process_heartbeat(build_beat("w@0"))
        await curio.sleep(2 * SOON_S)
        assert ledger.worker == "w@1"
        assert len(renewal.asked) < 10

    curio.run(main)


def test_a_start_adopted_meanwhile_is_not_replaced_by_an_older_verification():
    """Guards against an earlier heartbeat that drops the incarnation adopted since."""

    async def main():
        renewal = FakeRenewal("w@2")
        heartbeats, ledger = build_harness(renewal)
        await heartbeats.process_heartbeat(build_beat("w@2"))
        await curio.sleep(0.01)
        ledger.adopt(build_beat("w@3"))
        await curio.sleep(0.1)
        assert renewal.asked == ["w@2"]
        assert ledger.worker == "w@3"

    curio.run(main)


def test_a_worker_that_was_silent_is_adopted_without_the_leader():
    """Guards against a worker that answers again and idles until the leader knows."""

    async def main():
        heartbeats, ledger = build_harness(FakeRenewal("w@1"))
        ledger.drop_worker("it is silent", LossCause.SILENT)
        await heartbeats.process_heartbeat(build_beat("w@1"))
        assert ledger.worker == "w@1"

    curio.run(main)


def test_a_name_whose_end_the_leader_has_not_acknowledged_waits():
    """Guards against a restarted runner that the leader takes for the earlier one."""

    async def main():
        renewal = FakeRenewal("w")
        heartbeats, ledger = build_harness(renewal)
        ledger.adopt(build_beat("w"))
        ledger.drop_worker("nothing listens at its address")
        await heartbeats.process_heartbeat(build_beat("w"))
        await curio.sleep(0.05)
        assert ledger.worker == ""
        ledger.build_report(1)
        ledger.apply_directive(build_directive(""), None)
        await heartbeats.process_heartbeat(build_beat("w"))
        await wait_for_worker(ledger, "w")

    curio.run(main)
