"""One round of decisions: what gets a place, and what gives way to it."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.leader.advice import AdviceKeeper
from pistachiodeal.leader.attempts import Attempts
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.fleet_views import FleetViews, Views
from pistachiodeal.leader.moves import Mover
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Fleet, split_place
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.ordering import (
    Rank,
    Waiting,
    compute_objective_s,
    rank_step,
)
from pistachiodeal.scheduling.placement import (
    URGENT_PRIORITY,
    Candidates,
    Obstacle,
    Request,
    choose_worker,
    find_obstacle,
    is_urgent,
    score,
)
from pistachiodeal.scheduling.preemption import Victim, choose_victims
from pistachiodeal.scheduling.views import WorkerView, reserve_size

# A moved task costs its start again, and a preempted one its work since its last save.
PREEMPTIONS_A_ROUND = 16
# Filling work that waits this long, with nothing of its job at work, goes beside
# serving tasks even though it disturbs them: paced work is more than none.
STARVED_S = 2.0
# A round looks at what agents have reported after this long, whatever is still to be
# decided: with 800 tasks waiting for 160 workers one round took 0.4 s, in which the
# leader heard nobody.
SLICE_S = 0.03

# What has to leave its worker is looked for this often. Agents list their runs each
# 0.4 s, and the look goes over every run: a tenth of a round at 300 workers.
MOVE_S = 0.1

FindQueue = Callable[[Queue], Queue]


@dataclass(slots=True)
class _Round:
    """What one round has worked out.

    :ivar room_comes: services in which stopped runs will make room for urgent work.
    :ivar no_victims: sizes that no stop makes room for, by service.
    """

    views: Views
    preempted: int = 0
    room_comes: dict[str, bool] = field(default_factory=dict)
    no_victims: dict[str, list[Resources]] = field(default_factory=dict)


class Planner:
    """Places waiting tasks.

    :param find_queue: returns a queue as the newest configuration has it.
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
        events: EventLog,
        advice: AdviceKeeper | None = None,
    ) -> None:
        self._interference = interference
        self._mover = Mover(book, fleet, reconciler)
        self._views = FleetViews(book, fleet)
        self._attempts = Attempts()
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
        this_round = _Round(self._views.refresh(now))
        ready = self._order_ready()
        self._attempts.begin_round(step.key for *_, step in ready)
        until = read_boot_clock() + SLICE_S
        for _, _, record, step in ready:
            if read_boot_clock() > until:
                return False
            self._place_step(this_round, record, step)
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
        self._book.expect(record, steps)
        return rank_step(
            Waiting(
                queue.priority,
                step.step.lasts,
                max(0.0, time_of_day_s - due_s),
                record.compute_left_s(steps),
                compute_objective_s(record.chain_s, queue.stretch, queue.aim_s),
                sum(one.left_work for one in steps),
                record.work,
                self._book.get_usual_work(queue.name),
            )
        )

    def _place_step(
        self, this_round: _Round, record: JobRecord, step: StepRecord
    ) -> None:
        queue = self._find_queue(record.job.queue)
        views = this_round.views.get(queue.service, [])
        now = read_boot_clock()
        waiting = [task for task in step.tasks if task.waits and task.held_until <= now]
        if step.step.gang:
            self._place_gang(views, record, step, waiting, queue)
            return
        request = Request(
            step.step,
            step.key,
            urgent=is_urgent(queue.priority, step.step, _measure_wait_s(step)),
            racks=self._list_racks(step, views),
            bold=self._is_starved(record, step),
        )
        allowed = self._list_allowed(request, queue, views)
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
                self._preempt(this_round, task, queue, views)
                return
            self._place(task, task.run + 1, request, view)
            # What the next task depends on beside its worker: racks that are taken,
            # and that only the first one is bold.
            racks = request.racks | {view.rack} if step.step.same_rack else frozenset()
            if racks != request.racks or request.bold:
                request = replace(request, racks=racks, bold=False)
                candidates = Candidates(request, allowed, self._interference)

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

    def _preempt(
        self, this_round: _Round, task: Task, queue: Queue, views: list[WorkerView]
    ) -> None:
        if queue.priority != URGENT_PRIORITY:
            return
        if this_round.preempted >= PREEMPTIONS_A_ROUND:
            return
        service, need = queue.service, reserve_size(task.step)
        if service not in this_round.room_comes:
            this_round.room_comes[service] = self._is_room_coming(service)
        if this_round.room_comes[service]:
            return
        hopeless = this_round.no_victims.setdefault(service, [])
        if any(size.fits(need) for size in hopeless):
            return
        best: list[Victim] = []
        for view in views:
            candidates = self._list_victims(view)
            victims = choose_victims(need, view.free, candidates, queue.priority)
            if victims and (not best or _sum_loss(victims) < _sum_loss(best)):
                best = victims
        if not best:
            hopeless.append(need)
        for victim in best:
            this_round.room_comes[service] = True
            run = self._book.find_task(victim.task)
            if run is not None:
                this_round.preempted += 1
                self._reconciler.stop(run, f"gives way to {task.name}")

    def _is_room_coming(self, service: str) -> bool:
        """Tell whether runs that are being stopped will make room for a task."""
        for worker in self._fleet.workers.values():
            if not worker.open or worker.service != service:
                continue
            runs = self._book.get_runs(worker.place).values()
            if any(run.stopping.startswith("gives way") for run in runs):
                return True
        return False

    def _list_victims(self, view: WorkerView) -> list[Victim]:
        victims = []
        now = read_boot_clock()
        for name, task in self._book.get_runs(view.place).items():
            if task.stopping or not task.running:
                continue
            record = self._book.records[task.name.job_id]
            priority = self._find_queue(record.job.queue).priority
            room = reserve_size(task.step)
            if task.step.lasts or room == Resources():
                continue
            worked_s = now - task.began_at
            victims.append(
                Victim(
                    name, view.place, priority, task.step.checkpoints, worked_s, room
                )
            )
        return victims


def _measure_wait_s(step: StepRecord) -> float:
    """Return for how long the first of a step's waiting tasks has waited."""
    ready_at = min(task.ready_at for task in step.tasks if task.waits)
    return read_boot_clock() - ready_at


def _sum_loss(victims: list[Victim]) -> float:
    return sum(victim.loss for victim in victims)
