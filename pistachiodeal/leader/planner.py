"""One round of decisions: what gets a place, what gives way, what is moved."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.ordering import (
    Rank,
    Waiting,
    compute_objective_s,
    rank_step,
)
from pistachiodeal.scheduling.placement import choose_worker
from pistachiodeal.scheduling.preemption import Victim, choose_victims
from pistachiodeal.scheduling.views import StepKey, WorkerView, reserve_size

URGENT_PRIORITY = 0
# A run that shows no progress for this long is given to another worker. Progress is
# listed in hundredths twice a second, so a task of half a minute still moves.
STALL_S = 2.5
# A moved task costs its start again, and a preempted one its work since its last save.
PREEMPTIONS_A_ROUND = 16
# A task that can't end before its worker leaves is moved; this is kept for the stop.
LEAVE_MARGIN_S = 0.6

FindQueue = Callable[[Queue], Queue]


@dataclass(slots=True)
class _Round:
    """What one round has worked out."""

    views: dict[str, list[WorkerView]]
    preempted: int = 0


class Planner:
    """Places waiting tasks.

    :param find_queue: returns a queue as the newest configuration has it.
    """

    def __init__(
        self,
        book: JobBook,
        fleet: Fleet,
        reconciler: Reconciler,
        find_queue: FindQueue,
        events: EventLog,
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._reconciler = reconciler
        self._find_queue = find_queue
        self._events = events

    def plan(self) -> None:
        """Do one round."""
        now = read_boot_clock()
        self._open_due()
        self._stop_stalled(now)
        self._leave_draining(now)
        this_round = _Round(self._build_views(now))
        for _, _, record, step in self._order_ready():
            self._place_step(this_round, record, step)

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
        return rank_step(
            Waiting(
                queue.priority,
                step.step.lasts,
                max(0.0, time_of_day_s - due_s),
                record.compute_left_s(record.occurrences[step.occurrence]),
                compute_objective_s(record.chain_s, queue.stretch, queue.aim_s),
            )
        )

    def _place_step(
        self, this_round: _Round, record: JobRecord, step: StepRecord
    ) -> None:
        queue = self._find_queue(record.job.queue)
        views = this_round.views.get(queue.service, [])
        waiting = [task for task in step.tasks if task.waits]
        if step.step.gang:
            self._place_gang(views, record, step, waiting, queue)
            return
        key = (record.job_id, step.occurrence, step.number)
        racks = self._list_racks(step, views)
        for task in waiting:
            view = choose_worker(
                step.step,
                key,
                views,
                urgent=queue.priority == URGENT_PRIORITY,
                avoid=task.avoid,
                racks=racks,
            )
            if view is None:
                self._preempt(this_round, task, queue, views)
                return
            racks = racks | {view.rack}
            self._place(task, task.run + 1, key, view)

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
        key = (record.job_id, step.occurrence, step.number)
        urgent = queue.priority == URGENT_PRIORITY
        trial = [replace(view, steps=dict(view.steps)) for view in views]
        chosen: list[str] = []
        racks: frozenset[str] = frozenset()
        for _ in waiting:
            view = choose_worker(step.step, key, trial, urgent=urgent, racks=racks)
            if view is None:
                return
            view.take(key, step.step)
            racks = racks | {view.rack}
            chosen.append(view.place)
        run = max(task.run for task in waiting) + 1
        checkpoint = max(task.checkpoint for task in waiting)
        by_place = {view.place: view for view in views}
        for task, place in zip(waiting, chosen, strict=True):
            task.checkpoint = checkpoint
            self._place(task, run, key, by_place[place])

    def _place(self, task: Task, run: int, key: StepKey, view: WorkerView) -> None:
        view.take(key, task.step)
        place = view.place
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
        if self._is_room_coming(task, queue):
            return
        best: list[Victim] = []
        for view in views:
            candidates = self._list_victims(view)
            need = reserve_size(task.step)
            victims = choose_victims(need, view.free, candidates, queue.priority)
            if victims and (not best or _sum_loss(victims) < _sum_loss(best)):
                best = victims
        for victim in best:
            run = self._book.find_task(victim.task)
            if run is not None:
                this_round.preempted += 1
                self._reconciler.stop(run, f"gives way to {task.name}")

    def _is_room_coming(self, task: Task, queue: Queue) -> bool:
        """Tell whether runs that are being stopped will make room for a task."""
        for worker in self._fleet.workers.values():
            if not worker.open or worker.service != queue.service:
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

    def _must_leave(self, task: Task, left_s: float) -> bool:
        if task.step.lasts:
            return True
        rest = task.step.estimate_s * (100 - task.percent) / 100
        return rest > left_s

    def _build_views(self, now: float) -> dict[str, list[WorkerView]]:
        views: dict[str, list[WorkerView]] = {}
        for worker in self._fleet.workers.values():
            if worker.open:
                views.setdefault(worker.service, []).append(self._view(worker, now))
        return views

    def _view(self, worker: WorkerState, now: float) -> WorkerView:
        view = WorkerView(
            worker.place,
            worker.node,
            worker.rack,
            frozenset(worker.labels),
            worker.capacity,
            strain=worker.strain,
            suspect=worker.health.rate(now),
        )
        for task in self._book.get_runs(worker.place).values():
            name = task.name
            view.take((name.job_id, name.occurrence, name.step), task.step)
        for text in worker.strays:
            stray = self._book.find_task(text)
            if stray is not None:
                name = stray.name
                view.take((name.job_id, name.occurrence, name.step), stray.step)
        return view


def _sum_loss(victims: list[Victim]) -> float:
    return sum(victim.loss for victim in victims)
