"""A round of the leader's decisions on the users' platform, in this process."""

from __future__ import annotations

import os
import random
import time

from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import watch_cpu
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel

# Per worker: a third of a serving job of 14 tasks, and half a filling job of 20, which
# is what a burst on the deployments we know comes to.
WORKERS = (74, 148, 296, 592)
WORKERS_A_SERVING_JOB = 3
WORKERS_A_FILLING_JOB = 2
FULL_ROUNDS = 10
SERVICE = "svc"
SERVING = Queue("serving", "host", "/s/", SERVICE, 0, 2, 2.2, 2.5)
FILLING = Queue("filling", "host", "/f/", SERVICE, 2, 4, 2.0, 1.0)


def measure_rounds() -> list[Slope]:
    """Measure the round that meets a burst, and rounds in which nothing fits."""
    burst, full = [], []
    for workers in WORKERS:
        planner = _build_planner(workers)
        with watch_cpu() as spent:
            planner.plan()
        burst.append((float(workers), 1000 * spent.cpu_s))
        with watch_cpu() as spent:
            for _ in range(FULL_ROUNDS):
                planner.plan()
        full.append((float(workers), 1000 * spent.cpu_s / FULL_ROUNDS))
    return [
        fit_line("cpu of the leader's round, burst", "worker", "ms", burst),
        fit_line("cpu of the leader's round, nothing fits", "worker", "ms", full),
    ]


def _build_planner(workers: int) -> Planner:
    events = EventLog(os.open(os.devnull, os.O_WRONLY), "bench")
    book, fleet, model = JobBook(events), Fleet(), InterferenceModel()
    reconciler = Reconciler(book, fleet, model, events)
    planner = Planner(
        book, fleet, reconciler, model, lambda queue: queue, events=events
    )
    for number in range(workers):
        worker = fleet.get(f"n{number}")
        worker.attach(Attachment(worker.node, 1))
        worker.worker, worker.service, worker.listed = "w", SERVICE, True
        worker.capacity = Resources(16_000, 64_000, 0)
        worker.labels = ("a", f"r{number // 8}")
    _add_jobs(book, SERVING, workers // WORKERS_A_SERVING_JOB)
    planner.plan()
    _add_jobs(book, FILLING, workers // WORKERS_A_FILLING_JOB)
    return planner


def _add_jobs(book: JobBook, queue: Queue, count: int) -> None:
    dice = random.Random(3)
    now = time.time()
    for number in range(count):
        if queue is SERVING:
            size = Resources(3_200, 6_400, 0)
            image = f"s{number % 5}"
            step = Step(14, size, 0.3, lasts=True, image=image, serves_ms=50)
        else:
            size = Resources(dice.randrange(1_000, 2_500), 3_200, 0)
            step = Step(20, size, 2.2, image=f"f{number % 9}", fills=True)
        job_id = f"{queue.priority}{number:015x}"
        book.add(Job(job_id, queue, "text", (step,), now), now)
