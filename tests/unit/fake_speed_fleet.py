"""A fleet whose workers run tasks at given speeds and list them to a leader's state."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import EndedTask, RunningTask, WorkerReport
from tests.standins.job_cluster import create_quiet_log

LISTING_S = 0.4
TICK_S = 0.1
QUEUE = Queue("q", "host", "/q/", "svc", 0, 4, 1.5, 0.0)
SIZE = Resources(1_000, 1_000, 0)
FindSpeed = Callable[[int, float], float]


@dataclass
class Run:
    """A run with its true amount of work, and the pace that its agent allows."""

    task: Task
    work_s: float
    pace: float = 1.0
    done_s: float = 0.0


@dataclass
class SpeedFleet:
    """Simulates listings; ``clock`` is the time that the leader's modules read."""

    workers: int
    find_speed: FindSpeed
    seed: int = 1
    serving: int = 0
    clock: float = 100.0
    runs: dict[int, list[Run]] = field(default_factory=dict)
    silent: set[int] = field(default_factory=set)
    jobs: int = 0

    def __post_init__(self) -> None:
        events = create_quiet_log()
        self.rng = random.Random(self.seed)
        self.registry, self.fleet = JobRegistry(events), Fleet()
        model = InterferenceModel()
        self.speeds = SpeedMonitor(self.registry, model, events, 1.5)
        self.reconciler = Reconciler(
            self.registry, self.fleet, model, events, speeds=self.speeds
        )
        self.attachments = [
            Attachment(f"n{one}", one + 1) for one in range(self.workers)
        ]
        for attachment in self.attachments:
            self.fleet.get(attachment.node).attach(attachment)
        self.ends = [0] * self.workers
        step = Step(self.workers, SIZE, 1.0, lasts=True, image="s", serves_ms=50)
        for _ in range(self.serving):
            for number, task in enumerate(self.add_job(step)):
                self.start(task, number, 1.0)

    def add_job(self, step: Step) -> list[Task]:
        """Add a job of one step; return its tasks."""
        self.jobs += 1
        job = Job(f"{self.jobs:016x}", QUEUE, "", (step,), 0.0)
        self.registry.add(job, 0.0)
        return list(self.registry.records[job.job_id].iterate_tasks())

    def start(
        self, task: Task, worker: int, work_s: float, *, pace: float = 1.0
    ) -> None:
        """Place a task that needs ``work_s`` at the usual speed."""
        place = f"n{worker}/w"
        self.registry.place(task, task.run + 1, place, lambda: None)
        self.attachments[worker].ordered.add((str(task.name), task.run))
        self.runs.setdefault(worker, []).append(Run(task, work_s, pace))

    def add_tasks(self, count: int, work_s: float, *, declared_s: float = 0.0) -> None:
        """Start a job of equal tasks on random workers; 3% of them are stragglers."""
        tasks = self.add_job(Step(count, SIZE, declared_s or work_s))
        for task in tasks:
            straggles = self.rng.random() < 0.03
            factor = self.rng.uniform(2, 7) if straggles else self.rng.uniform(0.9, 1.1)
            self.start(task, self.rng.randrange(self.workers), work_s * factor)

    def run_for(self, duration_s: float) -> Iterator[float]:
        """Let the workers run; yield the time after each tick."""
        for _ in range(round(duration_s / TICK_S)):
            self.clock += TICK_S
            for worker in range(self.workers):
                speed = self.find_speed(worker, self.clock)
                for run in self.runs.get(worker, ()):
                    run.done_s += TICK_S * speed * run.pace
                if int(self.clock / TICK_S + worker) % round(LISTING_S / TICK_S) == 0:
                    self.list_runs(worker)
            self.speeds.refresh(self.fleet, self.clock)
            yield self.clock

    def list_runs(self, worker: int) -> None:
        """Report what a worker runs, and what has ended since the last listing."""
        if worker in self.silent:
            return
        running, ends = [], []
        for run in list(self.runs.get(worker, ())):
            name, lasts = str(run.task.name), run.task.step.lasts
            if run.done_s < run.work_s or lasts:
                percent = 100 if lasts else int(100 * run.done_s / run.work_s)
                figure = self.compute_tail_ms(worker) if lasts else 900
                worked = int(run.pace * 1000)
                running.append(
                    RunningTask(name, run.task.run, "", percent, figure, worked)
                )
                continue
            self.runs[worker].remove(run)
            self.ends[worker] += 1
            ends.append(EndedTask(self.ends[worker], name, run.task.run, "done", ""))
        self.reconciler.apply(
            self.attachments[worker],
            WorkerReport(
                1, 1, "w", (), "svc", True, False, 0, 64_000, 256_000, 0, (),
                tuple(running), tuple(ends), (),
            ),
        )  # fmt: skip

    def compute_tail_ms(self, worker: int) -> int:
        """Return the tail latency of a serving task, by its load and its worker."""
        speed = self.find_speed(worker, self.clock)
        load = 0.45 * (1 + 0.6 * math.sin(self.clock * 2 * math.pi / 14)) / speed
        noise = self.rng.uniform(0.92, 1.08)
        return min(5_000, int(10 / max(0.02, 1 - load) / speed * noise))

    def list_slow(self) -> set[int]:
        """Return the workers that count as slow."""
        states = self.fleet.workers
        return {one for one in range(self.workers) if states[f"n{one}"].speed < 1.0}
