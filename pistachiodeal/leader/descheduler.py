"""Stops runs that have to continue on another worker.

These are runs that are stalled or held back by pacing, and runs on a worker that is
draining or has less memory than before.
"""

from __future__ import annotations

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.held_back import HeldBackMover
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.victims import build_victim
from pistachiodeal.leader.workers import Fleet, WorkerState, split_place
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.preemption import choose_victims_to_fit
from pistachiodeal.scheduling.views import get_reserved_size

# A run that is listed without progress for this long moves to another worker. Progress
# is listed in percent twice a second, so even a task of half a minute advances within
# this time. Time without a listing doesn't count, because a hung agent says nothing
# about its runner.
STALL_S = 1.5
# For longer tasks one percent takes longer, so the limit is at least this share of the
# expected time.
STALL_SHARE = 1 / 20
# A filling task below this pace may show no progress without being stalled.
STALL_PACE = 0.5
# A task that can't finish before its worker leaves is moved. Beside the time of the
# stop itself, this much is reserved for delivering the order.
LEAVE_MARGIN_S = 0.2
# A worker that lacks memory for its runs may get it back soon. After this long the
# cheapest runs are stopped; otherwise the machine would end one of its own choice.
SHORTAGE_GRACE_S = 1.0
# A filling task that is held back for this long is moved. Its pace would recover within
# a few seconds, when the load of the serving tasks changes, but a task with checkpoints
# is better off elsewhere before that.
HELD_BACK_S = 1.0
# A held-back task without checkpoints that has reached this percentage is not moved,
# since it would lose its progress: it finishes where it is, even at a low pace.
MAX_RESTART_PERCENT = 40


class Descheduler:
    """Stops runs so that the planner places them on other workers.

    :param limits: time limits of the deployment.
    :param mover: chooses held-back tasks by forecasts, None if these aren't used.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        reconciler: Reconciler,
        limits: LimitSettings,
        mover: HeldBackMover | None = None,
    ) -> None:
        self._mover = mover
        self._move_s = limits.move_s
        self._stop_s = limits.stop_ms / 1000
        self._registry = registry
        self._fleet = fleet
        self._reconciler = reconciler
        self._short_since: dict[str, float] = {}

    def run(self, now: float) -> None:
        """Stop all runs that have to move.

        :param now: seconds of the boot clock.
        """
        self._stop_stalled(now)
        self._stop_on_draining_workers(now)
        self._stop_held_back(now)
        self._relieve_memory_shortage(now)

    def _stop_stalled(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.listed or worker.attachment is None:
                continue
            for task in list(self._registry.get_runs(worker.place).values()):
                if not self._is_stalled(task):
                    continue
                worker.health.record_stall(now)
                task.avoid |= {worker.node}
                self._reconciler.stop(task, "it stands still")

    def _is_stalled(self, task: Task) -> bool:
        if not task.running or task.stopping or task.step.lasts:
            return False
        if task.step.fills and task.worked < STALL_PACE:
            task.progressed_at = task.seen_at
            return False
        expected_s = self._registry.get_expected_s(task)
        return task.seen_at - task.progressed_at > max(
            STALL_S, expected_s * STALL_SHARE
        )

    def _stop_on_draining_workers(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.draining or not worker.listed:
                continue
            available_s = worker.leaving_at - now - self._stop_s - LEAVE_MARGIN_S
            for task in list(self._registry.get_runs(worker.place).values()):
                if (
                    task.running
                    and not task.stopping
                    and self._must_leave(task, available_s)
                ):
                    self._reconciler.stop(task, "its worker is leaving")

    def _stop_held_back(self, now: float) -> None:
        """Stop filling tasks that hardly progress beside their serving neighbours."""
        if self._mover is not None:
            self._move_held_back(self._mover, now)
            return
        for worker in self._fleet.workers.values():
            if not worker.listed or worker.attachment is None:
                continue
            for task in list(self._registry.get_runs(worker.place).values()):
                if not self._is_held_back(task, now):
                    continue
                task.avoid |= {worker.node}
                self._reconciler.stop(task, "its neighbours leave it no pace")

    def _move_held_back(self, mover: HeldBackMover, now: float) -> None:
        filling = [
            (worker, task)
            for worker in self._fleet.workers.values()
            if worker.listed and worker.attachment is not None
            for task in self._registry.get_runs(worker.place).values()
            if task.step.fills and task.running and not task.stopping
        ]
        slow = [one for one in filling if now - one[1].slow_since >= HELD_BACK_S]
        held = {str(task.name) for _, task in slow if self._is_held_back(task, now)}
        for move in mover.choose(slow, held, len(filling), now):
            move.task.avoid |= {split_place(move.task.place)[0]}
            why = "its neighbours leave it no pace"
            self._reconciler.stop(move.task, why, **move.details)

    def _relieve_memory_shortage(self, now: float) -> None:
        """Stop the cheapest runs on workers with too little memory for their runs.

        Processor time is shared by all runs, so a lack of it stops none.
        """
        short: dict[str, float] = {}
        for worker in self._fleet.workers.values():
            # Summing up the runs of hundreds of workers each time would slow down all
            # decisions, so only workers whose capacity has shrunk are checked.
            if (
                not worker.maybe_overcommitted
                or not worker.listed
                or worker.attachment is None
            ):
                continue
            runs = list(self._registry.get_runs(worker.place).values())
            missing = _measure_missing(worker, runs)
            worker.maybe_overcommitted = missing != Resources()
            if not worker.maybe_overcommitted:
                continue
            since = self._short_since.get(worker.place, now)
            short[worker.place] = since
            if now - since > SHORTAGE_GRACE_S:
                self._stop_to_fit(runs, missing, now)
        self._short_since = short

    def _stop_to_fit(self, runs: list[Task], missing: Resources, now: float) -> None:
        candidates = [
            build_victim(task, self._get_priority(task), now, self._move_s)
            for task in runs
            if task.running and not task.stopping and not task.step.lasts
        ]
        for victim in choose_victims_to_fit(missing, candidates):
            run = self._registry.find_task(victim.task)
            if run is not None:
                self._reconciler.stop(run, "its worker has too little memory")

    def _get_priority(self, task: Task) -> int:
        return self._registry.records[task.name.job_id].job.queue.priority

    def _is_held_back(self, task: Task, now: float) -> bool:
        if not task.step.fills or not task.running or task.stopping:
            return False
        if now - task.slow_since < HELD_BACK_S:
            return False
        return task.step.checkpoints or task.percent < MAX_RESTART_PERCENT

    def _must_leave(self, task: Task, available_s: float) -> bool:
        if task.step.lasts:
            return True
        remaining_s = self._registry.get_expected_s(task) * (100 - task.percent) / 100
        return remaining_s > available_s


def _measure_missing(worker: WorkerState, runs: list[Task]) -> Resources:
    """Return the memory and accelerators reserved beyond a worker's capacity.

    Runs that are being stopped count as already gone.
    """
    used = Resources()
    for task in runs:
        if not task.stopping:
            used = used + get_reserved_size(task.step)
    over = used - worker.capacity
    return Resources(0, max(0, over.memory_mib), max(0, over.accelerators))
