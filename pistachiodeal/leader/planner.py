"""One round of decisions: what gets a place, and what gives way to it."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.leader.advice import AdviceKeeper
from pistachiodeal.leader.attempts import Attempts
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.fleet_views import FleetViews, Views
from pistachiodeal.leader.moves import Mover
from pistachiodeal.leader.preemptor import FindQueue, Preemptor
from pistachiodeal.leader.probation import Probation
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Fleet, split_place
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.ordering import (
    Rank,
    Waiting,
    compute_objective_s,
    rank_step,
)
from pistachiodeal.scheduling.placement import (
    Candidates,
    Obstacle,
    Request,
    choose_worker,
    find_obstacle,
    is_urgent,
    score,
)
from pistachiodeal.scheduling.suspicion import is_suspect
from pistachiodeal.scheduling.views import WorkerView

# Filling work that waits this long, with nothing of its job at work, goes beside
# serving tasks even though it disturbs them: paced work is more than none.
STARVED_S = 2.0
# A round looks at what agents have reported after this long, whatever is still to be
# decided: while it places a burst the leader would else hear nobody.
SLICE_S = 0.03
# What has to leave its worker is looked for this often. Agents list their runs each
# 0.4 s, and the look goes over every run.
MOVE_S = 0.1


class Planner:
    """Places waiting tasks.

    :param find_queue: returns a queue as the newest configuration has it.
    :param limits: times that the deployment promises.
    :param advice: answers of the outside service, where there is one.
    """

    def __init__(
        self,
        book: JobBook,
        fleet: Fleet,
        reconciler: Reconciler,
        interference: InterferenceModel,
        find_queue: FindQueue,
        *,
        limits: LimitSettings,
        events: EventLog,
        advice: AdviceKeeper | None = None,
    ) -> None:
        self._interference = interference
        self._mover = Mover(book, fleet, reconciler, limits)
        self._views = FleetViews(book, fleet)
        self._attempts = Attempts()
        self._preemptor = Preemptor(book, fleet, reconciler, find_queue, limits)
        self._probation = Probation(book, reconciler, interference, events)
        # A task that takes twice as long elsewhere needs a whole worker's time more.
        self._remote_cost = limits.remote_factor - 1.0
        self._moved_at = 0.0
        self._book = book
        self._fleet = fleet
        self._reconciler = reconciler
        self._find_queue = find_queue
        self._events = events
        self._advice = advice

    def plan(self) -> bool:
        """Do one round; tell whether all waiting steps had their turn."""
        now = read_boot_clock()
        self._open_due()
        if now - self._moved_at > MOVE_S:
            self._moved_at = now
            self._mover.move(now)
        views = self._views.refresh(now)
        self._preemptor.begin_round()
        self._probation.begin_round(now)
        ready = self._order_ready()
        self._attempts.begin_round(step.key for *_, step in ready)
        until = read_boot_clock() + SLICE_S
        for _, _, record, step in ready:
            if read_boot_clock() > until:
                return False
            # An earlier step of the round may have given the job up.
            if not record.state.final:
                self._place_step(views, record, step)
        return True

    def _open_due(self) -> None:
        time_of_day_s = time.time()
        for record in self._book.open_records.values():
            if record.job.repeats:
                self._book.open_due(record, time_of_day_s)

    def _order_ready(self) -> list[tuple[Rank, int, JobRecord, StepRecord]]:
        time_of_day_s = time.time()
        ready = []
        for number, (record, step) in enumerate(self._book.iterate_ready()):
            queue = self._find_queue(record.job.queue)
            rank = self._rank(record, step, queue, time_of_day_s)
            ready.append((rank, number, record, step))
        ready.sort(key=lambda entry: entry[:2])
        return ready

    def _rank(
        self, record: JobRecord, step: StepRecord, queue: Queue, time_of_day_s: float
    ) -> Rank:
        job = record.job
        due_s = job.accepted_s
        if job.repeats:
            due_s = job.first_run_s + step.occurrence * job.interval_s
        steps = record.occurrences[step.occurrence]
        self._book.expectations.expect(record, steps)
        return rank_step(
            Waiting(
                queue.priority,
                step.step.lasts,
                max(0.0, time_of_day_s - due_s),
                record.compute_remaining_s(steps),
                compute_objective_s(record.critical_path_s, queue.stretch, queue.aim_s),
                sum(one.remaining_work for one in steps),
                record.work,
                self._book.expectations.get_usual_work(queue.name),
            )
        )

    def _place_step(
        self, all_views: Views, record: JobRecord, step: StepRecord
    ) -> None:
        queue = self._find_queue(record.job.queue)
        views = all_views.get(queue.service, [])
        now = read_boot_clock()
        waiting = [task for task in step.tasks if task.waits and task.held_until <= now]
        if self._probation.give_up_hopeless(record, waiting):
            return
        if step.step.gang:
            self._place_gang(views, record, step, waiting, queue)
            return
        request = Request(
            step.step,
            step.key,
            urgent=is_urgent(queue.priority, step.step, _measure_wait_s(step)),
            racks=self._list_racks(step, views),
            bold=self._is_starved(record, step),
            remote_cost=self._remote_cost,
        )
        allowed = self._list_allowed(request, queue, views)
        suspects = [task for task in waiting if is_suspect(task)]
        if suspects and not allowed:
            self._want_advice(request, queue, views)
        self._place_suspects(request, allowed, suspects)
        waiting = [task for task in waiting if not is_suspect(task)]
        whole = queue.advised or self._attempts.is_due(request, now)
        if not whole:
            allowed = self._attempts.list_changed(request, allowed)
        candidates = Candidates(request, allowed, self._interference)
        for task in waiting:
            view = candidates.take(task.avoid)
            if view is None:
                self._want_advice(request, queue, views)
                self._attempts.note_failure(request, self._views.round)
                if whole:
                    self._attempts.note_whole(request, now)
                    self._explain_wait(request, candidates.obstacles)
                self._preemptor.make_room(task, queue, views)
                return
            self._place(task, task.run + 1, request, view)
            # What the next task depends on beside its worker: racks that are taken,
            # and that only the first one is bold.
            racks = request.racks | {view.rack} if step.step.same_rack else frozenset()
            if racks != request.racks or request.bold:
                request = replace(request, racks=racks, bold=False)
                candidates = Candidates(request, allowed, self._interference)

    def _place_suspects(
        self, request: Request, views: list[WorkerView], suspects: list[Task]
    ) -> None:
        for task in suspects:
            view = self._probation.find_worker(task, request, views)
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
        # A part of a gang would hold its room without working: all or none. Members
        # still at work from an earlier run end first.
        if len(waiting) < len(step.tasks):
            return
        request = Request(
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
                self._want_advice(request, queue, views)
                return
            view.take(request.key, step.step)
            request = replace(request, racks=request.racks | {view.rack})
            chosen.append(view.place)
        run = max(task.run for task in waiting) + 1
        checkpoint = max(task.checkpoint for task in waiting)
        by_place = {view.place: view for view in views}
        for task, place in zip(waiting, chosen, strict=True):
            task.checkpoint = checkpoint
            by_place[place].take(request.key, task.step)
            self._place(task, run, request, by_place[place])

    def _list_allowed(
        self, request: Request, queue: Queue, views: list[WorkerView]
    ) -> list[WorkerView]:
        """Return the workers that the outside service allows, if it is asked at all."""
        if not queue.advised or self._advice is None:
            return views
        find = self._advice.find_ticket
        key = request.key
        return [view for view in views if find(key, split_place(view.place)[1])]

    def _want_advice(
        self, request: Request, queue: Queue, views: list[WorkerView]
    ) -> None:
        if not queue.advised or self._advice is None:
            return
        model = self._interference
        able = [view for view in views if not find_obstacle(request, view, model)]
        able.sort(key=lambda view: score(request, view, model))
        self._advice.want(request.key, (split_place(view.place)[1] for view in able))

    def _explain_wait(
        self, request: Request, obstacles: Mapping[Obstacle, int]
    ) -> None:
        """Log why a step waits."""
        counts = {obstacle.value: count for obstacle, count in obstacles.items()}
        job_id, occurrence, step = request.key
        self._events.emit(
            "step.waits", job=job_id, step=f"{occurrence}.{step}", **counts
        )

    def _is_starved(self, record: JobRecord, step: StepRecord) -> bool:
        """Tell whether a filling step has waited long and nothing of its job runs."""
        if not step.step.fills:
            return False
        if any(task.place for task in record.iterate_tasks()):
            return False
        return _measure_wait_s(step) > STARVED_S

    def _place(self, task: Task, run: int, request: Request, view: WorkerView) -> None:
        place = view.place
        if self._advice is not None:
            task.ticket = self._advice.find_ticket(request.key, split_place(place)[1])
        self._events.emit(
            "run.place",
            task=str(task.name),
            run=run,
            place=place,
            load=round(view.load, 2),
            waited_ms=int((read_boot_clock() - task.ready_at) * 1000),
        )
        self._book.place(
            task, run, place, lambda: self._reconciler.send_order(task, run, place)
        )
        self._views.keep(view)

    def _list_racks(self, step: StepRecord, views: list[WorkerView]) -> frozenset[str]:
        if not step.step.same_rack:
            return frozenset()
        racks = {view.place: view.rack for view in views}
        return frozenset(racks.get(task.place, "") for task in step.tasks if task.place)


def _measure_wait_s(step: StepRecord) -> float:
    """Return for how long the first of a step's waiting tasks has waited."""
    ready_at = min(task.ready_at for task in step.tasks if task.waits)
    return read_boot_clock() - ready_at
