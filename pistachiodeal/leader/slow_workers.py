"""Moves runs away from slow workers."""

from __future__ import annotations

import time
from dataclasses import dataclass

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import StepRecord, Task
from pistachiodeal.leader.advice import AdviceCache
from pistachiodeal.leader.deadlines import is_late
from pistachiodeal.leader.fleet_views import FleetViews, ViewsByService
from pistachiodeal.leader.preemptor import QueueLookup
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet, WorkerState, split_place
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import (
    PlacementRequest,
    choose_worker,
    is_urgent,
)
from pistachiodeal.scheduling.slow_moves import compute_gain_s, count_movable
from pistachiodeal.scheduling.views import StepKey, WorkerView

# Interval between checks for runs that have to move. A check in which no worker has
# room evaluates every worker for every step.
CHECK_INTERVAL_S = 0.4
# Limits a check to about 20 ms of processor time with 600 workers. No step is evaluated
# beyond this number; the last one is evaluated against all workers, however many.
MAX_EVALUATIONS = 3_000
# No task moves twice within this time, so that a short one ends before the next move.
MOVE_INTERVAL_S = 3.0
REASON = "its worker is slow"


@dataclass(frozen=True, slots=True)
class _Move:
    """A run that would end earlier elsewhere.

    :param queue: its queue, by which the planner will place it again.
    :param gain_s: by how much, 0 for a serving task.
    """

    queue: Queue
    gain_s: float
    task: Task
    step: StepRecord


class SlowWorkers:
    """Publishes the speeds of workers and stops runs on slow ones.

    :param find_queue: returns the queue as defined by the newest configuration.
    :param advice: answers of the external advice service, None without one.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        reconciler: Reconciler,
        interference: InterferenceModel,
        *,
        views: FleetViews,
        find_queue: QueueLookup,
        limits: LimitSettings,
        events: EventLog,
        advice: AdviceCache | None = None,
    ) -> None:
        self._find_queue = find_queue
        self._advice = advice
        self._registry = registry
        self._fleet = fleet
        self._reconciler = reconciler
        self._interference = interference
        self._views = views
        self._move_s = limits.move_s
        self._remote_cost = limits.remote_factor - 1.0
        self._events = events
        self._checked_at = 0.0
        self._moved_at: dict[str, float] = {}

    def run(self, now: float) -> None:
        """Stop the runs that have to move; nothing without the feature.

        :param now: seconds of the boot clock.
        """
        speeds = self._reconciler.speeds
        if speeds is None:
            return
        speeds.refresh(self._fleet, now)
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._moved_at = {
            name: at
            for name, at in self._moved_at.items()
            if now - at < MOVE_INTERVAL_S
        }
        # Counted once per check: a step may have thousands of serving tasks.
        movable: dict[StepKey, int] = {}
        moves = [
            move
            for worker in self._fleet.workers.values()
            if worker.speed < 1.0 and worker.listed and worker.attachment is not None
            for move in self._list_moves(worker, movable)
        ]
        if moves:
            moves.sort(key=lambda move: (move.queue.priority, -move.gain_s))
            self._move(moves, movable, self._views.refresh(now), now)

    def _list_moves(
        self, worker: WorkerState, movable: dict[StepKey, int]
    ) -> list[_Move]:
        """Return the moves from a worker.

        :param movable: how many serving tasks may be interrupted now, by step; the
            steps of the worker are added.
        """
        moves = []
        for task in self._registry.get_runs(worker.place).values():
            record = self._registry.records[task.name.job_id]
            if not task.running or task.stopping or task.step.gang:
                continue
            if record.state.final or str(task.name) in self._moved_at:
                continue
            # The placement may choose a slow worker again for late filling tasks.
            if task.step.fills and is_late(record, time.time()):
                continue
            step = record.find_step(task.name)
            gain_s = 0.0
            if task.step.lasts:
                if step.key not in movable:
                    movable[step.key] = count_movable(task.step, step.tasks)
                if not movable[step.key]:
                    continue
            else:
                gain_s = compute_gain_s(
                    task, step.expected_s, worker.speed, self._move_s
                )
                if gain_s <= 0:
                    continue
            queue = self._find_queue(record.job.queue)
            moves.append(_Move(queue, gain_s, task, step))
        return moves

    def _move(
        self,
        moves: list[_Move],
        movable: dict[StepKey, int],
        views: ViewsByService,
        now: float,
    ) -> None:
        trials = {
            service: [view.copy() for view in one if view.speed >= 1.0]
            for service, one in views.items()
        }
        no_room: set[StepKey] = set()
        left = MAX_EVALUATIONS
        for move in moves:
            key = move.step.key
            # An earlier move of this check may have taken a serving task away.
            if key in no_room or not movable.get(key, 1):
                continue
            trial = self._list_allowed(move, trials.get(move.queue.service, []))
            if left <= 0:
                return
            left -= len(trial)
            request = self._build_request(move)
            view = choose_worker(request, trial, self._interference)
            if view is None:
                no_room.add(key)
                continue
            view.reserve(request.key, request.step)
            if key in movable:
                movable[key] -= 1
            self._events.stats.count("runs_moved_off_slow_workers")
            self._moved_at[str(move.task.name)] = now
            self._reconciler.stop(move.task, REASON)

    def _list_allowed(self, move: _Move, views: list[WorkerView]) -> list[WorkerView]:
        """Return the workers that the advice service allows; all if it isn't used.

        The planner places the task on no others. Without a ticket elsewhere, it would
        return to its slow worker each time.
        """
        if not move.queue.advised or self._advice is None:
            return views
        find, key = self._advice.find_ticket, move.step.key
        return [view for view in views if find(key, split_place(view.place)[1])]

    def _build_request(self, move: _Move) -> PlacementRequest:
        step = move.step.step
        return PlacementRequest(
            step,
            move.step.key,
            urgent=is_urgent(move.queue.priority, step, 0.0),
            avoid=move.task.avoid,
            remote_cost=self._remote_cost,
        )
