"""The policies that the benchmark compares, with the code of the baselines."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

from bench.fakes import FakeWorker
from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.guard import Guard, create_guard
from pistachiodeal.control.views import Evict, RunView, ServiceReading, Throttle
from pistachiodeal.learning.interference import (
    InterferenceModel,
    create_interference_model,
)
from pistachiodeal.learning.timeline import Timeline, create_timeline

OURS = "pistachiodeal"
NO_BATCH = "no-batch"
ORACLE = "oracle"
MAX_SLOWDOWN = 1.1
_EVICT_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Policy:
    """One row of the table; the fields choose the implementation of each part."""

    name: str
    routing: str = "least-loaded"
    guard: str = "guard"
    sizes: str = "learnt"
    batch_share: float = 1.0


POLICIES = (
    Policy(NO_BATCH, guard="none", batch_share=0.0),
    Policy(ORACLE, guard="oracle", sizes="true"),
    Policy(OURS),
    Policy("random-routing", routing="random"),
    Policy("least-connections", routing="least-connections"),
    Policy("static-split", guard="none", sizes="declared", batch_share=0.5),
    Policy("no-guard", guard="none"),
    Policy("no-throttle", guard="evict-only"),
    Policy("evict-newest", guard="evict-newest"),
    Policy("declared-sizes", sizes="declared"),
)


class Decider(Protocol):
    """Decides on throttles and evictions of one worker every half second."""

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return the actions to carry out."""


class _NoAction:
    """Takes no action on batch work."""

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return no actions."""
        return []


class _EvictNewest:
    """Evicts the newest task while a service is over the guard's upper threshold."""

    def __init__(self, high: float) -> None:
        self._high = high
        self._acted_at = float("-inf")

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return an eviction of the newest task, at most every ``_EVICT_PAUSE_S``."""
        over_limit = any(r.latency_s > self._high * r.promised_s for r in readings)
        if not over_limit or not runs or now < self._acted_at + _EVICT_PAUSE_S:
            return []
        self._acted_at = now
        return [Evict(max(runs, key=lambda run: run.started_at).task_id)]


class _EvictOnly:
    """The product's guard with throttling disabled by the profile."""

    def __init__(self, guard: Guard) -> None:
        self._guard = guard

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return the guard's evictions."""
        without_throttle = [
            replace(reading, throttle_batch=False) for reading in readings
        ]
        actions = self._guard.decide(now, without_throttle, runs)
        return [action for action in actions if isinstance(action, Evict)]


class _Oracle:
    """Throttles just enough, from true sizes, true harm and the current state.

    Greedy: the kind that harms the slowest service most per core is throttled in
    steps of a tenth until all services are within ``MAX_SLOWDOWN``. Placement is
    that of the product.
    """

    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Set the throttles directly on the tasks; return no actions."""
        worker = self._worker
        for task in worker.tasks.values():
            task.share = 1.0
        while worker.tasks:
            shares = worker.shares()
            slowdowns = {s: worker.true_slowdown(s, shares) for s in worker.runners}
            worst = max(slowdowns, key=lambda name: slowdowns[name])
            if slowdowns[worst] <= MAX_SLOWDOWN:
                break
            throttleable = [t for t in worker.tasks.values() if t.share > 0.06]
            if not throttleable:
                break
            most_harmful = max(
                throttleable, key=lambda t: (worker.harm(t.kind, worst), t.kind.name)
            )
            for task in throttleable:
                if task.kind is most_harmful.kind:
                    task.share = max(0.05, task.share - 0.1)
        return []


@dataclass(slots=True)
class WorkerController:
    """A worker's decider with the state that it learns."""

    decider: Decider
    model: InterferenceModel
    timeline: Timeline


def create_controller(
    policy: Policy, worker: FakeWorker, settings: GuardSettings
) -> WorkerController:
    """Create the controller of a worker under a policy."""
    model = create_interference_model()
    timeline = create_timeline()
    guard = create_guard(settings, model, timeline)
    deciders: dict[str, Decider] = {
        "none": _NoAction(),
        "guard": guard,
        "evict-only": _EvictOnly(guard),
        "evict-newest": _EvictNewest(settings.high),
        "oracle": _Oracle(worker),
    }
    return WorkerController(deciders[policy.guard], model, timeline)
