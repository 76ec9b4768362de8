"""Decides which held-back filling tasks move, by the forecast of serving load.

Load pattern: the load of serving tasks oscillates, so that the pace of filling tasks
beside them falls to nothing and comes back within seconds. A run is stopped only if it
is expected to end earlier elsewhere, by more than the move costs.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.filling_work import FillingWork, describe_progress
from pistachiodeal.leader.fleet_views import ViewsByService
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import WorkerState
from pistachiodeal.scheduling.expected_progress import Progress
from pistachiodeal.scheduling.filling_cost import AHEAD_S, measure_load
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import (
    PlacementRequest,
    compute_cost,
    find_obstacle,
)
from pistachiodeal.scheduling.views import WorkerView

# Share of the running filling tasks that move a second, at most.
MAX_MOVED_SHARE = 1 / 20
MOVE_INTERVAL_S = 3.0
# Workers evaluated in one check, at most; each takes 20 us. On a larger fleet each
# check evaluates other workers.
MAX_EVALUATED = 200
# A task whose pace was forecast to be back, and that is still held back after this
# long, is beside a neighbour that differs from the others of its step.
REFUTED_AFTER_S = 3.0
FORECAST_PACE = 0.25


@dataclass(frozen=True, slots=True)
class Move:
    """A held-back task that has to move, and what is expected of it."""

    task: Task
    details: dict[str, Any]


class HeldBackMover:
    """Chooses the held-back tasks that move.

    :param move_s: for how long a moved task is not running.
    """

    def __init__(
        self,
        work: FillingWork,
        registry: JobRegistry,
        interference: InterferenceModel,
        move_s: float,
    ) -> None:
        self._work = work
        self._registry = registry
        self._interference = interference
        self._move_s = move_s
        self._views: ViewsByService = {}
        self._allowed = 0.0
        self._checked_at = 0.0
        self._evaluated = 0
        self._offset = 0
        self._trial: dict[str, WorkerView] = {}
        self._moved_at: dict[str, float] = {}
        self._promised_at: dict[tuple[str, int], float] = {}
        self._evaluated_at: dict[tuple[str, int], float] = {}

    def set_views(self, views: ViewsByService) -> None:
        """Set the views of the newest round of planning."""
        self._views = views

    def choose(
        self,
        held_back: list[tuple[WorkerState, Task]],
        restartable: set[str],
        running: int,
        now: float,
    ) -> list[Move]:
        """Return the tasks that have to move.

        :param held_back: tasks that have hardly progressed for a while.
        :param restartable: names of those that move without a forecast.
        :param running: how many filling tasks run.
        """
        self._begin(held_back, running, now)
        moves: list[Move] = []
        last = self._evaluated_at
        for worker, task in sorted(
            held_back, key=lambda one: last.get(_key(one[1]), 0)
        ):
            if self._allowed < 1 or self._evaluated >= MAX_EVALUATED:
                break
            name = str(task.name)
            if name in self._moved_at:
                continue
            views = self._views.get(worker.service, [])
            own = next((view for view in views if view.node == worker.node), None)
            progress = self._forecast(task, own, now)
            if own is None or progress is None:
                details: dict[str, Any] | None = {} if name in restartable else None
            else:
                details = self._compare(task, own, views, progress, now)
            if details is not None:
                self._allowed -= 1
                self._moved_at[name] = now
                moves.append(Move(task, details))
        return moves

    def _compare(
        self,
        task: Task,
        own: WorkerView,
        views: list[WorkerView],
        progress: Progress,
        now: float,
    ) -> dict[str, Any] | None:
        """Return the fields of the event if the task would end earlier elsewhere."""
        remaining_s = self._compute_remaining_s(task)
        end_s = progress.compute_end_s(remaining_s * max(1.0, measure_load(own)), now)
        restart_s = remaining_s + self._compute_redone_s(task)
        cost_s = self._move_s + self._work.wait_s
        if end_s <= cost_s + restart_s:
            return None
        stride = 1 + len(views) // MAX_EVALUATED
        self._offset += 1
        sample = views[self._offset % stride :: stride]
        self._evaluated += len(sample)
        self._evaluated_at[_key(task)] = now
        others = [self._trial.get(one.node, one) for one in sample if one is not own]
        best, elsewhere_s = self._find_best(task, others, restart_s, now)
        if best is None or elsewhere_s + cost_s >= end_s:
            return None
        self._trial[best.node] = reserved = best.copy()
        reserved.reserve(task.name.step_key, task.step)
        details = describe_progress(progress, end_s, now)
        details["elsewhere_end_ms"] = int((elsewhere_s + cost_s) * 1000)
        return details

    def _begin(
        self, held_back: list[tuple[WorkerState, Task]], running: int, now: float
    ) -> None:
        rate = running * MAX_MOVED_SHARE
        regained = rate * (now - self._checked_at)
        self._allowed = min(max(1.0, rate), self._allowed + regained)
        self._checked_at = now
        self._evaluated = 0
        self._trial = {}
        self._moved_at = {
            name: at
            for name, at in self._moved_at.items()
            if now - at < MOVE_INTERVAL_S
        }
        keys = {_key(task) for _, task in held_back}
        for known in (self._promised_at, self._evaluated_at):
            for key in known.keys() - keys:
                del known[key]

    def _forecast(
        self, task: Task, view: WorkerView | None, now: float
    ) -> Progress | None:
        """Return the progress where the task is; None if unknown or refuted."""
        if view is None:
            return None
        progress = self._work.expect_running(view, task.step, now)
        if progress is None:
            return None
        if progress.compute_work_s(now, AHEAD_S) < FORECAST_PACE * AHEAD_S:
            self._promised_at.pop(_key(task), None)
            return progress
        promised_at = self._promised_at.setdefault(_key(task), now)
        return progress if now - promised_at < REFUTED_AFTER_S else None

    def _find_best(
        self, task: Task, views: list[WorkerView], work_s: float, now: float
    ) -> tuple[WorkerView | None, float]:
        """Return the best other worker, and after how long the task would end there."""
        outlook = self._work.build_task_outlook(work_s, now)
        request = PlacementRequest(task.step, task.name.step_key, outlook=outlook)
        best, least_s = None, inf
        for view in views:
            if (
                view.node in task.avoid
                or outlook.find_progress(task.step, view) is None
            ):
                continue
            if find_obstacle(request, view, self._interference):
                continue
            end_s = compute_cost(request, view, self._interference)
            if end_s < least_s:
                best, least_s = view, end_s
        return best, least_s

    def _compute_remaining_s(self, task: Task) -> float:
        return self._registry.get_expected_s(task) * (100 - task.percent) / 100

    def _compute_redone_s(self, task: Task) -> float:
        """Return the work that a stop loses; a task with checkpoints saves its own."""
        if task.step.checkpoints:
            return 0.0
        return self._registry.get_expected_s(task) * task.percent / 100


def create_mover(
    work: FillingWork | None,
    registry: JobRegistry,
    interference: InterferenceModel,
    move_s: float,
) -> HeldBackMover | None:
    """Return the mover if forecasts are used."""
    if work is None:
        return None
    return HeldBackMover(work, registry, interference, move_s)


def _key(task: Task) -> tuple[str, int]:
    return str(task.name), task.run
