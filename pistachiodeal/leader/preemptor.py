"""Preempts less urgent runs to make room for urgent tasks that found none."""

from __future__ import annotations

from collections.abc import Callable

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.victims import build_victim
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.placement import URGENT_PRIORITY
from pistachiodeal.scheduling.preemption import Victim, choose_victims
from pistachiodeal.scheduling.views import WorkerView, get_reserved_size

# Limits the cost per round: a moved task has to start again, and a preempted task loses
# its work since the last checkpoint.
MAX_PREEMPTIONS_PER_ROUND = 16
# The reason for which a run is stopped begins so; preempted runs are found again by it.
PREEMPTED_FOR = "gives way to"

QueueLookup = Callable[[Queue], Queue]


class Preemptor:
    """Stops runs for urgent tasks, a bounded number per planning round.

    A size for which no preemption makes room is searched for only once per round:
    listing the victims on 296 workers for each of a hundred steps took half of the
    round.

    :param find_queue: returns the queue as defined by the newest configuration.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        reconciler: Reconciler,
        find_queue: QueueLookup,
        limits: LimitSettings,
    ) -> None:
        self._move_s = limits.move_s
        self._registry = registry
        self._fleet = fleet
        self._reconciler = reconciler
        self._find_queue = find_queue
        self._preempted = 0
        # By service: whether runs that are being stopped will make room for urgent
        # tasks, and sizes for which no preemption makes room.
        self._room_pending: dict[str, bool] = {}
        self._infeasible_sizes: dict[str, list[Resources]] = {}

    def begin_round(self) -> None:
        """Clear the results of the previous round."""
        self._preempted = 0
        self._room_pending.clear()
        self._infeasible_sizes.clear()

    def make_room(self, task: Task, queue: Queue, views: list[WorkerView]) -> None:
        """Stop less urgent runs for an urgent task that found no room."""
        if queue.priority != URGENT_PRIORITY:
            return
        if self._preempted >= MAX_PREEMPTIONS_PER_ROUND:
            return
        service, need = queue.service, get_reserved_size(task.step)
        if service not in self._room_pending:
            self._room_pending[service] = self._is_room_pending(service)
        if self._room_pending[service]:
            return
        infeasible = self._infeasible_sizes.setdefault(service, [])
        if any(size.fits(need) for size in infeasible):
            return
        best: list[Victim] = []
        for view in views:
            candidates = self._list_victims(view)
            victims = choose_victims(need, view.free, candidates, queue.priority)
            if victims and (not best or _sum_loss(victims) < _sum_loss(best)):
                best = victims
        if not best:
            infeasible.append(need)
        for victim in best:
            self._room_pending[service] = True
            run = self._registry.find_task(victim.task)
            if run is not None:
                self._preempted += 1
                self._reconciler.stop(run, f"{PREEMPTED_FOR} {task.name}")

    def _is_room_pending(self, service: str) -> bool:
        """Tell whether a service has runs that are being stopped for an urgent task."""
        for worker in self._fleet.workers.values():
            if not worker.schedulable or worker.service != service:
                continue
            runs = self._registry.get_runs(worker.place).values()
            if any(run.stopping.startswith(PREEMPTED_FOR) for run in runs):
                return True
        return False

    def _list_victims(self, view: WorkerView) -> list[Victim]:
        victims = []
        now = read_boot_clock()
        for task in self._registry.get_runs(view.place).values():
            if task.stopping or not task.running:
                continue
            record = self._registry.records[task.name.job_id]
            priority = self._find_queue(record.job.queue).priority
            victim = build_victim(task, priority, now, self._move_s)
            if not task.step.lasts and victim.room != Resources():
                victims.append(victim)
        return victims


def _sum_loss(victims: list[Victim]) -> float:
    return sum(victim.loss for victim in victims)
