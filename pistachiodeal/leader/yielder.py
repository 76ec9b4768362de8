"""Stops runs of expired jobs for tasks of jobs that would be in time."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import JobRecord, Task
from pistachiodeal.leader.deadlines import find_deadline
from pistachiodeal.leader.expired_runs import ExpiredRuns
from pistachiodeal.leader.preemptor import QueueLookup
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import PlacementRequest
from pistachiodeal.scheduling.views import StepKey, WorkerView
from pistachiodeal.scheduling.yielding import (
    ExpiredRun,
    RoomSeeker,
    YieldHistory,
    YieldingRoom,
    choose_yielding,
)

# The reason for which a run is stopped begins so.
YIELDED_FOR = "yields to"
# Expired runs are searched for at most this often, on so many workers and for so many
# tasks: on all of 600 workers with 5,400 expired runs, a search took 0.3 s.
SEARCH_INTERVAL_S = 0.1
MAX_WORKERS_PER_SEARCH = 24
MAX_TASKS_PER_SEARCH = 4
# A step for which no runs suffice on these workers is left out for this long, so that
# steps behind it are considered as well.
RETRY_INTERVAL_S = 0.3
# Time from the end of a run until the leader has heard of it.
REPORT_S = 0.5


@dataclass(frozen=True, slots=True)
class _Promise:
    """Runs that are being stopped for a waiting task.

    :param runs: the stopped runs: task and number of the run.
    :param until: the stops should have ended by then, seconds of the boot clock.
    """

    task: Task
    request: PlacementRequest
    place: str
    runs: tuple[tuple[Task, int], ...]
    until: float

    def is_pending(self, now: float) -> bool:
        if now >= self.until or not self.task.waits:
            return False
        return any(self.list_stopping())

    def list_stopping(self) -> list[Task]:
        return [
            task
            for task, run in self.runs
            if task.run == run and task.place == self.place and task.stopping
        ]


class Yielder:
    """Makes room for tasks that found no worker, a bounded number per planning round.

    A successor doesn't know which tasks have yielded; it may stop them once more.

    :param find_queue: returns the queue as defined by the newest configuration.
    """

    def __init__(
        self,
        registry: JobRegistry,
        reconciler: Reconciler,
        interference: InterferenceModel,
        find_queue: QueueLookup,
        *,
        limits: LimitSettings,
        events: EventLog,
    ) -> None:
        self._registry = registry
        self._reconciler = reconciler
        self._interference = interference
        self._find_queue = find_queue
        self._move_s = limits.move_s
        # From the order to stop a run until its room can be used.
        self._stop_s = limits.stop_ms / 1000 + REPORT_S
        self._events = events
        self._expired = ExpiredRuns(registry, find_queue)
        self._history = YieldHistory()
        self._promises: dict[Task, _Promise] = {}
        self._failed_at: dict[StepKey, float] = {}
        # With the view of each worker, and its number of unlisted tasks at the time.
        self._rooms: dict[str, list[tuple[WorkerView, int, YieldingRoom]]] = {}
        self._now = self._searched_at = 0.0
        self._searches = self._budget = 0

    def begin_round(self, now: float) -> None:
        """Clear the results of the previous round.

        :param now: seconds of the boot clock.
        """
        self._now = now
        self._rooms.clear()
        self._searches = self._budget = 0
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        self._expired.forget_old(now)
        self._searches = MAX_TASKS_PER_SEARCH
        self._budget = self._history.get_budget(now)
        self._history.retain(self._registry.open_records)
        self._promises = {
            task: promise
            for task, promise in self._promises.items()
            if promise.is_pending(now)
        }
        self._failed_at = {
            key: at
            for key, at in self._failed_at.items()
            if now - at < RETRY_INTERVAL_S
        }

    def make_room(
        self,
        waiting: Iterable[Task],
        record: JobRecord,
        request: PlacementRequest,
        queue: Queue,
        views: list[WorkerView],
    ) -> bool:
        """Stop runs of expired jobs for the waiting tasks of a step.

        :return: whether runs are being stopped for the step.
        """
        tasks = [task for task in waiting if not task.place]
        if request.may_interfere:
            # Only the first task of a starved step may.
            tasks = tasks[:1]
        pending = any(task in self._promises for task in tasks)
        if not self._may_search(request.key) or not self._is_worthwhile(
            record, request
        ):
            return pending
        rooms = self._get_rooms(queue.service, views)
        for task in tasks:
            if task in self._promises:
                continue
            if not rooms or self._searches <= 0 or self._budget <= 0:
                break
            self._searches -= 1
            seeker = RoomSeeker(request, queue.priority, task.avoid)
            choice = choose_yielding(
                seeker, rooms, self._interference, limit=self._budget
            )
            if choice is None:
                self._failed_at[request.key] = self._now
                break
            room, runs = choice
            pending |= bool(runs) or room.promised
            self._stop(task, request, room.view.place, runs)
            room.commit(seeker, runs)
        return pending

    def _may_search(self, key: StepKey) -> bool:
        return self._searches > 0 and self._budget > 0 and key not in self._failed_at

    def _is_worthwhile(self, record: JobRecord, request: PlacementRequest) -> bool:
        """Tell whether a job would be in time on room that is free after a stop."""
        if request.step.lasts:
            return True
        steps = record.occurrences[request.key[1]]
        queue = self._find_queue(record.job.queue)
        deadline = find_deadline(record, steps, queue, time.time())
        return deadline.over_s + self._stop_s <= 0

    def _get_rooms(self, service: str, views: list[WorkerView]) -> list[YieldingRoom]:
        if service not in self._rooms:
            promises: dict[str, list[_Promise]] = {}
            for promise in self._promises.values():
                promises.setdefault(promise.place, []).append(promise)
            promised = [view for view in views if view.place in promises]
            others = [view for view in views if view.place not in promises]
            # At random, as a step that is left out for some rounds could otherwise meet
            # the same workers each time.
            others = random.sample(others, min(len(others), MAX_WORKERS_PER_SEARCH))
            rooms = [
                (view, view.unlisted, self._build_room(view, promises.get(view.place)))
                for view in promised + others
            ]
            self._rooms[service] = [
                (view, unlisted, room) for view, unlisted, room in rooms if room
            ]
        # A task that was placed on a worker since then may have taken the room for
        # which runs would be stopped.
        return [
            room
            for view, unlisted, room in self._rooms[service]
            if view.unlisted == unlisted
        ]

    def _build_room(
        self, view: WorkerView, promises: list[_Promise] | None
    ) -> YieldingRoom | None:
        """Return a worker as it will be after the stops that are under way."""
        runs = [
            (run.compute_loss(self._move_s), run)
            for run in self._expired.iterate(view.place)
            if run.stoppable and self._history.allows(run, self._now)
        ]
        if not runs and not promises:
            return None
        runs.sort(key=lambda entry: entry[0])
        room = YieldingRoom(view.copy(), runs, promised=bool(promises))
        for promise in promises or ():
            for task in promise.list_stopping():
                room.view.release(task.name.step_key, task.step)
            room.view.reserve(promise.request.key, promise.request.step)
        return room

    def _stop(
        self, task: Task, request: PlacementRequest, place: str, runs: list[ExpiredRun]
    ) -> None:
        stopped = []
        for run in runs:
            yielding = self._registry.find_task(run.task)
            if yielding is None:
                continue
            self._history.record_stop(run, self._now)
            self._budget -= 1
            # Otherwise it could take its room back before all runs that are stopped
            # with it have ended.
            yielding.held_until = max(yielding.held_until, self._now + self._stop_s)
            stopped.append((yielding, yielding.run))
            self._reconciler.stop(
                yielding,
                f"{YIELDED_FOR} {task.name}",
                **self._describe(yielding),
            )
            self._events.stats.count("runs_yielded")
        if stopped:
            until = self._now + self._stop_s
            self._promises[task] = _Promise(task, request, place, tuple(stopped), until)

    def _describe(self, task: Task) -> dict[str, int]:
        deadline = self._expired.get_deadline(task)
        return {
            "percent": task.percent,
            "seen_ms": int((read_boot_clock() - task.seen_at) * 1000),
            "age_ms": int(deadline.age_s * 1000),
            "remaining_ms": int(deadline.remaining_s * 1000),
            "objective_ms": int(deadline.objective_s * 1000),
        }
