"""Simulated batch work: queue, evictions and worker losses.

Placement and size estimates come from the product's own code.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

import numpy as np

from bench.fakes import RESUME_S, FakeTask, FakeWorker, generate_tasks
from bench.policies import Policy
from bench.shapes import Deployment, Shape
from pistachiodeal.batch.placement import PendingTask, PlacementPlanner, WorkerCandidate
from pistachiodeal.learning.health import create_worker_health
from pistachiodeal.learning.sizes import create_size_model
from pistachiodeal.model.resources import Resources

TEAM = "all"
LOST_AFTER_S = 72.0  # task lease, owner's lease and margins


@dataclass(slots=True)
class BatchCounts:
    """Totals of the batch work of one simulation."""

    work: float = 0.0  # core seconds that did not have to be repeated
    finished: int = 0
    evictions: int = 0
    throttles: int = 0
    killed: int = 0


class BatchSimulation:
    """Places tasks on simulated workers with the product's planner."""

    def __init__(
        self,
        policy: Policy,
        deployment: Deployment,
        shape: Shape,
        workers: list[FakeWorker],
        rng: np.random.Generator,
    ) -> None:
        self._policy = policy
        self._workers = workers
        self._sizes = create_size_model()
        self._health = create_worker_health()
        self._source = generate_tasks(deployment, rng)
        self._queue: deque[FakeTask] = deque([next(self._source)])
        self._lost: list[tuple[float, FakeTask]] = []
        cores = deployment.workers * deployment.capacity.cpu_milli / 1000
        self._backlog = int(cores * shape.backlog)
        self.counts = BatchCounts()

    def place(self, now: float, wave: bool) -> None:
        """Refill the queue and start the tasks that the planner places.

        :param wave: whether new tasks come mostly of the first kind.
        """
        if self._policy.batch_share == 0.0:
            return
        while self._lost and self._lost[0][0] <= now:
            self._queue.append(self._lost.pop(0)[1])
        while len(self._queue) < self._backlog:
            self._queue.append(self._source.send(wave))
        tasks = {task.task_id: task for task in self._queue}
        pending = [
            PendingTask(task.task_id, 0, TEAM, self._reserve(task))
            for task in self._queue
        ]
        candidates = [
            self._build_candidate(worker, now)
            for worker in self._workers
            if worker.alive
        ]
        planner = PlacementPlanner(lambda name: self._health.usable(name, now))
        by_name = {worker.name: worker for worker in self._workers}
        for placement in planner.plan([{TEAM: pending}], candidates, {}, {}, now):
            task = tasks.pop(placement.task.task_id)
            task.reserved = placement.task.size
            task.started_at = now
            task.share = 1.0
            by_name[placement.worker].tasks[task.task_id] = task
        self._queue = deque(tasks.values())

    def advance(self, worker: FakeWorker, now: float, step_s: float) -> None:
        """Run a worker for one step and record the tasks that ended."""
        for task in worker.advance(step_s):
            self.counts.finished += 1
            self.counts.work += task.kind.run_s * task.kind.true.cpu_milli / 1000
            self._observe_size(task, now)
            self._health.record(worker.name, task.kind.name, True, now)
        for task in worker.kill_over_memory(now, step_s):
            self.counts.killed += 1
            self._observe_size(task, now)
            task.done_s = task.checkpoint_s
            self._queue.append(task)

    def evict(self, worker: FakeWorker, task_id: str) -> None:
        """Checkpoint a task and return it to the front of the queue."""
        task = worker.tasks.pop(task_id)
        task.evictions += 1
        task.done_s = max(0.0, task.done_s - RESUME_S)
        task.checkpoint_s = task.done_s
        self.counts.evictions += 1
        self._queue.appendleft(task)

    def fail_worker(self, worker: FakeWorker, now: float) -> None:
        """Drop a worker's tasks; they are queued again once their leases expire."""
        for task in worker.tasks.values():
            task.done_s = task.checkpoint_s
            self._lost.append((now + LOST_AFTER_S, task))
        worker.tasks.clear()

    def count_unfinished(self) -> None:
        """Add the partial work of tasks that have not finished at the end."""
        unfinished = [
            task for worker in self._workers for task in worker.tasks.values()
        ]
        unfinished += [*self._queue, *(task for _, task in self._lost)]
        for task in unfinished:
            self.counts.work += task.done_s * task.kind.true.cpu_milli / 1000

    def _reserve(self, task: FakeTask) -> Resources:
        if self._policy.sizes == "true":
            return task.kind.true
        if self._policy.sizes == "declared":
            return task.kind.declared
        return self._sizes.reserve(TEAM, task.kind.name, task.kind.declared)

    def _observe_size(self, task: FakeTask, now: float) -> None:
        ran_s = now - task.started_at
        self._sizes.observe(TEAM, task.kind.name, task.kind.true, ran_s)

    def _build_candidate(self, worker: FakeWorker, now: float) -> WorkerCandidate:
        free = worker.capacity - worker.reserved(now)
        if self._policy.batch_share < 1.0:
            service_share = 1.0 - self._policy.batch_share
            cpu = int(service_share * worker.capacity.cpu_milli)
            memory = int(service_share * worker.capacity.memory_mib)
            base_size = worker.base
            free += base_size - base_size.elementwise_max(Resources(cpu, memory))
        teams = Counter({TEAM: len(worker.tasks)})
        return WorkerCandidate(
            worker.name, worker.data_centre, worker.rack, worker.capacity, free, teams
        )
