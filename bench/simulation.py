"""Simulates workers and load in virtual time against the product's decision code."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass

import numpy as np

from bench.batch import BatchSimulation
from bench.fakes import FakeWorker
from bench.interactive import ServiceSimulation
from bench.policies import Policy, WorkerController, create_controller
from bench.shapes import Deployment, Shape
from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.views import Evict, RunView, ServiceReading
from pistachiodeal.entry.interference import create_interference_relay
from pistachiodeal.wire.messages import Evidence

STEP_S = 0.5
READING_LAG_S = 1.5  # age of readings when they reach the guard
EVIDENCE_PERIOD_S = 10.0
BIN_S = 5.0
MIN_RUN_S = 10.0
MAX_EVICTIONS = 3


@dataclass(frozen=True, slots=True)
class Case:
    """Everything that one run depends on."""

    policy: Policy
    deployment: Deployment
    shape: Shape
    seed: int
    seconds: float


class Simulation:
    """Runs one case step by step."""

    def __init__(self, case: Case) -> None:
        self._case = case
        deployment = case.deployment
        streams = np.random.SeedSequence(case.seed).spawn(8)
        rngs = [np.random.default_rng(stream) for stream in streams]
        self._workers = [FakeWorker(n, deployment) for n in range(deployment.workers)]
        self._batch = BatchSimulation(
            case.policy, deployment, case.shape, self._workers, rngs[0]
        )
        self._services = {
            service.name: ServiceSimulation(case.policy, service, self._workers, rng)
            for service, rng in zip(deployment.services, rngs[1:], strict=False)
        }
        settings = GuardSettings()
        self._controllers = {
            worker.name: create_controller(case.policy, worker, settings)
            for worker in self._workers
        }
        self._delayed_readings: dict[str, deque[list[ServiceReading]]] = {
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

    def _step(self, fraction: float) -> None:
        now, shape = self._now, self._case.shape
        wave = shape.wave_at(fraction)
        self._set_faults(fraction, wave)
        for worker in self._workers:
            if worker.alive:
                self._batch.advance(worker, now, STEP_S)
        if not shape.store_outage.contains(fraction):
            self._batch.place(now, wave)
        for simulation in self._services.values():
            simulation.report(now)
            simulation.run_step(now, STEP_S, shape.load_at(fraction))
        for worker in self._workers:
            if worker.alive:
                self._decide(worker, store_outage=shape.store_outage.contains(fraction))
        if now % EVIDENCE_PERIOD_S == 0:
            self._exchange_evidence()

    def _set_faults(self, fraction: float, wave: bool) -> None:
        lost = self._case.shape.rack_lost.contains(fraction)
        noisy = self._case.deployment.kinds[0].name if wave else ""
        for worker in self._workers:
            worker.noisy_kind = noisy
            if worker.rack != "rack-0":
                continue
            if lost and worker.alive:
                self._batch.fail_worker(worker, self._now)
                worker.alive = False
            elif not lost and not worker.alive:
                worker.alive = True
                self._delayed_readings[worker.name].clear()
                settings = GuardSettings()
                controller = create_controller(self._case.policy, worker, settings)
                self._controllers[worker.name] = controller

    def _decide(self, worker: FakeWorker, store_outage: bool) -> None:
        """Pass delayed readings to the decider, and carry out its actions."""
        end = self._now + STEP_S
        controller = self._controllers[worker.name]
        controller.timeline.record(self._now, _compute_kind_shares(worker))
        delayed = self._delayed_readings[worker.name]
        delayed.append(self._read_services(worker, end))
        is_available = len(delayed) * STEP_S > READING_LAG_S
        readings = delayed.popleft() if is_available else []
        for action in controller.decider.decide(
            end, readings, _build_run_views(worker)
        ):
            if not isinstance(action, Evict):
                worker.tasks[action.task_id].share = action.share
                self._batch.counts.throttles += 1
            elif not store_outage:  # no checkpoint can be stored
                self._batch.evict(worker, action.task_id)

    def _read_services(self, worker: FakeWorker, at: float) -> list[ServiceReading]:
        readings = []
        for name, runner in worker.runners.items():
            latency_s, service_s = runner.measure(at)
            promised_s = runner.service.promised_s
            reading = ServiceReading(
                name, at, latency_s, promised_s, True, True, service_s
            )
            readings.append(reading)
        return readings

    def _exchange_evidence(self) -> None:
        alive = [worker.name for worker in self._workers if worker.alive]
        for name in alive:
            pairs = self._controllers[name].model.drain_measurements()
            if pairs:
                self._relay.accept(name, Evidence(pairs))
        for name in alive:
            evidence = self._relay.build_for(name)
            if evidence is not None:
                self._merge_evidence(self._controllers[name], evidence)
        self._relay.end_round()

    def _merge_evidence(self, controller: WorkerController, evidence: Evidence) -> None:
        controller.model.merge(evidence.pairs, self._now)

    def _summarise(self) -> dict[str, object]:
        over_memory_s = sum(worker.over_memory_s for worker in self._workers)
        return {
            "policy": self._case.policy.name,
            "deployment": self._case.deployment.name,
            "shape": self._case.shape.name,
            "seed": self._case.seed,
            "batch": {**asdict(self._batch.counts), "over_memory_s": over_memory_s},
            "services": {
                name: _summarise_service(simulation, self._case.seconds)
                for name, simulation in self._services.items()
            },
        }


def _compute_kind_shares(worker: FakeWorker) -> dict[str, float]:
    """Return the measured CPU share of each kind, bounded by its throttle."""
    shares: dict[str, float] = {}
    for task in worker.tasks.values():
        bound = task.reserved.cpu_milli * task.share
        fraction = min(bound, task.cores * 1000) / worker.capacity.cpu_milli
        shares[task.kind.name] = shares.get(task.kind.name, 0.0) + fraction
    return shares


def _build_run_views(worker: FakeWorker) -> list[RunView]:
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


def _summarise_service(
    simulation: ServiceSimulation, seconds: float
) -> dict[str, object]:
    counts = simulation.counts
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
    """Run one case; the same case always gives the same figures."""
    return Simulation(case).run()
