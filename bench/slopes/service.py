"""Runs the real batch service in this process, with agents that end tasks at once."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
import orjson

from bench.slopes.memory import MemoryObjects, MemoryTable
from pistachiodeal.batch.service import BatchService, create_batch_service
from pistachiodeal.config.common import StoreSettings
from pistachiodeal.config.entry import BatchSettings, EntrySettings
from pistachiodeal.exceptions import RequestError
from pistachiodeal.metrics import MemoryMetrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec
from pistachiodeal.web.messages import WebRequest
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import Message, Report
from pistachiodeal.wire.task_messages import Start, TaskAck, TaskEnded

CAPACITY = Resources(10_000_000, 10_000_000, 0)
PROFILE = Profile(name="batch", latency_critical=False)
CALLERS = 2_000
REPORT_S = 0.5
RETRY_S = 0.05
SUBMIT_PERIOD_S = 0.001
URGENT_KIND = "siren"


class Agents:
    """State that the sessions of all fake agents share."""

    def __init__(self, service: BatchService) -> None:
        self.service = service
        self.acknowledged = 0
        self.urgent_starts: dict[str, float] = {}


class Session:
    """An in-memory agent session that answers each start with the task's end."""

    def __init__(self, agents: Agents, number: int) -> None:
        self._agents = agents
        self._beat = 0
        self._inbox = curio.Queue()
        self.node = f"agent-{number}"
        self.worker = f"worker-{number}"
        self.data_centre = "dc1"
        self.rack = f"rack{number % 20}"
        self.incarnation = 1
        self.report: Report | None = None

    async def send(self, message: Message) -> None:
        """Receive a message from the service."""
        if isinstance(message, TaskAck):
            self._agents.acknowledged += 1
        elif isinstance(message, Start):
            if message.kind == URGENT_KIND:
                self._agents.urgent_starts[message.task_id] = time.monotonic()
            await self._inbox.put(message)

    async def run(self) -> None:
        """End each started task at once."""
        while True:
            start = await self._inbox.get()
            ended = TaskEnded(
                start.task_id, start.attempt, "finished", "done", "", Resources(), 500
            )
            await self._agents.service.receive(self, ended)

    async def report_all(self) -> None:
        """Send reports at an agent's rate."""
        while True:
            await self.report_once(CAPACITY)
            await curio.sleep(REPORT_S)

    async def report_once(self, free: Resources) -> None:
        """Send one report."""
        self._beat += 1
        self.report = Report(self._beat, False, CAPACITY, free, (), ())
        await self._agents.service.receive(self, self.report)


def build_service(
    table: MemoryTable,
    objects: MemoryObjects,
    group_s: float = 0.005,
    partitions: int = 4,
) -> BatchService:
    """Return the batch service of an entry."""
    settings = EntrySettings(
        node="e1",
        data_centre="dc1",
        secret="s" * 16,
        operator_token="t" * 16,
        store=StoreSettings(
            table="127.0.0.1:1", objects="127.0.0.1:2", group_s=group_s
        ),
        batch=BatchSettings(partitions=partitions),
    )
    return create_batch_service(
        settings,
        Identity("entry", "e1", 1, "dc1"),
        "127.0.0.1:1",
        "127.0.0.1:2",
        table,
        objects,
        lambda name: PROFILE if name == PROFILE.name else None,
        MemoryMetrics(),
    )


@asynccontextmanager
async def run_service(service: BatchService, workers: int) -> AsyncIterator[Agents]:
    """Run a service with linked agents; yield once all partitions are served."""
    agents = Agents(service)
    tasks = [await curio.spawn(service.run, daemon=True)]
    for number in range(workers):
        session = Session(agents, number)
        service.session_opened(session)
        tasks.append(await curio.spawn(session.run, daemon=True))
        tasks.append(await curio.spawn(session.report_all, daemon=True))
    while not _is_ready(service):
        await curio.sleep(0.05)
    try:
        yield agents
    finally:
        for task in reversed(tasks):
            await task.cancel()


def _is_ready(service: BatchService) -> bool:
    held = service.status()["partitions"].values()
    expected = service._context.settings.batch.partitions
    return sum(p["serving"] and p["authority"] for p in held) == expected


async def submit_all(service: BatchService, count: int) -> None:
    """Submit tasks from up to ``CALLERS`` callers at once."""
    numbers = iter(range(count))

    async def submit_next() -> None:
        for number in numbers:
            await _submit(service, number)

    async with curio.TaskGroup() as group:
        for _ in range(min(CALLERS, count)):
            await group.spawn(submit_next)


async def submit_steadily(service: BatchService, rate: int, seconds: float) -> None:
    """Submit tasks at a fixed rate, each in a coroutine of its own."""
    started, sent = time.monotonic(), 0
    while (now := time.monotonic()) < started + seconds:
        due = int((now - started) * rate)
        for number in range(sent, due):
            await curio.spawn(_submit, service, number, daemon=True)
        sent = due
        await curio.sleep(SUBMIT_PERIOD_S)


async def _submit(service: BatchService, number: int) -> None:
    await submit_task(service, f"k{number}", number)


async def submit_task(
    service: BatchService, key: str, number: int = 0, *, urgent: bool = False
) -> str:
    """Submit a task, retrying on status 503; return its id."""
    spec = build_spec(number)
    body = {
        "kind": URGENT_KIND if urgent else spec.kind,
        "team": spec.team,
        "profile": spec.profile,
        "cpu_milli": 1_000,
        "memory_mib": 1_000,
        "payload": spec.payload,
        "urgent": urgent,
    }
    headers = (("idempotency-key", key),)
    request = WebRequest("POST", "/tasks", headers, orjson.dumps(body))
    while True:
        try:
            answer = await service.handle(request)
        except RequestError as error:
            if error.status != 503:
                raise
            await curio.sleep(RETRY_S)
        else:
            return str(orjson.loads(answer.body)["id"])


def build_spec(number: int) -> TaskSpec:
    """Return a task of ordinary size, with a payload of 100 bytes."""
    size = Resources(1_000, 1_000, 0)
    name, team = f"0000-{number:032x}", f"team-{number % 79}"
    return TaskSpec(name, "press", team, "batch", size, "x" * 100)
