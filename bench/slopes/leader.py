"""Cost of the leader: planning rounds and workers' reports."""

from __future__ import annotations

import os
import random
import time

from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import measure_cpu
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.codec import LENGTH_BYTES, decode_message, encode_message
from pistachiodeal.wire.job_messages import Label, RunningTask, WorkerReport

# Per worker a third of a serving job of 14 tasks and half a filling job of 20 tasks,
# which is the load of a burst on the known deployments.
WORKERS = (74, 148, 296, 592)
WORKERS_PER_SERVING_JOB = 3
WORKERS_PER_FILLING_JOB = 2
FULL_ROUNDS = 10
# About this share of 160 workers reports between two rounds.
CHANGED_SHARE = 1 / 20
RUNS = (4, 8, 16, 32)
REPORTS = 300
SERVICE = "svc"
SERVING = Queue("serving", "host", "/s/", SERVICE, 0, 2, 2.2, 2.5)
FILLING = Queue("filling", "host", "/f/", SERVICE, 2, 4, 2.0, 1.0)


def measure_rounds() -> list[Slope]:
    """Measure the rounds that place a burst, and rounds in which nothing fits."""
    burst, full, changed = [], [], []
    for workers in WORKERS:
        planner, fleet = _build_planner(workers)
        with measure_cpu() as spent:
            _plan_all(planner)
        burst.append((float(workers), 1000 * spent.cpu_s))
        # The next rounds check the placed tasks once more.
        _plan_all(planner)
        with measure_cpu() as spent:
            for _ in range(FULL_ROUNDS):
                planner.plan()
        full.append((float(workers), 1000 * spent.cpu_s / FULL_ROUNDS))
        states = list(fleet.workers.values())
        with measure_cpu() as spent:
            for number in range(FULL_ROUNDS):
                for state in states[number :: int(1 / CHANGED_SHARE)]:
                    state.generation += 1
                planner.plan()
        changed.append((float(workers), 1000 * spent.cpu_s / FULL_ROUNDS))
    return [
        fit_line("cpu of the leader's rounds, a burst", "worker", "ms", burst),
        fit_line("cpu of the leader's round, nothing fits", "worker", "ms", full),
        fit_line("the same, a twentieth has reported", "worker", "ms", changed),
    ]


def measure_reports() -> list[Slope]:
    """Measure the handling of one report, from the frame to the answer."""
    points = []
    for runs in RUNS:
        reconciler, attachment, frame = _build_report(runs)
        with measure_cpu() as spent:
            for _ in range(REPORTS):
                report = decode_message(frame, packed=True)
                assert isinstance(report, WorkerReport)
                reconciler.apply(attachment, report)
                encode_message(attachment.build_directive(1, "w", 0, 10_000, 5_000))
        points.append((float(runs), 1000 * spent.cpu_s / REPORTS))
    return [fit_line("cpu of the leader for a report", "run", "ms", points)]


def _build_report(runs: int) -> tuple[Reconciler, Attachment, bytes]:
    """Return a leader's reconciler, a worker's link and the worker's encoded report."""
    events = EventLog(os.open(os.devnull, os.O_WRONLY), "bench")
    registry, fleet, model = JobRegistry(events), Fleet(), InterferenceModel()
    reconciler = Reconciler(registry, fleet, model, events)
    attachment = Attachment("n0", 1)
    fleet.get("n0").attach(attachment)
    now = time.time()
    step = Step(runs, Resources(1_000, 1_000, 0), 60.0, image="f", fills=True)
    job_id = f"{0:016x}"
    registry.add(Job(job_id, FILLING, "text", (step,), now), now)
    running = []
    for index, task in enumerate(registry.records[job_id].iterate_tasks()):
        registry.place(task, 1, "n0/w", lambda: None)
        running.append(RunningTask(f"{job_id}.0.0.{index}", 1, "c" * 16, 40, 900, 950))
    for record, _ in registry.begin_writes(1):
        registry.finish_write(record.job_id)
    labels = (Label("a"), Label("r1"))
    report = WorkerReport(
        1, 1, "w", (), SERVICE, True, False, 0, 16_000, 64_000, 0,
        labels, tuple(running), (), (),
    )  # fmt: skip
    return reconciler, attachment, encode_message(report)[LENGTH_BYTES:]


def _plan_all(planner: Planner) -> None:
    while not planner.plan():
        pass


def _build_planner(workers: int) -> tuple[Planner, Fleet]:
    events = EventLog(os.open(os.devnull, os.O_WRONLY), "bench")
    registry, fleet, model = JobRegistry(events), Fleet(), InterferenceModel()
    reconciler = Reconciler(registry, fleet, model, events)
    planner = Planner(
        registry,
        fleet,
        reconciler,
        model,
        lambda queue: queue,
        limits=LimitSettings(),
        events=events,
    )
    for number in range(workers):
        worker = fleet.get(f"n{number}")
        worker.attach(Attachment(worker.node, 1))
        worker.worker, worker.service, worker.listed = "w", SERVICE, True
        worker.capacity = Resources(16_000, 64_000, 0)
        worker.labels = ("a", f"r{number // 8}")
    _add_jobs(registry, SERVING, workers // WORKERS_PER_SERVING_JOB)
    _plan_all(planner)
    _add_jobs(registry, FILLING, workers // WORKERS_PER_FILLING_JOB)
    return planner, fleet


def _add_jobs(registry: JobRegistry, queue: Queue, count: int) -> None:
    rng = random.Random(3)
    now = time.time()
    for number in range(count):
        if queue is SERVING:
            size = Resources(3_200, 6_400, 0)
            image = f"s{number % 5}"
            step = Step(14, size, 0.3, lasts=True, image=image, serves_ms=50)
        else:
            size = Resources(rng.randrange(1_000, 2_500), 3_200, 0)
            step = Step(20, size, 2.2, image=f"f{number % 9}", fills=True)
        job_id = f"{queue.priority}{number:015x}"
        registry.add(Job(job_id, queue, "text", (step,), now), now)
