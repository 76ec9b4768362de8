"""Control loop that runs the guard periodically and carries out its actions."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import curio

from pistachiodeal.agent.run_records import Phase, RunRecord
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.guard import Guard
from pistachiodeal.control.views import Evict, RunView, ServiceReading, Throttle
from pistachiodeal.learning.timeline import Timeline
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.wire.messages import ServiceLoad

MICROS = 1_000_000


class ServiceStats(Protocol):
    """Recent load and latency of the services on this worker."""

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that has runners on this worker."""

    def recent_latency(self, service: str) -> float:
        """Return the recent latency at the promised percentile, seconds."""


class TaskControl(Protocol):
    """The operations on tasks that the guard loop needs."""

    @property
    def records(self) -> Iterable[RunRecord]:
        """Return the records of the runs on this worker."""

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""

    def runs(self) -> list[RunView]:
        """Return the running runs as input for the guard."""

    async def throttle(self, task_id: str, share: float) -> None:
        """Limit a run to this share of its size."""

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint."""


class GuardLoop:
    """Passes measurements to the guard and carries out the actions it returns."""

    def __init__(
        self,
        *,
        tasks: TaskControl,
        stats: ServiceStats,
        guard: Guard,
        timeline: Timeline,
        policies: PolicyCache,
        settings: GuardSettings,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._tasks = tasks
        self._stats = stats
        self._guard = guard
        self._timeline = timeline
        self._policies = policies
        self._settings = settings
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Run the guard once per period until cancelled."""
        while True:
            await self.run_once()
            await curio.sleep(self._settings.period_s)

    async def run_once(self) -> None:
        """Record which kinds of task run, call the guard, carry out its actions."""
        now = self._clock()
        shares = sum_kinds(self._tasks.records, self._tasks.capacity)
        self._timeline.record(now, shares)
        readings = self._read_services(now)
        for action in self._guard.decide(now, readings, self._tasks.runs()):
            if isinstance(action, Throttle):
                self._metrics.count("guard.throttle")
                await self._tasks.throttle(action.task_id, action.share)
            elif isinstance(action, Evict):
                self._metrics.count("guard.evict")
                await self._tasks.evict(action.task_id)

    def _read_services(self, now: float) -> list[ServiceReading]:
        """Return a reading of each latency-critical service with recent requests."""
        readings = []
        for load in self._stats.list_loads():
            policy = self._policies.policy(load.service)
            latency_s = self._stats.recent_latency(load.service)
            if policy is None or policy.profile is None or latency_s <= 0:
                continue
            if policy.profile.latency_critical:
                service_s = load.latency_us / MICROS
                readings.append(
                    build_reading(
                        policy.profile, load.service, now, latency_s, service_s
                    )
                )
        return readings


def build_reading(
    profile: Profile, service: str, now: float, latency_s: float, service_s: float
) -> ServiceReading:
    """Return a service's latency together with the bound that its profile promises.

    :param latency_s: latency at the promised percentile, including the wait in
        the queue, seconds.
    :param service_s: mean service time of the runners alone, seconds.
    """
    return ServiceReading(
        service,
        now,
        latency_s,
        profile.promised_ms / 1000,
        profile.throttle_batch,
        profile.evict_batch,
        service_s,
    )


def build_view(record: RunRecord, profile: Profile) -> RunView:
    """Return a run as input for the guard, with the limits from its profile."""
    return RunView(
        record.task_id,
        record.kind,
        record.started_at,
        record.share,
        record.evictions,
        record.min_run_s,
        profile.max_evictions,
        profile.eviction_cost,
        record.size,
    )


def sum_kinds(runs: Iterable[RunRecord], capacity: Resources) -> Mapping[str, float]:
    """Return the share of the worker's processors that each kind of task uses.

    Measured use takes precedence over the reserved size, because declared sizes
    are often wrong.
    """
    shares: dict[str, float] = {}
    for record in runs:
        if record.phase not in (Phase.RUNNING, Phase.STOPPING):
            continue
        reserved = record.size.cpu_milli * record.share
        # Measurements lag. One from before a throttle shows the task's earlier use,
        # and the guard would throttle the same task again.
        used = reserved if record.recent is None else record.recent.cpu_milli
        used = min(used, reserved) if record.share < 1.0 else used
        share = used / max(capacity.cpu_milli, 1)
        shares[record.kind] = shares.get(record.kind, 0.0) + share
    return shares


def create_guard_loop(
    tasks: TaskControl,
    stats: ServiceStats,
    guard: Guard,
    timeline: Timeline,
    policies: PolicyCache,
    *,
    settings: GuardSettings,
    metrics: Metrics,
    clock: Callable[[], float] = time.monotonic,
) -> GuardLoop:
    """Create the guard loop of one worker."""
    return GuardLoop(
        tasks=tasks,
        stats=stats,
        guard=guard,
        timeline=timeline,
        policies=policies,
        settings=settings,
        metrics=metrics,
        clock=clock,
    )
