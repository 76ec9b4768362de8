"""Replays filling jobs beside oscillating serving tasks, in simulated time.

The leader's planner and registry and the agents' pacing decide; workers are those of
``paced_worker``. Nothing is sent or stored.
"""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from pistachiodeal import clock
from pistachiodeal.config.deployment import FeatureSettings, LimitSettings
from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.leader.filling_work import create_filling_work
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.wire.job_messages import EndedTask, Label, RunningTask, WorkerReport
from tests.standins.job_cluster import create_quiet_log
from tests.standins.paced_fleet import draw_estimates, draw_loads
from tests.standins.paced_worker import (
    AIM_MS,
    LOAD_PERIOD_S,
    STEP_S,
    FillingTask,
    PacedWorker,
    ServingTask,
)

QUEUE = Queue("q", "host", "/q/", "svc", 1, 9, 2.0, 1.0)
SERVING = Resources(10_000, 2_000, 0)
FILLING = Resources(2_000, 2_000, 0)
STEPS, STEP_TASKS = 6, 4
PLAN_INTERVAL_S = 0.1
STOP_S = 0.6


class FillingReplay:
    """Some workers with serving tasks, to which filling jobs are submitted."""

    def __init__(self, seed: int, *, forecasts: bool, workers: int = 8) -> None:
        self.rng, self.job_rng = random.Random(seed), random.Random(seed)
        self.now = 1_000.0
        self.events = create_quiet_log()
        self.loads = draw_loads(self.rng, 0.6)
        model = InterferenceModel()
        estimates = draw_estimates(self.loads, self.rng, 0.0)
        model.adopt(PairEstimate(*pair, one, 0.04) for pair, one in estimates.items())
        features = FeatureSettings(load_forecasts=forecasts)
        self.filling = create_filling_work(features, model, self.events)
        self.model, self.registry, self.fleet = (
            model,
            JobRegistry(self.events),
            Fleet(),
        )
        self.reconciler = Reconciler(
            self.registry, self.fleet, model, self.events, filling=self.filling
        )
        self.planner = Planner(
            self.registry,
            self.fleet,
            self.reconciler,
            model,
            lambda queue: queue,
            limits=LimitSettings(),
            events=self.events,
            filling=self.filling,
        )
        self.workers: dict[str, PacedWorker] = {}
        self.names: dict[str, list[str]] = {}
        self.runs: dict[str, tuple[str, int, FillingTask, str, float]] = {}
        self.stops: dict[str, float] = {}
        self.ended: dict[str, list[EndedTask]] = {}
        self.submitted: dict[str, float] = {}
        self.stopped = 0
        self.lost_s = 0.0
        self._next_job = 1
        self._add_workers(workers)

    async def replay(
        self, patch: pytest.MonkeyPatch, length_s: float, every_s: float
    ) -> None:
        """Submit a job every ``every_s`` for a length of time."""
        fake = SimpleNamespace(clock_gettime=lambda _: self.now, CLOCK_BOOTTIME=0)
        patch.setattr(clock, "time", fake)
        until, next_job, next_plan = self.now + length_s, self.now, self.now
        while self.now < until:
            self.now += STEP_S
            if self.now >= next_job:
                next_job += every_s
                self._submit_filling()
            for node, worker in self.workers.items():
                worker.advance(self.now)
                self._end_runs(node, worker)
                if self.now >= worker.next_listing:
                    await worker.list(self.now)
                    self._report(node, worker)
            if self.now >= next_plan:
                next_plan += PLAN_INTERVAL_S
                self.planner.plan()
                self._send_orders()

    def list_ages(self) -> list[float]:
        """Return the ages at which jobs ended, of open ones their age by now."""
        records = self.registry.records
        return [
            (records[job].finished_at or self.now) - at
            for job, at in self.submitted.items()
        ]

    def _add_workers(self, count: int) -> None:
        steps = [
            (number, f"i{number % 3}", self.rng.uniform(0, LOAD_PERIOD_S))
            for number in range(STEPS)
        ]
        jobs = [
            self._submit(
                Step(
                    STEP_TASKS * count // 8,
                    SERVING,
                    0.3,
                    lasts=True,
                    image=image,
                    serves_ms=AIM_MS,
                )
            )
            for _, image, _ in steps
        ]
        tasks = [
            (task, step)
            for step, job in zip(steps, jobs, strict=True)
            for task in self.registry.records[job].iterate_tasks()
        ]
        for number in range(count):
            node = f"n{number}"
            worker = self.fleet.get(node)
            worker.attach(Attachment(node, 1))
            mine = tasks[
                number * len(tasks) // count : (number + 1) * len(tasks) // count
            ]
            for task, _ in mine:
                self.registry.place(task, 1, f"{node}/w", lambda: None)
            self.names[node] = [str(task.name) for task, _ in mine]
            paced = PacedWorker(
                [ServingTask(image, offset) for _, (_, image, offset) in mine],
                self.loads,
                self.rng,
                4.0,
            )
            paced.next_listing = self.now + self.rng.uniform(0, 0.4)
            self.workers[node] = paced
            self.ended[node] = []
        self._write()

    def _submit(self, step: Step) -> str:
        job = Job(f"{self._next_job:016x}", QUEUE, "text", (step,), self.now)
        self._next_job += 1
        self.registry.add(job, self.now)
        return job.job_id

    def _submit_filling(self) -> None:
        step = Step(
            self.job_rng.randint(1, 3),
            FILLING,
            self.job_rng.uniform(1.5, 7.0),
            image=f"f{self.job_rng.randrange(18)}",
            fills=True,
            checkpoints=self.job_rng.random() < 0.5,
        )
        self.submitted[self._submit(step)] = self.now

    def _write(self) -> None:
        for record, callbacks in self.registry.begin_writes(1_000):
            self.registry.finish_write(record.job_id)
            for callback in callbacks:
                callback()

    def _send_orders(self) -> None:
        self._write()
        for node, state in self.fleet.workers.items():
            outbox = state.attachment.outbox
            for order in outbox.starts:
                task = self.registry.find_task(order.task)
                estimate_s = task.step.estimate_s
                work_s = estimate_s - float(order.checkpoint or 0.0)
                worker = self.workers[node]
                known = set(worker.fillings)
                one = worker.start_filling(order.image, work_s, self.now, pinned=True)
                one.cpu_milli = FILLING.cpu_milli
                inner = (set(worker.fillings) - known).pop()
                self.runs[order.task] = (node, order.run, one, inner, estimate_s)
            for ref in outbox.stops:
                self.stops.setdefault(ref.task, self.now + STOP_S)
            outbox.starts.clear()
            outbox.stops.clear()
            for filling, serving in state.attachment.sent_interference:
                press = self.model.get_interference(filling, serving)
                self.workers[node].ledger.presses[filling, serving] = press

    def _end_runs(self, node: str, worker: PacedWorker) -> None:
        for name, (place, run, one, inner, estimate_s) in list(self.runs.items()):
            if place != node:
                continue
            checkpoint, how = "", "done"
            if inner in worker.fillings:
                if self.now < self.stops.get(name, self.now + 1):
                    continue
                del worker.fillings[inner]
                how = "stopped"
                self.stopped += 1
                if self.registry.find_task(name).step.checkpoints:
                    checkpoint = str(max(0.001, estimate_s - one.remaining_s))
                else:
                    self.lost_s += estimate_s - one.remaining_s
            del self.runs[name]
            self.stops.pop(name, None)
            number = len(self.ended[node]) + 1
            self.ended[node].append(EndedTask(number, name, run, how, checkpoint))
            worker.next_listing = self.now

    def _report(self, node: str, worker: PacedWorker) -> None:
        listed = worker.ledger.running
        running = [
            RunningTask(name, 1, "", 100, listed[f"s{number}", 1].figure)
            for number, name in enumerate(self.names[node])
        ]
        for name, (place, run, one, inner, estimate_s) in self.runs.items():
            if place == node and (inner, 1) in listed:
                seen = listed[inner, 1]
                percent = int(100 * (1 - one.remaining_s / estimate_s))
                running.append(
                    RunningTask(name, run, "", percent, seen.figure, seen.worked_milli)
                )
        starting = {
            name
            for name, (place, _, _, inner, _) in self.runs.items()
            if place == node and (inner, 1) not in listed
        }
        running += [
            RunningTask(name, self.runs[name][1], "", 0, 0, 1_000) for name in starting
        ]
        report = WorkerReport(
            1, 1, "w", (), "svc", True, False, 0, 64_000, 64_000, 0,
            (Label("a"), Label("r1")), tuple(running), tuple(self.ended[node][-20:]),
            (),
        )  # fmt: skip
        self.reconciler.apply(self.fleet.get(node).attachment, report)
        self._write()
