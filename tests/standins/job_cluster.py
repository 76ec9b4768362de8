"""Runs entries and agents in one process, against the in-memory stand-ins.

Links are real TCP connections over loopback. A "process" is a group of curio tasks;
killing it cancels them all.
"""

from __future__ import annotations

import os
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio

from pistachiodeal.config.deployment import (
    DEFAULT_ROW_BYTES,
    NO_FEATURES,
    FeatureSettings,
    LimitSettings,
)
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.heartbeats import Heartbeats
from pistachiodeal.jobagent.leader_link import LeaderLink
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobagent.renewal import Renewal
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.admission import AdmissionGate
from pistachiodeal.jobentry.handover import HandOver
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.jobentry.relay import RelayedRows, build_dispatcher
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.model import Job, JobState, Queue, Step
from pistachiodeal.jobs.rows import CANCEL_VALUE, build_cancel_key, encode_job
from pistachiodeal.leader.directory import Directory
from pistachiodeal.leader.election import Election
from pistachiodeal.model.resources import Resources
from pistachiodeal.peers import PeerContext
from pistachiodeal.platform.closures import CLOSURE_PREFIX, CLOSURES_TABLE
from pistachiodeal.store.row_store import RowWrite, Transaction
from pistachiodeal.wire.configuration_messages import ConfigurationAnswer
from pistachiodeal.wire.identity import AGENT_ROLE, ENTRY_ROLE, Identity
from tests.harness.ports import reserve_port
from tests.standins.job_runner import InvariantChecker, MemoryRunner
from tests.standins.rows import MemoryRows, RowsState

QUEUE = Queue("q", "host", "/q/", "svc", 0, 4, 2.0, 1.0)
SECRET = "secret"
HEARTBEAT_S = 0.1


def build_job(number: int, *, count: int = 3, steps: int = 2) -> Job:
    """Return a job of equal steps, each of which depends on the previous one."""
    size = Resources(1_000, 1_000, 0)
    built = tuple(
        Step(count, size, 0.2, (index - 1,) if index else ()) for index in range(steps)
    )
    return Job(f"{number:016x}", QUEUE, f"text {number}", built, time.time())


@dataclass
class Process:
    """A group of curio tasks that are started and cancelled together."""

    tasks: list[curio.Task] = field(default_factory=list)

    async def start(self, *children: Callable[[], Awaitable[None]]) -> None:
        """Spawn the children, which run until the process is killed."""
        for child in children:
            self.tasks.append(await curio.spawn(child, daemon=True))

    async def kill(self) -> None:
        """Cancel all tasks of the process."""
        while self.tasks:
            await self.tasks.pop().cancel()


class EntryProcess(Process):
    """An entry without its HTTP server."""

    def __init__(self, name: str, state: RowsState, addresses: list[str]) -> None:
        super().__init__()
        self.name = name
        self.state = state
        self.addresses = addresses
        self.address = addresses[int(name)]
        self.incarnation = 0
        self.fitness = 1.0
        self.features = NO_FEATURES

    async def boot(self) -> None:
        """Start the process with a new incarnation."""
        self.incarnation += 1
        self.store = MemoryRows(self.state)
        self.events = events = create_quiet_log()
        peers = PeerContext(
            Identity(ENTRY_ROLE, f"entry-{self.name}", self.incarnation, "dc"),
            self.address,
            SECRET,
            Directory(tuple(self.addresses)),
            events,
        )
        self.seat = PeerServer(
            self.store,
            peers,
            lambda queue: queue,
            LimitSettings(kept_s=100.0),
            answer_configuration=lambda query: ConfigurationAnswer(0, b"", 0),
            features=self.features,
            row_bytes=self.state.row_bytes,
        )
        self.election = Election(
            self.store, peers, self.seat.lead, fitness=self.fitness
        )
        self.handover = HandOver(self.seat, self.election, events, self.fitness)
        election = self.election
        relayed = RelayedRows(self.store, lambda: election.link, events)
        self.acceptance = Acceptance(relayed, events)
        self.states = JobStates(relayed, self.seat, self.election)
        self.election.set_answer_handler(
            build_dispatcher(relayed, self.states.handle_answer),
            relayed.abandon_calls,
        )
        self.gate = AdmissionGate(
            self.acceptance, self.states, self.seat, self.election, peers
        )
        if self.features.admission:
            self.election.set_notice_handler(self.gate.apply_notice)
        await self.start(
            self.seat.listen,
            self.election.run,
            self.acceptance.run,
            self.handover.run,
        )

    async def submit(self, job: Job) -> None:
        """Accept a job, as the entry's HTTP API does."""
        await self.acceptance.insert(job.job_id, encode_job(job), 3.0)
        await self.states.announce(job.job_id)

    async def cancel(self, job: Job) -> None:
        """Cancel a job, as the entry's HTTP API does."""
        key = build_cancel_key(job.job_id)
        await self.acceptance.insert(key, CANCEL_VALUE, 3.0)
        await self.states.announce(key)


