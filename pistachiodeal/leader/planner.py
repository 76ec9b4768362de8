"""Plans in rounds: places waiting tasks and preempts or moves running ones."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import (
    NO_FEATURES,
    FeatureSettings,
    LimitSettings,
)
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.leader.advice import AdviceCache
from pistachiodeal.leader.deadlines import is_late, measure_age_s
from pistachiodeal.leader.descheduler import Descheduler
from pistachiodeal.leader.failed_placements import FailedPlacements
from pistachiodeal.leader.filling_work import FillingWork
from pistachiodeal.leader.fleet_views import FleetViews, ViewsByService
from pistachiodeal.leader.held_back import create_mover
from pistachiodeal.leader.obstacle_book import ObstacleBook
from pistachiodeal.leader.preemptor import Preemptor, QueueLookup
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.shares import ShareKeeper
from pistachiodeal.leader.slow_workers import SlowWorkers
from pistachiodeal.leader.suspect_placer import SuspectPlacer
from pistachiodeal.leader.workers import Fleet, split_place
from pistachiodeal.leader.yielder import Yielder
from pistachiodeal.scheduling.crash_attribution import is_suspect
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.ordering import (
    Rank,
    WaitingStep,
    compute_objective_s,
    rank_step,
)
from pistachiodeal.scheduling.placement import (
    Candidates,
    Obstacle,
    PlacementRequest,
    choose_worker,
    compute_cost,
    find_obstacle,
    is_urgent,
)
from pistachiodeal.scheduling.views import WorkerView

# A filling step that waits this long while nothing of its job runs is placed beside
# serving tasks even if it disturbs them: paced progress is better than none.
STARVED_S = 2.0
# A round ends after this long even if steps remain, so that the leader can process the
# reports of agents while it places a burst.
SLICE_S = 0.03
# Interval between checks for runs that have to move. Agents list their runs every
# 0.4 s, and each check goes over every run.
DESCHEDULE_INTERVAL_S = 0.1


class Planner:
    """Places waiting tasks.

    :param find_queue: returns the queue as defined by the newest configuration.
    :param limits: time limits of the deployment.
    :param advice: answers of the external advice service, None without one.
    :param features: optional features of the deployment.
    :param filling: expected ends of filling tasks, None if forecasts aren't used.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        reconciler: Reconciler,
        interference: InterferenceModel,
        find_queue: QueueLookup,
        *,
        limits: LimitSettings,
        events: EventLog,
        advice: AdviceCache | None = None,
        features: FeatureSettings = NO_FEATURES,
        filling: FillingWork | None = None,
    ) -> None:
        self._interference = interference
        self._filling = filling
        self._mover = create_mover(filling, registry, interference, limits.move_s)
        self._descheduler = Descheduler(
            registry, fleet, reconciler, limits, self._mover
        )
        self._views = FleetViews(registry, fleet)
        self._slow_workers = SlowWorkers(
            registry,
            fleet,
            reconciler,
            interference,
            views=self._views,
            find_queue=find_queue,
            limits=limits,
            events=events,
            advice=advice,
        )
        self._failed_placements = FailedPlacements()
        self._obstacles = ObstacleBook()
        self._preemptor = Preemptor(registry, fleet, reconciler, find_queue, limits)
        self._suspect_placer = SuspectPlacer(registry, reconciler, interference, events)
        self._yielder: Yielder | None = None
        if features.yielding:
            self._yielder = Yielder(
                registry,
                reconciler,
                interference,
                find_queue,
                limits=limits,
                events=events,
            )
        self._shares: ShareKeeper | None = None
        if features.fair_shares:
            self._shares = ShareKeeper(registry, find_queue, events)
        # Extra cost of running away from the data: a task that takes twice as long
        # there occupies a whole worker for the same time again.
        self._remote_cost = limits.remote_factor - 1.0
        self._descheduled_at = 0.0
        self._registry = registry
        self._fleet = fleet
        self._reconciler = reconciler
        self._find_queue = find_queue
        self._events = events
        self._advice = advice

    @property
    def obstacles(self) -> ObstacleBook:
        """Return what holds up the steps that wait."""
        return self._obstacles

    @property
    def shares(self) -> ShareKeeper | None:
        """Return the shares of queues and job sizes, None with the feature off."""
        return self._shares

    def plan(self) -> bool:
        """Run one planning round; tell whether all waiting steps were considered."""
        now = read_boot_clock()
        self._open_due()
        if now - self._descheduled_at > DESCHEDULE_INTERVAL_S:
            self._descheduled_at = now
            self._descheduler.run(now)
            self._slow_workers.run(now)
        views = self._views.refresh(now)
        if self._mover is not None:
            self._mover.set_views(views)
        self._preemptor.begin_round()
        self._suspect_placer.begin_round(now)
        if self._yielder is not None:
            self._yielder.begin_round(now)
        if self._shares is not None:
            self._shares.update(now)
        ready = self._order_ready()
        self._failed_placements.begin_round(step.key for *_, step in ready)
        until = read_boot_clock() + SLICE_S
        for _, _, record, step in ready:
            if read_boot_clock() > until:
                return False
            # An earlier step of this round may have failed the job.
            if not record.state.final:
                self._place_step(views, record, step)
        return True

    def _open_due(self) -> None:
        time_of_day_s = time.time()
        for record in self._registry.open_records.values():
            if record.job.repeats:
                self._registry.open_due(record, time_of_day_s)

    def _order_ready(self) -> list[tuple[Rank, int, JobRecord, StepRecord]]:
        time_of_day_s = time.time()
        ready = []
        for number, (record, step) in enumerate(self._registry.iterate_ready()):
            queue = self._find_queue(record.job.queue)
            rank = self._rank(record, step, queue, time_of_day_s)
            ready.append((rank, number, record, step))
        ready.sort(key=lambda entry: entry[:2])
        return ready

    def _rank(
        self, record: JobRecord, step: StepRecord, queue: Queue, time_of_day_s: float
    ) -> Rank:
        steps = record.occurrences[step.occurrence]
        self._registry.estimator.estimate_steps(record, steps)
        return rank_step(
            WaitingStep(
                queue.priority,
                step.step.lasts,
                measure_age_s(record, step.occurrence, time_of_day_s),
                record.compute_remaining_s(steps),
                compute_objective_s(record.critical_path_s, queue.stretch, queue.aim_s),
                sum(one.remaining_work for one in steps),
                record.work,
                self._registry.estimator.get_average_work(queue.name),
                self._shares is not None and self._shares.is_underserved(step),
            )
        )

    def _place_step(
        self, all_views: ViewsByService, record: JobRecord, step: StepRecord
    ) -> None:
        queue = self._find_queue(record.job.queue)
        views = all_views.get(queue.service, [])
        now = read_boot_clock()
        waiting = [task for task in step.tasks if task.waits and task.held_until <= now]
        if self._suspect_placer.fail_hopeless_job(record, waiting):
            return
        if step.step.gang:
            self._place_gang(views, record, step, waiting, queue)
            return
        request = PlacementRequest(
            step.step,
            step.key,
            urgent=is_urgent(queue.priority, step.step, _measure_wait_s(step)),
            racks=self._list_racks(step, views),
            may_interfere=self._is_starved(record, step),
            late=self._accepts_slow_worker(record, step),
            remote_cost=self._remote_cost,
            outlook=self._filling.build_outlook(step, now) if self._filling else None,
        )
        allowed = self._list_allowed(request, queue, views)
        suspects = [task for task in waiting if is_suspect(task)]
        if suspects and queue.advised:
            model = self._interference
            if all(find_obstacle(request, view, model) for view in allowed):
                self._request_advice(request, queue, views)
        self._place_suspects(request, allowed, suspects)
        waiting = [task for task in waiting if not is_suspect(task)]
        full_check = queue.advised or self._failed_placements.needs_full_check(
            request, now
        )
        if not full_check:
            allowed = self._failed_placements.list_changed(request, allowed)
        candidates = Candidates(request, allowed, self._interference)
        for task in waiting:
            view = candidates.reserve(task.avoid)
            if view is None:
                self._request_advice(request, queue, views)
                self._failed_placements.record_failure(request, self._views.round)
                if full_check:
                    self._failed_placements.record_full_check(request, now)
                    self._explain_wait(request, queue, candidates.obstacles)
                if self._yielder is None or not self._yielder.make_room(
                    waiting, record, request, queue, views
                ):
                    self._preemptor.make_room(task, queue, views)
                return
            self._place(task, task.run + 1, request, view)
            # The candidates also depend on the racks already used, and on
            # ``may_interfere``, which applies to the first task only.
            racks = request.racks | {view.rack} if step.step.same_rack else frozenset()
            if racks != request.racks or request.may_interfere:
                request = replace(request, racks=racks, may_interfere=False)
                candidates = Candidates(request, allowed, self._interference)

    def _place_suspects(
        self, request: PlacementRequest, views: list[WorkerView], suspects: list[Task]
    ) -> None:
        for task in suspects:
            view = self._suspect_placer.reserve_worker(task, request, views)
            if view is None:
                return
            self._place(task, task.run + 1, request, view)

    def _place_gang(
        self,
        views: list[WorkerView],
        record: JobRecord,
        step: StepRecord,
        waiting: list[Task],
        queue: Queue,
    ) -> None:
        # A partly placed gang would reserve room without working, so all members are
        # placed or none. Members that still run from an earlier attempt end first.
        if len(waiting) < len(step.tasks):
            return
        request = PlacementRequest(
            step.step,
            step.key,
            urgent=is_urgent(queue.priority, step.step, _measure_wait_s(step)),
            remote_cost=self._remote_cost,
        )
        allowed = self._list_allowed(request, queue, views)
        trial = [view.copy() for view in allowed]
        chosen: list[str] = []
        for _ in waiting:
            view = choose_worker(request, trial, self._interference)
            if view is None:
                self._request_advice(request, queue, views, len(waiting))
                return
            view.reserve(request.key, step.step)
            request = replace(request, racks=request.racks | {view.rack})
            chosen.append(view.place)
        run = max(task.run for task in waiting) + 1
        checkpoint = max(task.checkpoint for task in waiting)
        by_place = {view.place: view for view in views}
        for task, place in zip(waiting, chosen, strict=True):
            task.checkpoint = checkpoint
            by_place[place].reserve(request.key, task.step)
            self._place(task, run, request, by_place[place])

    def _list_allowed(
        self, request: PlacementRequest, queue: Queue, views: list[WorkerView]
    ) -> list[WorkerView]:
        """Return the workers that the advice service allows; all if it isn't used."""
        if not queue.advised or self._advice is None:
            return views
        find = self._advice.find_ticket
        key = request.key
        return [view for view in views if find(key, split_place(view.place)[1])]

    def _request_advice(
        self,
        request: PlacementRequest,
        queue: Queue,
        views: list[WorkerView],
        count: int = 1,
    ) -> None:
        """Request tickets for a step that found no place.

        :param count: number of workers that need a ticket at the same time.
        """
        if not queue.advised or self._advice is None:
            return
        model = self._interference
        feasible = [view for view in views if not find_obstacle(request, view, model)]
        feasible.sort(key=lambda view: compute_cost(request, view, model))
        self._advice.request_tickets(
            request.key, (split_place(view.place)[1] for view in feasible), count
        )

    def _explain_wait(
        self,
        request: PlacementRequest,
        queue: Queue,
        obstacles: Mapping[Obstacle, int],
    ) -> None:
        """Log and record the obstacles that keep a step waiting."""
        self._obstacles.record(queue.name, request.key, obstacles)
        counts = {obstacle.value: count for obstacle, count in obstacles.items()}
        job_id, occurrence, step = request.key
        self._events.emit(
            "step.waits", job=job_id, step=f"{occurrence}.{step}", **counts
        )

    def _is_starved(self, record: JobRecord, step: StepRecord) -> bool:
        """Tell whether a filling step has waited long while nothing of its job runs."""
        if not step.step.fills:
            return False
        if any(task.place for task in record.iterate_tasks()):
            return False
        return _measure_wait_s(step) > STARVED_S

    def _accepts_slow_worker(self, record: JobRecord, step: StepRecord) -> bool:
        """Tell whether a slow worker does as well for a step as another one."""
        if self._reconciler.speeds is None or not step.step.fills:
            return False
        return is_late(record, time.time())

    def _place(
        self, task: Task, run: int, request: PlacementRequest, view: WorkerView
    ) -> None:
        place = view.place
        expected: dict[str, Any] = {}
        if self._filling is not None and task.step.fills:
            expected_s = self._registry.get_expected_s(task)
            now = read_boot_clock()
            expected = self._filling.record_placement(task, run, view, expected_s, now)
        if self._advice is not None:
            task.ticket = self._advice.find_ticket(request.key, split_place(place)[1])
        self._events.emit(
            "run.place",
            task=str(task.name),
            run=run,
            place=place,
            load=round(view.load, 2),
            waited_ms=int((read_boot_clock() - task.ready_at) * 1000),
            **expected,
        )
        self._registry.place(
            task, run, place, lambda: self._reconciler.send_order(task, run, place)
        )
        self._views.retain(view)

    def _list_racks(self, step: StepRecord, views: list[WorkerView]) -> frozenset[str]:
        if not step.step.same_rack:
            return frozenset()
        racks = {view.place: view.rack for view in views}
        return frozenset(racks.get(task.place, "") for task in step.tasks if task.place)


def _measure_wait_s(step: StepRecord) -> float:
    """Return the longest waiting time of a step's waiting tasks, in seconds."""
    ready_at = min(task.ready_at for task in step.tasks if task.waits)
    return read_boot_clock() - ready_at
