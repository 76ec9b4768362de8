"""What a leader grants an agent, and which of its links it listens to."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.sessions import GRANT_S, LOST_MARGIN_S, AgentSessions
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.identity import AGENT_ROLE, Identity
from pistachiodeal.wire.job_messages import Directive, WorkerReport
from tests.standins.job_cluster import create_quiet_log

NODE = "node"
SETTLE_S = 0.02
CLOCK_MS = 50


@dataclass
class FakeCommits:
    """The leader's right: its epoch, and when it was confirmed last."""

    epoch: int = 3
    confirmed_at: float = field(default_factory=read_boot_clock)


@dataclass
class FakeClosures:
    """When starts have to begin that are decided now."""

    starts_until: float = field(default_factory=lambda: read_boot_clock() + 4.0)


@dataclass(eq=False)
class FakeLink:
    """A link of one agent; what the leader sends is kept."""

    peer: Identity = field(default_factory=lambda: Identity(AGENT_ROLE, NODE, 1, "dc"))
    incoming: curio.Queue = field(default_factory=curio.Queue)
    sent: list[Directive] = field(default_factory=list)

    async def receive(self) -> object:
        return await self.incoming.get()

    async def send(self, message: Directive) -> None:
        self.sent.append(message)

    async def report(self, beat: int, *, draining: bool = False) -> None:
        """Send a report of the worker, and let the leader answer."""
        report = WorkerReport(
            beat,
            3,
            "w",
            (),
            "svc",
            True,
            draining,
            0,
            16_000,
            64_000,
            0,
            (),
            (),
            (),
            (),
        )
        await self.incoming.put(report)
        await curio.sleep(SETTLE_S)


class Stage:
    """A leader's sessions."""

    def __init__(self) -> None:
        events = create_quiet_log()
        self.commits, self.fleet = FakeCommits(), Fleet()
        self.closures = FakeClosures()
        reconciler = Reconciler(
            JobRegistry(events), self.fleet, InterferenceModel(), events
        )
        self.sessions = AgentSessions(
            self.commits,  # type: ignore[arg-type]
            self.fleet,
            reconciler,
            self.closures,  # type: ignore[arg-type]
            events=events,
            changed=curio.Event(),
        )

    async def attach(self) -> FakeLink:
        """Open a link of the agent."""
        link = FakeLink()
        await curio.spawn(self.sessions.serve, link, daemon=True)
        await curio.sleep(SETTLE_S)
        return link


def test_a_grant_counts_from_the_last_confirmed_look():
    """Symptom: a task runs twice.

    Sequence: the store turns a leader away for eight seconds; it goes on answering its
    agents; its successor waits for grants from the moment at which it took the row.
    Cause: the old leader's grants counted from each report, whoever led by then.
    """

    async def main() -> int:
        stage = Stage()
        stage.commits.confirmed_at = read_boot_clock() - 8.0
        link = await stage.attach()
        await link.report(1)
        return link.sent[-1].grant_ms

    left_ms = (GRANT_S - 8.0) * 1000
    assert left_ms - CLOCK_MS <= curio.run(main) <= left_ms


def test_a_grant_counts_from_the_report_that_it_answers():
    """Symptom: a lease outlives its grant. Sequence: the leader is confirmed later than
    it heard the agent. Cause: the agent counts from its report, which was sooner.
    """

    async def main() -> int:
        stage = Stage()
        stage.commits.confirmed_at = read_boot_clock() + 5.0
        link = await stage.attach()
        await link.report(1)
        return link.sent[-1].grant_ms

    assert curio.run(main) <= GRANT_S * 1000


def test_a_report_on_a_link_that_was_replaced_changes_nothing():
    """Symptom: a worker that drains is taken for one that stays.

    Sequence: an agent dials anew, since its link was silent; a report of before is
    delivered on the old one after the first on the new one. Cause: any link counted.
    """

    async def main() -> tuple[bool, int]:
        stage = Stage()
        old = await stage.attach()
        new = await stage.attach()
        await new.report(1, draining=True)
        await old.report(9)
        return stage.fleet.get(NODE).draining, len(old.sent)

    assert curio.run(main) == (True, 0)


def test_a_worker_of_an_earlier_leader_is_lost_only_after_its_longest_grant():
    """Symptom: a task runs twice. Sequence: a new leader doesn't hear a worker whose
    agent was granted 11 s a moment before. Cause: grants of this leader alone counted.
    """
    stage = Stage()
    now = read_boot_clock()
    whole_s = GRANT_S + LOST_MARGIN_S
    assert not stage.sessions.is_lost(now - whole_s + 1.0, f"{NODE}/w")
    assert stage.sessions.is_lost(now - whole_s - 1.0, f"{NODE}/w")


def test_a_worker_that_is_attached_is_not_lost():
    """However old the lead is."""

    async def main() -> bool:
        stage = Stage()
        link = await stage.attach()
        await link.report(1)
        return stage.sessions.is_lost(0.0, f"{NODE}/w")

    assert not curio.run(main)
