"""Leaders and a few agents that restart at any moment, in simulated time.

Leader and agents are the product's; links, store and runners are fakes with delays,
losses and silences.
"""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import LinkClosedError
from pistachiodeal.jobs.model import Job, JobState
from pistachiodeal.jobs.rows import JOBS_TABLE, encode_job
from pistachiodeal.jobs.runtime import CallResult, Listing, StartCall
from pistachiodeal.leader.commits import LeaderTerm
from pistachiodeal.leader.leader_row import (
    NO_LEADER,
    LeaderCandidate,
    LeaderRow,
    build_replacement,
)
from pistachiodeal.leader.leadership import Leadership, lead
from pistachiodeal.peers import PeerContext
from pistachiodeal.store.row_store import RowWrite, Transaction
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.job_messages import LeaderNotice
from tests.standins.job_cluster import AgentProcess, Process, create_quiet_log
from tests.standins.job_runner import InvariantChecker, MemoryRunner
from tests.standins.rows import MemoryRows, RowsState

CALL_TIMEOUT_S = 1.0
POLL_S = 0.02


@dataclass
class ListedEnd:
    """An end ``done`` that a runner has listed to an agent.

    :ivar reader: number of the start of the agent.
    :ivar lapsed: whether the runner's lease has run out since the end.
    """

    runner: SilentRunner
    incarnation: str
    reader: int
    lapsed: bool = False

    @property
    def counts(self) -> bool:
        """Tell whether the end must be known when another run starts."""
        crashed = self.runner.worker != self.incarnation
        return not self.lapsed and not (crashed and self.runner.reader != self.reader)


class EndChecker(InvariantChecker):
    """Checks also that no run starts after an end ``done`` that was listed."""

    def __init__(self) -> None:
        super().__init__()
        self.listed: dict[str, ListedEnd] = {}

    def record_start(self, task: str, run: int, worker: str) -> None:
        """Record that a runner has started a run."""
        super().record_start(task, run, worker)
        if task in self.listed and self.listed[task].counts:
            self.violations.append(f"starts after its listed end: {task} run {run}")


class SilentRunner(MemoryRunner):
    """A runner whose calls may get no answer for a while.

    :ivar reader: counts the starts of its agent.
    """

    def __init__(self, name: str, checker: EndChecker, work_s: float, seed: int):
        super().__init__(name, checker, work_s, seed)
        self._ends_checker = checker
        self._late_ends: set[str] = set()
        self.silent_until = 0.0
        self.reader = 0

    @property
    def lease_left_s(self) -> float:
        """Return for how long its runs still have a lease, seconds."""
        return (self._until_ms - self._read_clock_ms()) / 1000

    async def watch(self) -> None:
        """Let runs end in time, also while nobody calls."""
        while True:
            self._advance()
            if self._read_clock_ms() > self._until_ms:
                self._late_ends |= {end.task for end in self._ends}
                for end in self._ends_checker.listed.values():
                    end.lapsed |= end.runner is self
            await curio.sleep(POLL_S)

    async def start(self, call: StartCall) -> CallResult:
        """See ``Runtime``."""
        if await self._is_silent():
            return CallResult.UNKNOWN
        return await super().start(call)

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        """See ``Runtime``."""
        if await self._is_silent():
            return CallResult.UNKNOWN
        return await super().stop(worker, token, task, run)

    async def renew(
        self,
        worker: str,
        token: int,
        acknowledged: int,
        lease_end_ms: int,
        wait_ms: int,
    ) -> Listing:
        """See ``Runtime``."""
        if await self._is_silent():
            return Listing(CallResult.UNKNOWN)
        return await super().renew(worker, token, acknowledged, lease_end_ms, wait_ms)

    async def _is_silent(self) -> bool:
        if time.monotonic() >= self.silent_until:
            return False
        await curio.sleep(CALL_TIMEOUT_S)
        return True

    def _list(self) -> Listing:
        for end in self._ends:
            if end.how == "done":
                late = end.task in self._late_ends
                found = ListedEnd(self, self.worker, self.reader, late)
                self._ends_checker.listed.setdefault(end.task, found)
        return super()._list()


class FakeLink:
    """One end of a link whose messages arrive late, and in order.

    :ivar delay_s: of the messages that this end sends.
    """

    def __init__(self, peer: Identity, address: str) -> None:
        self.peer = peer
        self.address = address
        self.delay_s = 0.0
        self._inbox = curio.Queue()
        self._due = 0.0
        self.other: FakeLink = self

    async def send(self, message) -> None:
        """Send a message, None to close."""
        self._due = max(self._due, time.monotonic() + self.delay_s)
        await self.other._inbox.put((self._due, message))

    async def receive(self):
        """Return the next message."""
        due, message = await self._inbox.get()
        await curio.sleep(max(0.0, due - time.monotonic()))
        if message is None:
            raise LinkClosedError(step="receive")
        return message


