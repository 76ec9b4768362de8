"""The guard loop: the guard's input, and how its actions are carried out."""

from __future__ import annotations

import curio

from pistachiodeal.agent.guard_loop import create_guard_loop
from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.config.common import StatsdSettings
from pistachiodeal.control.views import Evict, Throttle
from pistachiodeal.learning.timeline import create_timeline
from pistachiodeal.metrics import create_metrics
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.store.protocols import RunState, UsageSample
from pistachiodeal.wire.messages import ServiceLoad
from tests.unit.fake_agent_tasks import (
    CAPACITY,
    SIZE,
    TASK,
    Bench,
    build_start,
    run_bench,
)


class FakeStats:
    def list_loads(self) -> tuple[ServiceLoad, ...]:
        return tuple(ServiceLoad(name, 8, 1, 0, 0) for name in ("desk", "idle", "?"))

    def recent_latency(self, service: str) -> float:
        return 0.0 if service == "idle" else 0.15


class FakeGuard:
    def __init__(self, *actions) -> None:
        self.actions = list(actions)
        self.seen: list = []

    def decide(self, now, readings, runs):
        self.seen = [readings, runs]
        return self.actions


def test_guard_gets_services_with_requests_and_its_actions_are_carried_out():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        cache = create_policy_cache()
        profile = Profile(name="counter", promised_ms=200)
        cache.apply([ServicePolicy(name, 1, profile) for name in ("desk", "idle")])
        guard, timeline = FakeGuard(Throttle(TASK, 0.5)), create_timeline()
        guard_loop = create_guard_loop(
            bench.manager,
            FakeStats(),
            guard,  # type: ignore[arg-type]
            timeline,
            cache,
            settings=GuardSettings(),
            metrics=create_metrics(StatsdSettings()),
            clock=lambda: bench.now,
        )
        await guard_loop.run_once()
        await bench.settle()
        (reading,), (view,) = guard.seen
        assert (reading.service, reading.promised_s) == ("desk", 0.2)
        assert timeline.at(bench.now) == {"k": SIZE.cpu_milli / CAPACITY.cpu_milli}
        assert (view.share, bench.manager.runs()[0].share) == (1.0, 0.5)
        guard.actions = [Evict(TASK)]
        await guard_loop.run_once()
        await bench.settle()
        assert bench.runtime.runs[(TASK, 1)].state is RunState.STOPPED

    run_bench(case)


def test_use_above_the_reserved_size_is_counted():
    """Guards against a worker that swaps although its ledger shows free memory.

    A task uses far more than its declared size; the measured use has to count.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        used = Resources(100, 7000, 0)
        stale = UsageSample(TASK, bench.now - 1, CAPACITY)
        bench.manager._watcher.apply_usage([stale, UsageSample(TASK, bench.now, used)])
        assert bench.manager.room == CAPACITY - used.elementwise_max(SIZE)
        await bench.settle(build_start(task_id="0003-b"))
        assert [refused.code for refused in await bench.send()] == ["no_room"]

    run_bench(case)


def test_polling_reports_ends():
    async def case(bench: Bench) -> None:
        worker = await curio.spawn(bench.manager.run)
        await bench.manager.receive(build_start())
        while not bench.runtime.runs:
            await curio.sleep(0)
        bench.runtime.end((TASK, 1), RunState.FINISHED)
        while not bench.sent:
            bench.now += 0.01
            await curio.sleep(0.001)
        await worker.cancel()
        assert bench.sent[0].state == "finished"

    run_bench(case)
