"""Which runs leave the worker they are on: stalled, on a leaving worker, or harmful."""

from __future__ import annotations

from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.scheduling.interference import STRAIN_LIMIT, InterferenceModel

# A run that shows no progress for this long is given to another worker. Progress is
# listed in hundredths twice a second, so a task of half a minute still moves.
STALL_S = 2.5
# A task that can't end before its worker leaves is moved; this is kept for the stop.
LEAVE_MARGIN_S = 0.6
# Figures of a task that has just begun say nothing yet, and one high figure may be the
# swing of the serving task's own load; its agent's pace answers that at once.
PART_AFTER_S = 1.2
# What saves nothing and is this far on is paced to its end where it is.
PART_PERCENT = 40


class Mover:
    """Stops runs that have to go on elsewhere."""

    def __init__(
        self,
        book: JobBook,
        fleet: Fleet,
        reconciler: Reconciler,
        interference: InterferenceModel,
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._reconciler = reconciler
        self._interference = interference

    def move(self, now: float) -> None:
        """Stop what has to go on elsewhere.

        :param now: seconds of the boot clock.
        """
        self._stop_stalled(now)
        self._leave_draining(now)
        self._part_neighbours(now)

    def _stop_stalled(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.listed or worker.attachment is None:
                continue
            for task in list(self._book.get_runs(worker.place).values()):
                if not self._is_stalled(task, now):
                    continue
                worker.health.note_stall(now)
                task.avoid |= {worker.node}
                self._reconciler.stop(task, "it stands still")

    def _is_stalled(self, task: Task, now: float) -> bool:
        if not task.running or task.stopping or task.step.lasts or task.step.fills:
            return False
        return now - task.moved_at > max(STALL_S, task.step.estimate_s / 10)

    def _leave_draining(self, now: float) -> None:
        for worker in self._fleet.workers.values():
            if not worker.draining or not worker.listed:
                continue
            left_s = worker.leaving_at - now - LEAVE_MARGIN_S
            for task in list(self._book.get_runs(worker.place).values()):
                if (
                    task.running
                    and not task.stopping
                    and self._must_leave(task, left_s)
                ):
                    self._reconciler.stop(task, "its worker is leaving")

    def _part_neighbours(self, now: float) -> None:
        """Stop filling tasks that disturb the serving tasks beside them."""
        for worker in self._fleet.workers.values():
            if worker.strain <= STRAIN_LIMIT:
                worker.strained_at = now
            strained_s = now - worker.strained_at
            if worker.listed and worker.attachment and strained_s > PART_AFTER_S:
                self._part(worker, now)

    def _part(self, worker: WorkerState, now: float) -> None:
        runs = self._book.get_runs(worker.place).values()
        fills = [task for task in runs if task.step.fills and task.running]
        serving = {task.step.image for task in runs if task.step.serves_ms}
        model = self._interference
        fills.sort(key=lambda task: model.predict(serving, {task.step.image: 1.0}))
        mix: dict[str, float] = {}
        for task in fills:
            image = task.step.image
            tried = {**mix, image: mix.get(image, 0.0) + 1.0}
            settled = now - task.began_at > PART_AFTER_S
            if model.predict(serving, tried) <= STRAIN_LIMIT or not settled:
                mix = tried
                continue
            if task.stopping:
                continue
            if task.step.checkpoints or task.percent < PART_PERCENT:
                self._reconciler.stop(task, "it disturbs its neighbours")

    def _must_leave(self, task: Task, left_s: float) -> bool:
        if task.step.lasts:
            return True
        rest = task.step.estimate_s * (100 - task.percent) / 100
        return rest > left_s