class LeaderProcess(Process):
    """A process that leads as soon as it starts."""

    def __init__(self, state: RowsState, row: LeaderRow) -> None:
        super().__init__()
        address = f"10.0.0.{row.epoch + 1}:1"
        candidate = LeaderCandidate(address, address, 1, 1.0)
        result = state.apply(build_replacement(row, row.epoch + 1, candidate))
        self.row = LeaderRow(row.epoch + 1, address, address, 1, result.version)
        self.rows = MemoryRows(state)
        self.links: list[FakeLink] = []
        now = time.monotonic()
        self.leadership = Leadership(
            self.rows,
            LeaderTerm(self.row.epoch, result.version, now, now),
            lambda queue: queue,
            LimitSettings(kept_s=1_000.0),
            create_quiet_log(),
        )

    async def lead(self) -> None:
        """Lead until another process does."""
        await lead(self.leadership)
        for link in self.links:
            await link.send(None)

    async def serve(self, link: FakeLink) -> None:
        """Serve an agent."""
        self.links.append(link)
        row = self.row
        await link.send(LeaderNotice(row.epoch, row.address, 0, (), 0))
        while not self.leadership.loaded:
            await curio.sleep(POLL_S)
        try:
            await self.leadership.sessions.serve(link)
        except LinkClosedError:
            self.links.remove(link)


@dataclass
class RestartingJobs:
    """The processes and their faults."""

    rng: random.Random
    state: RowsState = field(default_factory=RowsState)
    checker: EndChecker = field(default_factory=EndChecker)
    leaders: list[LeaderProcess] = field(default_factory=list)
    agents: list[AgentProcess] = field(default_factory=list)
    runners: list[SilentRunner] = field(default_factory=list)
    delay_s: float = 0.0
    _changing: curio.Lock = field(default_factory=curio.Lock)

    async def start(
        self, agents: int, jobs: list[Job], *, work_s: float | None = None
    ) -> None:
        """Start everything with some jobs in the store.

        :param work_s: seconds for which a task runs; by default it differs by runner.
        """
        self.state.rng.seed(self.rng.random())
        self.checker.texts = {job.job_id: job.text for job in jobs}
        writes = [RowWrite(JOBS_TABLE, job.job_id, encode_job(job)) for job in jobs]
        self.state.apply(Transaction((), tuple(writes)))
        await self.change_leader()
        for number in range(agents):
            usual_s = self.rng.choice((0.5, 2.0, 6.0))
            seed = self.rng.randrange(1_000)
            runner = SilentRunner(f"w{number}", self.checker, work_s or usual_s, seed)
            runner.same_id_share = 0.5
            self.runners.append(runner)
            await curio.spawn(runner.watch, daemon=True)
            agent = AgentProcess(str(number), self.state, [], runner)
            self.agents.append(agent)
            await agent.boot()

    async def change_leader(self, *, killed: bool = True, away_s: float = 0.0) -> None:
        """Let a new process lead; the old one may notice that only later.

        :param away_s: time without a leader.
        """
        async with self._changing:
            await self._change_leader(killed, away_s)

    async def _change_leader(self, killed: bool, away_s: float) -> None:
        row = self.leaders[-1].row if self.leaders else NO_LEADER
        if self.leaders and killed:
            old = self.leaders[-1]
            await old.kill()
            for link in old.links:
                await link.send(None)
        await curio.sleep(away_s)
        leader = LeaderProcess(self.state, row)
        self.leaders.append(leader)
        await leader.start(leader.lead)

    async def restart_agent(self, number: int, away_s: float) -> None:
        """Kill an agent, and start it again later."""
        agent = self.agents[number]
        if not agent.tasks:
            return
        await agent.kill()
        await curio.sleep(away_s)
        self.runners[number].reader += 1
        await agent.boot()

    @asynccontextmanager
    async def dial(self, peers: PeerContext, address: str) -> AsyncIterator[FakeLink]:
        """Open a link to a leader; replaces ``dial_peer``."""
        leader = next((one for one in self.leaders if one.row.address == address), None)
        if leader is None or not leader.tasks or leader.tasks[0].terminated:
            raise LinkClosedError(step="dial")
        near = FakeLink(Identity("entry", address, 1, "dc"), address)
        far = FakeLink(peers.identity, "")
        near.other, far.other = far, near
        near.delay_s = self.rng.random() * self.delay_s
        far.delay_s = self.rng.random() * self.delay_s
        await leader.start(lambda: leader.serve(far))
        try:
            yield near
        finally:
            await near.send(None)

    def count_open(self) -> int:
        """Return how many jobs are not completed yet."""
        records = self.leaders[-1].leadership.registry.records.values()
        return sum(one.durable_state is not JobState.COMPLETED for one in records)
