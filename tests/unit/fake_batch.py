"""Entries without their loops and models of agents, on a shared clock."""

from __future__ import annotations

from collections.abc import Sequence

import curio

from pistachiodeal.batch.admission import TaskAdmission
from pistachiodeal.batch.attempt_ends import AttemptEndHandler
from pistachiodeal.batch.service import BatchService, create_batch_service
from pistachiodeal.config.common import StoreSettings
from pistachiodeal.config.entry import BatchSettings, EntrySettings
from pistachiodeal.exceptions import LinkClosedError
from pistachiodeal.metrics import MemoryMetrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import CommitResult, Row, Write
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import Message, Report
from pistachiodeal.wire.task_messages import (
    UNKNOWN_RUN,
    Renew,
    Start,
    StartRefused,
    Stop,
    TaskAck,
    TaskEnded,
    TaskRef,
)
from tests.unit.fake_table import FakeTable
from tests.unit.fakes import Clock, FakeObjects

LEASE_S = 30.0
CAPACITY = Resources(4_000, 4_096, 0)
PROFILE = Profile(
    name="batch", latency_critical=False, task_lease_s=LEASE_S, max_attempts=3
)


class Gate:
    """Simulates a frozen process: blocks each await of an entry while it is frozen."""

    def __init__(self) -> None:
        self._open = curio.Event()
        self._open._set = True

    @property
    def frozen(self) -> bool:
        return not self._open.is_set()

    def freeze(self) -> None:
        self._open.clear()

    async def thaw(self) -> None:
        await self._open.set()

    async def wait(self) -> None:
        await self._open.wait()


class GatedTable:
    """An entry's access to the table; the gate blocks before and after each call."""

    def __init__(self, table: FakeTable, gate: Gate) -> None:
        self._table = table
        self._gate = gate

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        await self._gate.wait()
        try:
            return await self._table.commit(writes)
        finally:
            await self._gate.wait()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        await self._gate.wait()
        rows = await self._table.read(keys)
        await self._gate.wait()
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await self._gate.wait()
        rows = await self._table.scan(prefix, after, limit)
        await self._gate.wait()
        return rows


class Entry:
    """An entry whose rounds are driven by the test."""

    def __init__(
        self,
        name: str,
        table: FakeTable,
        objects: FakeObjects,
        clock: Clock,
        incarnation: int = 1,
        **batch: float,
    ) -> None:
        self.name = name
        self.gate = Gate()
        self.profiles = {PROFILE.name: PROFILE}
        self.newer_profiles: dict[str, Profile] = {}
        settings = EntrySettings(
            node=name,
            data_centre="dc1",
            secret="s" * 16,
            operator_token="t" * 16,
            store=StoreSettings(table="127.0.0.1:1", objects="127.0.0.1:2", group_s=0),
            batch=BatchSettings(**{"partitions": 2, "snapshot_rows": 4, **batch}),
        )
        self.service: BatchService = create_batch_service(
            settings,
            Identity("entry", name, incarnation, "dc1"),
            f"127.0.0.1:{len(name)}",
            "127.0.0.1:80",
            GatedTable(table, self.gate),
            objects,
            self.profiles.get,
            MemoryMetrics(),
            clock,
            refresh_profiles=self.refresh_profiles,
        )
        self.manager = self.service._partition_manager
        self.placement_loop = self.service._placement_loop
        self.context = self.service._context
        self.admission = TaskAdmission(self.context)
        self.end_handler = AttemptEndHandler(self.context)

    async def refresh_profiles(self) -> None:
        self.profiles.update(self.newer_profiles)

    def server(self, task_id: str):
        return self.service._find_server(task_id)


class Run:
    def __init__(self, start: Start, lease_until: float) -> None:
        self.start = start
        self.lease_until = lease_until