class AgentProcess(Process):
    """An agent and the runner beside it."""

    def __init__(
        self, name: str, state: RowsState, addresses: list[str], runner: MemoryRunner
    ) -> None:
        super().__init__()
        self.name = name
        self.data_centre = f"dc-{name}"
        self.state = state
        self.addresses = addresses
        self.runner = runner
        self.incarnation = 0
        # Whether the runner's heartbeats are delayed.
        self.silent = False

    async def boot(self) -> None:
        """Start the process with a new incarnation; the runner keeps running."""
        self.incarnation += 1
        events = create_quiet_log()
        signals = AgentSignals()
        self.ledger = AgentLedger(events)
        paces = PaceController(self.ledger, self.runner, events, 4.0)
        renewal = Renewal(self.ledger, self.runner, paces, events, signals)
        executor = Executor(self.ledger, self.runner, events, signals)
        peers = PeerContext(
            Identity(
                AGENT_ROLE, f"node-{self.name}", self.incarnation, self.data_centre
            ),
            "",
            SECRET,
            Directory(tuple(self.addresses)),
            events,
        )
        link = LeaderLink(MemoryRows(self.state), peers, self.ledger, executor, signals)
        self.heartbeats = Heartbeats(self.ledger, renewal, events, signals.report)
        await self.start(
            renewal.run, renewal.run_on_demand, link.run, self._send_heartbeats
        )

    async def _send_heartbeats(self) -> None:
        while True:
            if not self.runner.down and not self.silent:
                await self.heartbeats.process_heartbeat(self.runner.build_heartbeat())
            await curio.sleep(HEARTBEAT_S)


@dataclass
class JobCluster:
    """All processes, the store's state and the invariant checker."""

    state: RowsState
    checker: InvariantChecker
    entries: list[EntryProcess]
    agents: list[AgentProcess]

    def find_leader(self) -> EntryProcess | None:
        """Return the entry that leads and has loaded its state, or None."""
        for entry in self.entries:
            leadership = entry.seat.leadership if entry.tasks else None
            if leadership is not None and leadership.loaded:
                return entry
        return None

    def close(self, data_centre: str) -> None:
        """Close a data centre, as an operator does."""
        close_data_centre(self.state, data_centre)

    def reopen(self, data_centre: str) -> None:
        """Reopen a closed data centre."""
        close_data_centre(self.state, data_centre, value=None)

    async def submit_and_fail_first(self, jobs: list[Job], timeout: float) -> None:
        """Submit jobs; wait until the first has failed and the others are completed."""
        for job in jobs:
            await self.entries[0].submit(job)
        await self.wait_for_state(jobs[0], JobState.FAILED, timeout)
        for job in jobs[1:]:
            await self.wait_for_state(job, JobState.COMPLETED, 15.0)

    async def wait_for_state(
        self, job: Job, state: JobState, timeout: float = 10.0
    ) -> None:
        """Wait until any entry reports that a job is in this state.

        :param timeout: limit in seconds.
        :raises AssertionError: no entry reported the state in time.
        """
        deadline = time.monotonic() + timeout
        shown = None
        while time.monotonic() < deadline:
            for entry in self.entries:
                if entry.tasks:
                    shown = await entry.states.find_state(job.job_id)
                    if shown is state:
                        return
            await curio.sleep(0.05)
        raise AssertionError(f"{job.job_id} is {shown}, not {state}")


def close_data_centre(
    state: RowsState, data_centre: str, *, value: bytes | None = b"{}"
) -> None:
    """Write the row that closes a data centre; ``None`` removes the row."""
    write = RowWrite(CLOSURES_TABLE, CLOSURE_PREFIX + data_centre, value)
    state.apply(Transaction((), (write,)))


@asynccontextmanager
async def run_cluster(
    *,
    entries: int = 2,
    agents: int = 2,
    work_s: float = 0.2,
    seed: int = 1,
    features: FeatureSettings = NO_FEATURES,
    row_bytes: int = DEFAULT_ROW_BYTES,
) -> AsyncIterator[JobCluster]:
    """Run a cluster until the end of the block.

    :param work_s: how long a task runs, in seconds.
    :param row_bytes: largest row that the store accepts, bytes.
    """
    state, checker = RowsState(row_bytes=row_bytes), InvariantChecker()
    state.rng.seed(seed)
    addresses = [f"127.0.0.1:{reserve_port()}" for _ in range(entries)]
    cluster = JobCluster(
        state,
        checker,
        [EntryProcess(str(number), state, addresses) for number in range(entries)],
        [
            AgentProcess(
                str(number),
                state,
                addresses,
                MemoryRunner(f"w{number}", checker, work_s, seed + number),
            )
            for number in range(agents)
        ],
    )
    for entry in cluster.entries:
        entry.features = features
    processes = [*cluster.entries, *cluster.agents]
    try:
        for process in processes:
            await process.boot()
        yield cluster
    finally:
        for process in processes:
            await process.kill()


def create_quiet_log() -> EventLog:
    """Return a log that writes to PISTACHIODEAL_TEST_EVENTS, by default nowhere."""
    path = os.environ.get("PISTACHIODEAL_TEST_EVENTS", os.devnull)
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    return EventLog(os.open(path, flags, 0o644), "test")
