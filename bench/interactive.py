"""Simulated requests through entries that use the product's routing code."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

import numpy as np

from bench.fakes import FakeRunner, FakeWorker
from bench.policies import Policy
from bench.shapes import DATA_CENTRES, SLOTS, Service
from pistachiodeal.routing.budget import RetryBudget
from pistachiodeal.routing.candidate import Candidate
from pistachiodeal.routing.choice import (
    Chooser,
    create_least_connections,
    create_least_loaded,
    create_random,
)

LINK_TIMEOUT_S = 2.0  # until an entry drops the link of a lost worker
CROSS_DATA_CENTRE_S = 0.0005  # one way between data centres
RETRY_SHARE = 0.1
ATTEMPTS = 3


@dataclass(slots=True)
class ServiceCounts:
    """Outcomes of a service's requests."""

    times: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    lost: int = 0
    late: int = 0
    avoidable: int = 0  # refused after a wait that was too long from the start


@dataclass(slots=True)
class _Entry:
    """One entry's view of the workers, for one service."""

    data_centre: str
    chooser: Chooser
    budget: RetryBudget
    targets: dict[str, Candidate] = field(default_factory=dict)


class ServiceSimulation:
    """Simulates the requests of one service through three entries."""

    def __init__(
        self,
        policy: Policy,
        service: Service,
        workers: list[FakeWorker],
        rng: np.random.Generator,
    ) -> None:
        self._service = service
        self._rng = rng
        self._now = 0.0
        self._workers = {w.name: w for w in workers if service.name in w.runners}
        self._lost_at: dict[str, float] = {}
        self._open: list[tuple[float, int, Candidate]] = []
        self._sequence = 0
        self.counts = ServiceCounts()
        self._entries = [
            _Entry(f"dc-{n}", _create_chooser(policy, n, rng), self._create_budget())
            for n in range(DATA_CENTRES)
        ]

    def report(self, now: float) -> None:
        """Deliver the agents' reports to the entries; a lost worker sends none."""
        self._now = now
        for name, worker in self._workers.items():
            if not worker.alive:
                silent_s = now - self._lost_at.setdefault(name, now)
                if silent_s >= LINK_TIMEOUT_S:
                    for entry in self._entries:
                        entry.targets.pop(name, None)
                continue
            self._lost_at.pop(name, None)
            runner = worker.runners[self._service.name]
            busy, mean_s = runner.busy(now), runner.mean_s
            for entry in self._entries:
                target = entry.targets.get(name)
                if target is None:
                    target = Candidate(name, worker.data_centre)
                    entry.targets[name] = target
                target.apply_report(SLOTS, busy, runner.queued(now), mean_s, now)
                if now < 1.0:
                    target.joined_at = -1e9  # no slow start: the system runs already

    def run_step(self, now: float, step_s: float, load: float) -> None:
        """Send the requests of one step."""
        count = self._rng.poisson(self._service.rate * load * step_s)
        times = now + np.sort(self._rng.random(count)) * step_s
        normals = self._rng.standard_normal(count)
        entries = self._rng.integers(0, DATA_CENTRES, count)
        for at, normal, entry in zip(
            times.tolist(), normals.tolist(), entries.tolist(), strict=True
        ):
            self._now = at
            self._complete_until(at)
            self._send(at, normal, self._entries[entry])

    def _complete_until(self, now: float) -> None:
        while self._open and self._open[0][0] <= now:
            heapq.heappop(self._open)[2].outstanding -= 1

    def _send(self, at: float, normal: float, entry: _Entry) -> None:
        entry.budget.record_request()
        tried: set[str] = set()
        for attempt in range(ATTEMPTS):
            if attempt and not entry.budget.try_spend():
                break
            targets = [t for name, t in entry.targets.items() if name not in tried]
            target = entry.chooser.choose(targets, at)
            if target is None:
                break
            worker = self._workers[target.node]
            if not worker.alive:
                self.counts.lost += 1
                return
            if self._serve(at, normal, entry, target, worker):
                return
            tried.add(target.node)
            target.record_refusal(at, 0.0, self._rng.random())
        self.counts.refused += 1

    def _serve(
        self,
        at: float,
        normal: float,
        entry: _Entry,
        target: Candidate,
        worker: FakeWorker,
    ) -> bool:
        """Pass a request to a worker's agent; return False if it refuses at once."""
        runner: FakeRunner = worker.runners[self._service.name]
        promised_s = self._service.promised_s
        if runner.estimate_wait(at) > promised_s:
            return False
        if runner.wait(at) > promised_s:
            # The agent refuses the request too, but only after it has waited.
            self.counts.refused += 1
            self.counts.avoidable += 1
            return True
        end = runner.serve(at, normal)
        network_s = (
            0.0 if target.data_centre == entry.data_centre else 2 * CROSS_DATA_CENTRE_S
        )
        latency_s = end - at + network_s
        target.outstanding += 1
        target.record_answer()
        self._sequence += 1
        heapq.heappush(self._open, (end, self._sequence, target))
        self.counts.times.append(at)
        self.counts.latencies.append(latency_s)
        if latency_s > promised_s:
            self.counts.late += 1
        return True

    def _create_budget(self) -> RetryBudget:
        return RetryBudget(RETRY_SHARE, lambda: self._now)


def _create_chooser(policy: Policy, number: int, rng: np.random.Generator) -> Chooser:
    source = random.Random(int(rng.integers(2**31)))
    if policy.routing == "random":
        return create_random(source)
    if policy.routing == "least-connections":
        return create_least_connections(source)
    return create_least_loaded(f"dc-{number}", source)
