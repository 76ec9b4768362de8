"""Which runs leave their worker.

Those that are stalled or held back, and those on a worker that is leaving or has less
memory than it had.
"""

from __future__ import annotations

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.victims import build_victim
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.preemption import choose_to_fit
from pistachiodeal.scheduling.views import reserve_size

# A run that is listed without progress for this long is given to another worker.
# Progress is listed in hundredths twice a second, so a task of half a minute still
# moves. Time in which nothing is listed doesn't count: an agent that stands still says
# nothing of its runner.
STALL_S = 1.5
# Of a longer task a hundredth takes longer: this part of its expected time.
STALL_SHARE = 1 / 20
# A filling task that works at less than this pace may well show no progress.
STALL_PACE = 0.5
# A task that can't end before its worker leaves is moved. Beside the time of the stop
# this is kept for the order's way.
LEAVE_MARGIN_S = 0.2
# A worker that has too little memory for its runs may have it back soon; after this
# long the runs that cost least go. The machine would else end one of its own choice.
SHRUNK_S = 1.0
# The pace comes back with the swing of the serving tasks' own load within a few
# seconds; a task that saves its progress is better off elsewhere before that.
HELD_BACK_S = 1.0
# What saves nothing and is this far on is paced to its end where it is.
RESTART_PERCENT = 40


class Mover:
    """Stops runs that have to go on elsewhere."""

    def __init__(
        self,
        book: JobBook,
        fleet: Fleet,
        reconciler: Reconciler,
        limits: LimitSettings,
    ) -> None:
        self._move_s = limits.move_s
        self._stop_s = limits.stop_ms / 1000
        self._book = book
        self._fleet = fleet
        self._reconciler = reconciler
        self._short_since: dict[str, float] = {}

    def move(self, now: float) -> None:
        """Stop what has to go on elsewhere.

        :param now: seconds of the boot clock.
        """
        self._stop_stalled(now)
        self._leave_draining(now)
        self._free_paced(now)
        self._fit_memory(now)

    def _stop_stalled(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.listed or worker.attachment is None:
                continue
            for task in list(self._book.get_runs(worker.place).values()):
                if not self._is_stalled(task):
                    continue
                worker.health.note_stall(now)
                task.avoid |= {worker.node}
                self._reconciler.stop(task, "it stands still")

    def _is_stalled(self, task: Task) -> bool:
        if not task.running or task.stopping or task.step.lasts:
            return False
        if task.step.fills and task.worked < STALL_PACE:
            task.progressed_at = task.seen_at
            return False
        expected_s = self._book.get_expected_s(task)
        return task.seen_at - task.progressed_at > max(
            STALL_S, expected_s * STALL_SHARE
        )

    def _leave_draining(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.draining or not worker.listed:
                continue
            left_s = worker.leaving_at - now - self._stop_s - LEAVE_MARGIN_S
            for task in list(self._book.get_runs(worker.place).values()):
                if (
                    task.running
                    and not task.stopping
                    and self._must_leave(task, left_s)
                ):
                    self._reconciler.stop(task, "its worker is leaving")

    def _free_paced(self, now: float) -> None:
        """Stop filling tasks that hardly move beside their neighbours."""
        for worker in self._fleet.workers.values():
            if not worker.listed or worker.attachment is None:
                continue
            for task in list(self._book.get_runs(worker.place).values()):
                if not self._is_held_back(task, now):
                    continue
                task.avoid |= {worker.node}
                self._reconciler.stop(task, "its neighbours leave it no pace")

    def _fit_memory(self, now: float) -> None:
        """Stop what costs least on workers with too little memory for their runs.

        Processors are shared by all, so nobody goes for them.
        """
        short: dict[str, float] = {}
        for worker in self._fleet.workers.values():
            # To add up the runs of hundreds of workers each time would slow down all
            # decisions, so only those that have shrunk are looked at.
            if not worker.shrunk or not worker.listed or worker.attachment is None:
                continue
            runs = list(self._book.get_runs(worker.place).values())
            missing = _measure_missing(worker, runs)
            worker.shrunk = missing != Resources()
            if not worker.shrunk:
                continue
            since = self._short_since.get(worker.place, now)
            short[worker.place] = since
            if now - since > SHRUNK_S:
                self._make_fit(runs, missing, now)
        self._short_since = short

    def _make_fit(self, runs: list[Task], missing: Resources, now: float) -> None:
        candidates = [
            build_victim(task, self._get_priority(task), now, self._move_s)
            for task in runs
            if task.running and not task.stopping and not task.step.lasts
        ]
        for victim in choose_to_fit(missing, candidates):
            run = self._book.find_task(victim.task)
            if run is not None:
                self._reconciler.stop(run, "its worker has too little memory")

    def _get_priority(self, task: Task) -> int:
        return self._book.records[task.name.job_id].job.queue.priority

    def _is_held_back(self, task: Task, now: float) -> bool:
        if not task.step.fills or not task.running or task.stopping:
            return False
        if now - task.slow_since < HELD_BACK_S:
            return False
        return task.step.checkpoints or task.percent < RESTART_PERCENT

    def _must_leave(self, task: Task, left_s: float) -> bool:
        if task.step.lasts:
            return True
        rest_s = self._book.get_expected_s(task) * (100 - task.percent) / 100
        return rest_s > left_s


def _measure_missing(worker: WorkerState, runs: list[Task]) -> Resources:
    """Return what a worker's runs reserve beyond what it has, without processors.

    Runs that are being stopped have made their room already.
    """
    used = Resources()
    for task in runs:
        if not task.stopping:
            used = used + reserve_size(task.step)
    over = used - worker.capacity
    return Resources(0, max(0, over.memory_mib), max(0, over.accelerators))
