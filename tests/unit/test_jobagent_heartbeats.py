"""Which start of a runner an agent takes up, and how soon."""

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
    """Answers as one incarnation does, after some calls without an answer."""

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


def build_stage(renewal: FakeRenewal) -> tuple[Heartbeats, AgentLedger]:
    """Return an agent that knows the start ``w@1``."""
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
    """Nothing runs on a worker that is back until its second heartbeat."""

    async def main():
        renewal = FakeRenewal("w@2", unanswered=2)
        heartbeats, ledger = build_stage(renewal)
        await heartbeats.process_heartbeat(build_beat("w@2"))
        await wait_for_worker(ledger, "w@2")

    curio.run(main)


def test_a_heartbeat_that_comes_while_another_is_looked_into_counts():
    """The second of two quick restarts waits for its second heartbeat."""

    async def main():
        heartbeats, ledger = build_stage(FakeRenewal("w@3"))
        for worker in ("w@2", "w@3", "w@0"):
            await heartbeats.process_heartbeat(build_beat(worker))
        await wait_for_worker(ledger, "w@3")
        await curio.sleep(0.1)
        assert ledger.worker == "w@3"

    curio.run(main)


def test_a_sender_that_never_answers_is_asked_only_a_few_times():
    """An agent asks on for a runner that is gone, once for each heartbeat held up."""

    async def main():
        renewal = FakeRenewal("w@1", unanswered=1_000)
        heartbeats, ledger = build_stage(renewal)
        await heartbeats.process_heartbeat(build_beat("w@0"))
        await curio.sleep(2 * SOON_S)
        assert ledger.worker == "w@1"
        assert len(renewal.asked) < 10

    curio.run(main)


def test_a_start_adopted_meanwhile_outlasts_an_older_look():
    """The look at an earlier heartbeat ends the start that has been adopted since."""

    async def main():
        renewal = FakeRenewal("w@2")
        heartbeats, ledger = build_stage(renewal)
        await heartbeats.process_heartbeat(build_beat("w@2"))
        await curio.sleep(0.01)
        ledger.adopt(build_beat("w@3"))
        await curio.sleep(0.1)
        assert renewal.asked == ["w@2"]
        assert ledger.worker == "w@3"

    curio.run(main)


def test_a_worker_that_was_silent_is_adopted_without_its_leader():
    """A worker that answers again stands idle until the leader has heard of its end."""

    async def main():
        heartbeats, ledger = build_stage(FakeRenewal("w@1"))
        ledger.drop_worker("it is silent", LossCause.SILENT)
        await heartbeats.process_heartbeat(build_beat("w@1"))
        assert ledger.worker == "w@1"

    curio.run(main)


def test_a_name_whose_end_the_leader_has_not_heard_of_waits():
    """The leader takes a runner that is back for one that was never gone."""

    async def main():
        renewal = FakeRenewal("w")
        heartbeats, ledger = build_stage(renewal)
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
