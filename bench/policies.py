"""The ways of deciding that are measured side by side, and the baselines' code."""

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
ALONE = "no-batch"
ORACLE = "oracle"
AIM_SLOWDOWN = 1.1
_EVICT_PAUSE_S = 2.0


@dataclass(frozen=True, slots=True)
class Policy:
    """One row of the table; the fields name what is put in place of our parts."""

    name: str
    routing: str = "least-loaded"
    guard: str = "guard"
    sizes: str = "learnt"
    batch_part: float = 1.0


POLICIES = (
    Policy(ALONE, guard="none", batch_part=0.0),
    Policy(ORACLE, guard="oracle", sizes="true"),
    Policy(OURS),
    Policy("random-routing", routing="random"),
    Policy("least-connections", routing="least-connections"),
    Policy("static-split", guard="none", sizes="declared", batch_part=0.5),
    Policy("no-guard", guard="none"),
    Policy("no-throttle", guard="evict-only"),
    Policy("evict-newest", guard="evict-newest"),
    Policy("declared-sizes", sizes="declared"),
)


class Decider(Protocol):
    """What acts on one worker every half second."""

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return what to do."""


class _Nothing:
    """Leaves batch work alone."""

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return nothing."""
        return []


class _EvictNewest:
    """Evicts the newest task while a service is over the same mark as the guard."""

    def __init__(self, high: float) -> None:
        self._high = high
        self._acted_at = float("-inf")

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return the newest task, at most every few seconds."""
        hot = any(r.latency_s > self._high * r.promised_s for r in readings)
        if not hot or not runs or now < self._acted_at + _EVICT_PAUSE_S:
            return []
        self._acted_at = now
        return [Evict(max(runs, key=lambda run: run.started_at).task_id)]


class _EvictOnly:
    """The guard itself, told by the profile not to throttle."""

    def __init__(self, guard: Guard) -> None:
        self._guard = guard

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Return evictions."""
        untouchable = [replace(reading, throttle_batch=False) for reading in readings]
        actions = self._guard.decide(now, untouchable, runs)
        return [action for action in actions if isinstance(action, Evict)]


class _Oracle:
    """Knows true sizes, true harm and the present, and slows just enough.

    Greedy: the kind that harms the tightest service most for each core goes down
    by a tenth until all services are within the aim. Its placement is ours.
    """

    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker

    def decide(
        self, now: float, readings: list[ServiceReading], runs: list[RunView]
    ) -> list[Throttle | Evict]:
        """Set throttles outright, from the truth of this moment."""
        worker = self._worker
        for task in worker.tasks.values():
            task.share = 1.0
        while worker.tasks:
            shares = worker.shares()
            slowdowns = {s: worker.true_slowdown(s, shares) for s in worker.runners}
            worst = max(slowdowns, key=lambda name: slowdowns[name])
            if slowdowns[worst] <= AIM_SLOWDOWN:
                break
            able = [t for t in worker.tasks.values() if t.share > 0.06]
            if not able:
                break
            kind = max(able, key=lambda t: (worker.harm(t.kind, worst), t.kind.name))
            for task in able:
                if task.kind is kind.kind:
                    task.share = max(0.05, task.share - 0.1)
        return []


@dataclass(slots=True)
class Brain:
    """A worker's decider with what it learns by."""

    decider: Decider
    model: InterferenceModel
    timeline: Timeline


def create_brain(policy: Policy, worker: FakeWorker, settings: GuardSettings) -> Brain:
    """Create what decides for a worker under a policy."""
    model = create_interference_model()
    timeline = create_timeline()
    guard = create_guard(settings, model, timeline)
    deciders: dict[str, Decider] = {
        "none": _Nothing(),
        "guard": guard,
        "evict-only": _EvictOnly(guard),
        "evict-newest": _EvictNewest(settings.high),
        "oracle": _Oracle(worker),
    }
    return Brain(deciders[policy.guard], model, timeline)