class Agent:
    """Model of an agent and its worker, with leases, epochs and barred attempts."""

    def __init__(self, worker: str, clock: Clock) -> None:
        self.worker = worker
        self.clock = clock
        self.runs: dict[str, Run] = {}
        self.ended: dict[tuple[str, int], TaskEnded] = {}
        self.barred: set[tuple[str, int]] = set()
        self.epochs: dict[int, int] = {}
        self.beats: dict[int, tuple[float, set[tuple[str, int]]]] = {}
        self.beat = 0
        self.started: list[tuple[str, int]] = []

    def expire(self) -> None:
        """End the runs whose lease has expired, as a worker does by itself."""
        for task_id, run in list(self.runs.items()):
            if self.clock() >= run.lease_until:
                self.end(task_id, "expired")

    def end(self, task_id: str, state: str, result: str = "") -> None:
        start = self.runs.pop(task_id).start
        key = (task_id, start.attempt)
        self.barred.add(key)
        self.ended[key] = TaskEnded(*key, state, result, "", Resources(), 1_000)

    def report(self, partitions: set[int]) -> Report:
        """Return the next report, which names the runs of these partitions."""
        self.expire()
        self.beat += 1
        free = CAPACITY
        for run in self.runs.values():
            free = free - run.start.size
        refs = tuple(
            TaskRef(task_id, run.start.attempt, run.start.epoch)
            for task_id, run in self.runs.items()
            if run.start.partition in partitions
        )
        names = {(ref.task_id, ref.attempt) for ref in refs}
        self.beats[self.beat] = (self.clock(), names)
        return Report(self.beat, False, CAPACITY, free, (), refs)

    def receive(self, message: Message) -> list[Message]:
        """Handle a message from an owner; return the replies."""
        self.expire()
        if isinstance(message, Start):
            return self._start(message)
        if isinstance(message, Renew):
            self._renew(message)
        if isinstance(message, Stop):
            return self._stop(message)
        if isinstance(message, TaskAck):
            self.ended.pop((message.task_id, message.attempt), None)
        return []

    def _start(self, start: Start) -> list[Message]:
        key = (start.task_id, start.attempt)
        stale = start.epoch < self.epochs.get(start.partition, 0)
        sent_at, _ = self.beats.get(start.beat, (float("-inf"), set()))
        until = sent_at + start.lease_ms / 1000
        busy = start.task_id in self.runs
        if stale or key in self.barred or busy or self.clock() >= until:
            if busy and self.runs[start.task_id].start.attempt == start.attempt:
                return []
            self.barred.add(key)
            return [StartRefused(*key, "refused", "")]
        self.epochs[start.partition] = start.epoch
        self.runs[start.task_id] = Run(start, until)
        self.started.append(key)
        return []

    def _renew(self, renew: Renew) -> None:
        sent_at, names = self.beats.get(renew.beat, (float("-inf"), set()))
        for grant in renew.grants:
            if grant.epoch < self.epochs.get(grant.partition, 0):
                continue
            self.epochs[grant.partition] = grant.epoch
            for task_id, run in self.runs.items():
                named = (task_id, run.start.attempt) in names
                if named and run.start.partition == grant.partition:
                    until = sent_at + grant.lease_ms / 1000
                    run.lease_until = max(run.lease_until, until)

    def _stop(self, stop: Stop) -> list[Message]:
        key = (stop.task_id, stop.attempt)
        if stop.epoch < self.epochs.get(stop.partition, 0):
            return []
        self.epochs[stop.partition] = stop.epoch
        run = self.runs.get(stop.task_id)
        if run is not None and run.start.attempt == stop.attempt:
            self.end(stop.task_id, "stopped")
        if key not in self.ended:
            self.barred.add(key)
            self.ended[key] = TaskEnded(*key, UNKNOWN_RUN, "", "", Resources(), 0)
        return [self.ended[key]]


class Session:
    """A link from an agent to an entry; messages are queued until delivered."""

    def __init__(self, agent: Agent, gate: Gate) -> None:
        self.agent = agent
        self.gate = gate
        self.closed = False
        self.to_agent: list[Message] = []
        self.node = f"agent-{agent.worker}"
        self.worker = agent.worker
        self.data_centre = "dc1"
        self.rack = f"rack-{agent.worker}"
        self.incarnation = 1
        self.report: Report | None = None

    async def send(self, message: Message) -> None:
        await self.gate.wait()
        if self.closed:
            raise LinkClosedError("closed")
        self.to_agent.append(message)


async def settle() -> None:
    """Let all curio tasks run until they block."""
    for _ in range(60):
        await curio.sleep(0)
