"""Which grants a leader gives an agent, and which of the agent's links count."""

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
class FakeWriter:
    """The leader's epoch, and when the store confirmed it last."""

    epoch: int = 3
    confirmed_at: float = field(default_factory=read_boot_clock)


@dataclass
class FakeClosures:
    """The deadline for starts that are decided now."""

    starts_until: float = field(default_factory=lambda: read_boot_clock() + 4.0)


@dataclass(eq=False)
class FakeLink:
    """A link of one agent, which records what the leader sends."""

    peer: Identity = field(default_factory=lambda: Identity(AGENT_ROLE, NODE, 1, "dc"))
    incoming: curio.Queue = field(default_factory=curio.Queue)
    sent: list[Directive] = field(default_factory=list)

    async def receive(self) -> object:
        return await self.incoming.get()

    async def send(self, message: Directive) -> None:
        self.sent.append(message)

    async def report(
        self,
        beat: int,
        *,
        worker: str = "w",
        listed: bool = True,
        draining: bool = False,
    ) -> None:
        """Send a report of the worker, and wait for the leader's answer."""
        report = WorkerReport(
            beat,
            3,
            worker,
            (),
            "svc",
            listed and bool(worker),
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


class SessionsHarness:
    """A leader's sessions with fakes around them."""

    def __init__(self) -> None:
        events = create_quiet_log()
        self.writer, self.fleet = FakeWriter(), Fleet()
        self.closures = FakeClosures()
        reconciler = Reconciler(
            JobRegistry(events), self.fleet, InterferenceModel(), events
        )
        self.sessions = AgentSessions(
            self.writer,  # type: ignore[arg-type]
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


def test_a_grant_counts_from_the_last_confirmation():
    """Guards against a task that runs twice.

    The store refuses a leader for eight seconds, while it goes on answering its agents.
    Its successor waits for old grants from the time of its own election, but the old
    leader's grants counted from each report.
    """

    async def main() -> int:
        harness = SessionsHarness()
        harness.writer.confirmed_at = read_boot_clock() - 8.0
        link = await harness.attach()
        await link.report(1)
        return link.sent[-1].grant_ms

    left_ms = (GRANT_S - 8.0) * 1000
    assert left_ms - CLOCK_MS <= curio.run(main) <= left_ms


def test_a_grant_counts_from_the_report_that_it_answers():
    """Guards against a lease that outlasts its grant.

    The leader is confirmed after it received the report, but the agent counts from the
    report.
    """

    async def main() -> int:
        harness = SessionsHarness()
        harness.writer.confirmed_at = read_boot_clock() + 5.0
        link = await harness.attach()
        await link.report(1)
        return link.sent[-1].grant_ms

    assert curio.run(main) <= GRANT_S * 1000


def test_a_report_on_a_link_that_was_replaced_changes_nothing():
    """Guards against a draining worker that is taken for one that stays.

    An agent reconnects because its link was silent. An older report is delivered on the
    old link after the first report on the new one.
    """

    async def main() -> tuple[bool, int]:
        harness = SessionsHarness()
        old = await harness.attach()
        new = await harness.attach()
        await new.report(1, draining=True)
        await old.report(9)
        return harness.fleet.get(NODE).draining, len(old.sent)

    assert curio.run(main) == (True, 0)


def test_a_worker_of_an_earlier_leader_is_lost_only_after_its_longest_grant():
    """Guards against a task that runs twice.

    A new leader doesn't hear a worker whose agent has just been granted 11 s by the
    previous leader; only the new leader's own grants counted.
    """
    harness = SessionsHarness()
    now = read_boot_clock()
    whole_s = GRANT_S + LOST_MARGIN_S
    assert not harness.sessions.is_lost(now - whole_s + 1.0, f"{NODE}/w")
    assert harness.sessions.is_lost(now - whole_s - 1.0, f"{NODE}/w")


def test_a_worker_that_is_attached_is_not_lost():
    """However long ago this process became the leader."""

    async def main() -> bool:
        harness = SessionsHarness()
        link = await harness.attach()
        await link.report(1)
        return harness.sessions.is_lost(0.0, f"{NODE}/w")

    assert not curio.run(main)


def test_a_report_without_a_listing_extends_no_lease():
    """Guards against runs that wait for ever beside a restarted agent.

    Each answer to the agent granted leases for the worker that it didn't know, so they
    never counted as expired.
    """

    async def main() -> tuple[int, float]:
        harness = SessionsHarness()
        link = await harness.attach()
        await link.report(1, worker="")
        await link.report(2, listed=False)
        assert len(link.sent) == 2
        grants = sum(directive.grant_ms for directive in link.sent)
        return grants, harness.fleet.get(NODE).granted_until

    assert curio.run(main) == (0, 0.0)


def test_a_worker_is_lost_though_its_agent_is_attached_again():
    """Guards against a worker that counts as present because its agent is there."""

    async def main() -> list[bool]:
        harness = SessionsHarness()
        harness.writer.confirmed_at = read_boot_clock() - GRANT_S - 1.0
        link = await harness.attach()
        await link.report(1)
        found = [harness.sessions.is_lost(0.0, f"{NODE}/w")]
        link = await harness.attach()
        await link.report(1, worker="")
        found.append(harness.sessions.is_lost(0.0, f"{NODE}/w"))
        return found

    assert curio.run(main) == [False, True]
