"""Fakes of the worker and of the route to owners, with a task manager between."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import Any

import curio

from pistachiodeal.agent.tasks import create_task_manager
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.common import StatsdSettings
from pistachiodeal.exceptions import (
    WorkerError,
    WorkerFencedError,
    WorkerRefusedError,
)
from pistachiodeal.metrics import create_metrics
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.store.protocols import Run, RunRequest, RunState
from pistachiodeal.wire.task_messages import Start, Stop, TaskAck
from tests.unit.fakes import FakeObjects

CAPACITY = Resources(8000, 8000, 0)
SIZE = Resources(3000, 3000, 0)
TASK = "0003-a"
CANCEL = Stop(TASK, 1, 3, 5, evict=False)
ADDRESS = "127.0.0.1:1"
NAMES = dict.fromkeys(("node", "worker", "data_centre", "rack"), "x")
SETTINGS = AgentSettings(
    **NAMES,
    secret="0123456789abcdef",
    entries=[ADDRESS],
    runtime={"worker": ADDRESS, "objects": ADDRESS, "poll_s": 0.01},
)
ERRORS = {
    "before": WorkerError,
    "refused": WorkerRefusedError,
    "fenced": WorkerFencedError,
}


class FakeRuntime:
    """A worker runtime with injected faults by operation.

    A fault is an error raised ``before`` or ``after`` the effect, an effect that is
    ``late``, or the worker's answer ``refused`` or ``fenced``.
    """

    def __init__(self) -> None:
        self.runs: dict[tuple[str, int], Run] = {}
        self.leases: dict[tuple[str, int], float] = {}
        self.calls: list[str] = []
        self.faults: dict[str, list[str]] = defaultdict(list)
        self.gates: dict[str, curio.Event] = {}
        self.blocked: list[tuple[str, curio.Event]] | None = None
        self.late: list[Any] = []

    async def _call(self, name: str, effect: Any) -> Any:
        self.calls.append(name)
        if name in self.gates:
            await self.gates[name].wait()
        if self.blocked is not None:
            self.blocked.append((name, gate := curio.Event()))
            await gate.wait()
        fault = self.faults[name].pop(0) if self.faults[name] else ""
        if fault in ERRORS:
            raise ERRORS[fault](name)
        if fault == "late":
            self.late.append(effect)
        result = None if fault == "late" else effect()
        if fault:
            raise WorkerError("answer lost")
        return result

    async def attach(self) -> Resources:
        return await self._call("attach", lambda: CAPACITY)

    async def start(self, run: RunRequest, tag: str) -> None:
        key = (run.task_id, run.attempt)
        started = Run(*key, run.kind, run.size, RunState.RUNNING, tag=tag)

        def effect() -> None:
            self.runs.setdefault(key, started)
            self.leases.setdefault(key, run.lease_until)

        await self._call("start", effect)

    async def renew(self, leases: dict[str, float]) -> None:
        def effect() -> None:
            for key in self.leases:
                self.leases[key] = max(self.leases[key], leases.get(key[0], 0))

        await self._call("renew", effect)

    async def checkpoint(self, task_id: str) -> bytes:
        return await self._call("checkpoint", lambda: b"state")

    async def throttle(self, task_id: str, share: float) -> None:
        await self._call("throttle", lambda: None)

    async def stop(self, task_id: str) -> Run:
        def effect() -> Run:
            keys = [key for key in self.runs if key[0] == task_id]
            if not keys:
                raise WorkerRefusedError("unknown_run")
            if self.runs[max(keys)].state is RunState.RUNNING:
                self.end(max(keys), RunState.STOPPED)
            return self.runs[max(keys)]

        return await self._call("stop", effect)

    async def list(self) -> list[Run]:
        runs = list(self.runs.values())
        return await self._call("list", lambda: runs)

    async def forget(self, task_id: str, attempt: int) -> None:
        await self._call("forget", lambda: self.runs.pop((task_id, attempt), None))

    def end(self, key: tuple[str, int], state: RunState) -> None:
        self.runs[key] = replace(self.runs[key], state=state, result=str(state))


class Bench:
    """A task manager between fakes, driven by the test; also the route to owners."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.runtime = FakeRuntime()
        self.objects = FakeObjects()
        self.sent: list[Any] = []
        self.linked = True
        self.acknowledges = False
        self.create_manager()

    def create_manager(self) -> None:
        self.manager = create_task_manager(
            self.runtime,  # type: ignore[arg-type]
            self.objects,
            self,
            create_policy_cache(),
            settings=SETTINGS,
            metrics=create_metrics(StatsdSettings()),
            clock=lambda: self.now,
        )

    async def attach(self) -> None:
        await self.manager.attach()
        self.now += SETTINGS.announce.expiry_s
        self.manager.record_beat(1, self.now)

    async def send_to_owner(self, partition: int, message: Any) -> bool:
        if self.linked:
            self.sent.append(message)
        if self.acknowledges:
            await self.manager.receive(TaskAck(message.task_id, message.attempt))
        return self.linked

    async def settle(self, *messages: Any) -> None:
        """Receive messages, and run all actions that they cause."""
        for message in messages:
            await self.manager.receive(message)
        pool = await curio.spawn(self.manager._executor.run_actions)
        while self.manager._executor._waiting and not pool.terminated:
            await curio.sleep(0)
        if pool.terminated:
            raise pool.exception
        await pool.cancel()

    async def check(self) -> None:
        """Poll the runs a moment later, and run all actions that this causes."""
        self.now += 0.01
        await self.manager._watcher.check_runs()
        await self.settle()

    async def send(self, later: float = 0) -> list[Any]:
        """Send the due messages, and return them."""
        self.now += later
        self.sent.clear()
        await self.manager._outbox.send_due()
        return list(self.sent)


def run_bench(case: Any) -> None:
    """Run a test with a task manager that is attached and accepts tasks."""

    async def main() -> None:
        bench = Bench()
        await bench.attach()
        await case(bench)

    curio.run(main)


def build_start(**changes: Any) -> Start:
    """Return a Start in partition 3 at epoch 5."""
    start = Start(TASK, 1, 3, 5, 1, 60_000, "k", "p", SIZE, "{}", "", 0, 0)
    return replace(start, **changes)
