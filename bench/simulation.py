"""A virtual-time loop: fakes on one side, the real decisions on the other."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass

import numpy as np

from bench.batch import BatchSide
from bench.fakes import FakeWorker
from bench.interactive import ServiceSide
from bench.policies import Brain, Policy, create_brain
from bench.shapes import Deployment, Shape
from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.views import Evict, RunView, ServiceReading
from pistachiodeal.entry.interference import create_interference_relay
from pistachiodeal.wire.messages import Evidence

STEP_S = 0.5
LAG_S = 1.5  # readings are this old when they reach the guard
EXCHANGE_S = 10.0
BIN_S = 5.0
MIN_RUN_S = 10.0
MAX_EVICTIONS = 3


@dataclass(frozen=True, slots=True)
class Case:
    """One run: everything that it depends on."""

    policy: Policy
    deployment: Deployment
    shape: Shape
    seed: int
    seconds: float


class Simulation:
    """State of one run."""

    def __init__(self, case: Case) -> None:
        self._case = case
        deployment = case.deployment
        streams = np.random.SeedSequence(case.seed).spawn(8)
        rngs = [np.random.default_rng(stream) for stream in streams]
        self._workers = [FakeWorker(n, deployment) for n in range(deployment.workers)]
        self._batch = BatchSide(
            case.policy, deployment, case.shape, self._workers, rngs[0]
        )
        self._services = {
            service.name: ServiceSide(case.policy, service, self._workers, rng)
            for service, rng in zip(deployment.services, rngs[1:], strict=False)
        }
        settings = GuardSettings()
        self._brains = {
            worker.name: create_brain(case.policy, worker, settings)
            for worker in self._workers
        }
        self._late: dict[str, deque[list[ServiceReading]]] = {
            worker.name: deque() for worker in self._workers
        }
        self._now = 0.0
        self._relay = create_interference_relay(lambda: self._now)

    def run(self) -> dict[str, object]:
        """Run the script to its end; return the figures."""
        steps = int(self._case.seconds / STEP_S)
        for step in range(steps):
            self._now = step * STEP_S
            self._step(self._now / self._case.seconds)
        self._batch.count_unfinished()
        return self._summarise()

    def _step(self, part: float) -> None:
        now, shape = self._now, self._case.shape
        wave = shape.wave_at(part)
        self._set_faults(part, wave)
        for worker in self._workers:
            if worker.alive:
                self._batch.advance(worker, now, STEP_S)
        if not shape.store_out.holds(part):
            self._batch.place(now, wave)
        for side in self._services.values():
            side.report(now)
            side.run_step(now, STEP_S, shape.load_at(part))
        for worker in self._workers:
            if worker.alive:
                self._decide(worker, store_out=shape.store_out.holds(part))
        if now % EXCHANGE_S == 0:
            self._exchange()

    def _set_faults(self, part: float, wave: bool) -> None:
        lost = self._case.shape.rack_lost.holds(part)
        noisy = self._case.deployment.kinds[0].name if wave else ""
        for worker in self._workers:
            worker.noisy = noisy
            if worker.rack != "rack-0":
                continue
            if lost and worker.alive:
                self._batch.lose(worker, self._now)
                worker.alive = False
            elif not lost and not worker.alive:
                worker.alive = True
                self._late[worker.name].clear()
                settings = GuardSettings()
                brain = create_brain(self._case.policy, worker, settings)
                self._brains[worker.name] = brain

    def _decide(self, worker: FakeWorker, store_out: bool) -> None:
        """Give late readings to what decides, and carry its answer out."""
        end = self._now + STEP_S
        brain = self._brains[worker.name]
        brain.timeline.record(self._now, _note_kinds(worker))
        late = self._late[worker.name]
        late.append(self._read(worker, end))
        known = len(late) * STEP_S > LAG_S
        readings = late.popleft() if known else []
        for action in brain.decider.decide(end, readings, _view_runs(worker)):
            if not isinstance(action, Evict):
                worker.tasks[action.task_id].share = action.share
                self._batch.counts.throttles += 1
            elif not store_out:  # no checkpoint could be stored, so none is evicted
                self._batch.evict(worker, action.task_id)

    def _read(self, worker: FakeWorker, at: float) -> list[ServiceReading]:
        readings = []
        for name, runner in worker.runners.items():
            latency_s, service_s = runner.measure(at)
            promised_s = runner.service.promised_s
            reading = ServiceReading(
                name, at, latency_s, promised_s, True, True, service_s
            )
            readings.append(reading)
        return readings

    def _exchange(self) -> None:
        alive = [worker.name for worker in self._workers if worker.alive]
        for name in alive:
            pairs = self._brains[name].model.drain_measurements()
            if pairs:
                self._relay.accept(name, Evidence(pairs))
        for name in alive:
            evidence = self._relay.build_for(name)
            if evidence is not None:
                self._merge(self._brains[name], evidence)
        self._relay.end_round()

    def _merge(self, brain: Brain, evidence: Evidence) -> None:
        brain.model.merge(evidence.pairs, self._now)

    def _summarise(self) -> dict[str, object]:
        over_memory_s = sum(worker.over_memory_s for worker in self._workers)
        return {
            "policy": self._case.policy.name,
            "deployment": self._case.deployment.name,
            "shape": self._case.shape.name,
            "seed": self._case.seed,
            "batch": {**asdict(self._batch.counts), "over_memory_s": over_memory_s},
            "services": {
                name: _summarise_service(side, self._case.seconds)
                for name, side in self._services.items()
            },
        }


def _note_kinds(worker: FakeWorker) -> dict[str, float]:
    """Return what an agent knows to run: measured use, within the throttle."""
    shares: dict[str, float] = {}
    for task in worker.tasks.values():
        bound = task.reserved.cpu_milli * task.share
        part = min(bound, task.cores * 1000) / worker.capacity.cpu_milli
        shares[task.kind.name] = shares.get(task.kind.name, 0.0) + part
    return shares


def _view_runs(worker: FakeWorker) -> list[RunView]:
    return [
        RunView(
            task.task_id,
            task.kind.name,
            task.started_at,
            task.share,
            task.evictions,
            MIN_RUN_S,
            MAX_EVICTIONS,
            1.0,
            task.reserved,
        )
        for task in worker.tasks.values()
    ]


def _summarise_service(side: ServiceSide, seconds: float) -> dict[str, object]:
    counts = side.counts
    times, latencies = np.array(counts.times), np.array(counts.latencies)
    edges = np.arange(0.0, seconds, BIN_S)
    bins = np.digitize(times, edges) - 1
    tail = []
    for index in range(len(edges)):
        inside = latencies[bins == index]
        tail.append(float(np.percentile(inside, 99)) if len(inside) else 0.0)
    return {
        "requests": len(latencies) + counts.refused + counts.lost,
        "p50_s": float(np.percentile(latencies, 50)),
        "p99_s": float(np.percentile(latencies, 99)),
        "late": counts.late,
        "refused": counts.refused,
        "lost": counts.lost,
        "avoidable": counts.avoidable,
        "tail_s": tail,
    }


def run_case(case: Case) -> dict[str, object]:
    """Run one case; the same case gives the same figures."""
    return Simulation(case).run()
