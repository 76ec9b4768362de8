"""Sets what an agent reports against what the leader has decided."""

from __future__ import annotations

from collections.abc import Container

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import EndKind, LossCause, OrderState
from pistachiodeal.jobs.record import Task
from pistachiodeal.jobs.runtime import CallResult
from pistachiodeal.leader.advice import AdviceKeeper
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.crashes import CrashTracker
from pistachiodeal.leader.listed import ListedRuns, RunKey, index_report
from pistachiodeal.leader.neighbours import NeighbourWatch
from pistachiodeal.leader.workers import (
    PLACE_SEPARATOR,
    Attachment,
    Fleet,
    WorkerState,
    build_order,
    build_place,
)
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import (
    EndedTask,
    OrderOutcome,
    RunningTask,
    WorkerLoss,
    WorkerReport,
)

# A filling task below this pace hardly moves.
SLOW_PACE = 0.25
# A runner that refuses a start for want of room lists what took it soon after.
REFUSED_S = 0.3


class Reconciler:
    """Applies reports to the book."""

    def __init__(
        self,
        book: JobBook,
        fleet: Fleet,
        interference: InterferenceModel,
        events: EventLog,
        *,
        advice: AdviceKeeper | None = None,
    ) -> None:
        self._advice = advice
        self._book = book
        self._fleet = fleet
        self._crashes = CrashTracker(book, fleet, events)
        self._neighbours = NeighbourWatch(book, interference, events)
        self._events = events

    @property
    def crashes(self) -> CrashTracker:
        """Return what is known of workers that crashed."""
        return self._crashes

    def apply(self, attachment: Attachment, report: WorkerReport) -> None:
        """Take in one report."""
        now = read_boot_clock()
        worker = self._fleet.get(attachment.node)
        attachment.beat, attachment.heard_at = report.beat, now
        worker.stamp += 1
        listed = index_report(report)
        place = build_place(worker.node, report.worker) if report.worker else ""
        others = self._list_others(worker, place)
        if place and report.listed:
            self._move_runs(others, place, listed)
        for loss in report.losses:
            if loss.worker != report.worker:
                self._take_loss(worker, loss, now)
                why = f"its agent saw it end: {loss.cause}"
                self._lose_all(others, why, listed.outcomes)
        if not report.worker:
            worker.listed = False
            return
        was = worker.place if worker.worker else ""
        worker.become(report)
        if was != worker.place:
            self._events.emit("worker.known", place=worker.place, was=was)
        worker.leaving_at = now + report.leaving_ms / 1000 if report.draining else 0.0
        if not report.listed:
            return
        # The agent has spoken with the one worker that the node has now.
        self._lose_all(others, "a new incarnation is at its address")
        self._apply_runs(worker, attachment, listed, now)
        self._apply_ends(worker, attachment, report)
        self._stop_strays(worker, attachment, listed)
        self._neighbours.learn(worker, attachment, now)

    def stop(self, task: Task, why: str) -> None:
        """Ask for the stop of a task's newest run."""
        if task.stopping or not task.place:
            return
        task.stopping = why
        self._events.emit(
            "run.stop", task=str(task.name), run=task.run, place=task.place, why=why
        )
        worker = self._fleet.find_place(task.place)
        attachment = worker.attachment if worker else None
        # A run whose order has not left yet is given up where the order is made.
        if attachment is not None and (
            task.running or (str(task.name), task.run) in attachment.ordered
        ):
            attachment.order_stop(str(task.name), task.run)

    def send_order(self, task: Task, run: int, place: str) -> None:
        """Order a run, now that its decision is durable."""
        if task.run != run or task.place != place:
            return
        worker = self._fleet.find_place(place)
        attachment = worker.attachment if worker else None
        record = self._book.records[task.name.job_id]
        # An agent that has not listed its worker on this link may not know it yet, and
        # would drop the order in silence: its task would wait for ever.
        if task.stopping or worker is None or attachment is None or not worker.open:
            # Nobody was ever told of this run, so it cannot come to life later.
            self._events.emit("run.unsent", task=str(task.name), run=run, place=place)
            self._book.requeue(task)
            return
        self._events.emit(
            "run.order",
            task=str(task.name),
            run=run,
            place=place,
            waited_ms=int((read_boot_clock() - task.placed_at) * 1000),
        )
        attachment.order_start(build_order(task), record.job_id, record.job.text)

    def lose(self, place: str, why: str, kept: Container[RunKey] = ()) -> None:
        """Give up the runs of a worker that is certainly gone.

        :param kept: runs that may begin yet, at the worker's next incarnation.
        """
        runs = [
            task
            for name, task in self._book.get_runs(place).items()
            if (name, task.run) not in kept
        ]
        if runs:
            self._events.emit("worker.lost", place=place, why=why, runs=len(runs))
        now = read_boot_clock()
        for task in runs:
            self._events.emit(
                "run.lost",
                task=str(task.name),
                run=task.run,
                place=place,
                listed=task.running,
                crashes=task.crashes,
                blames=task.blames,
                placed_ms=int((now - task.placed_at) * 1000),
            )
            self._book.requeue(task)
        self._book.forget_place(place)

    def _take_loss(self, worker: WorkerState, loss: WorkerLoss, now: float) -> None:
        if worker.worker == loss.worker:
            worker.renew("")
        # A worker that had said it would leave, or that was only cut off, tells nothing
        # about its tasks.
        if loss.cause == LossCause.CRASHED:
            self._crashes.note_crash(worker, loss, now)

    def _list_others(self, worker: WorkerState, place: str) -> list[str]:
        """Return the places of earlier incarnations on a worker's node."""
        prefix = worker.node + PLACE_SEPARATOR
        return [
            other
            for other in self._book.list_places()
            if other.startswith(prefix) and other != place
        ]

    def _lose_all(
        self, places: list[str], why: str, kept: Container[RunKey] = ()
    ) -> None:
        for place in places:
            self.lose(place, why, kept)

    def _move_runs(self, others: list[str], place: str, listed: ListedRuns) -> None:
        """Take in that orders for earlier incarnations were carried out by this one.

        Queued again, such a task would run twice, or again after its end.
        """
        for other in others:
            for name, task in list(self._book.get_runs(other).items()):
                if listed.has((name, task.run)):
                    self._events.emit(
                        "run.moved", task=name, run=task.run, place=place, was=other
                    )
                    self._book.move_run(task, place)

    def _apply_runs(
        self,
        worker: WorkerState,
        attachment: Attachment,
        listed: ListedRuns,
        now: float,
    ) -> None:
        for name, task in list(self._book.get_runs(worker.place).items()):
            key = (name, task.run)
            if key in listed.running:
                self._note_running(task, listed.running[key], now)
                attachment.describe(build_order(task))
                if task.stopping or self._is_over(task):
                    attachment.order_stop(name, task.run)
            elif key in listed.ends:
                continue
            elif key in listed.outcomes:
                self._apply_outcome(worker, task, listed.outcomes[key], now)
            elif key not in attachment.ordered and self._is_durable(task):
                # An earlier leader, or this one on an earlier link, ordered it. What
                # became of that order is unknown: it may even arrive now. A stop that
                # the runner answers settles it.
                attachment.order_stop(name, task.run)

    def _is_durable(self, task: Task) -> bool:
        record = self._book.records[task.name.job_id]
        return not self._book.is_unsaved(record.job_id)

    def _is_over(self, task: Task) -> bool:
        return self._book.records[task.name.job_id].state.final

    def _note_running(self, task: Task, seen: RunningTask, now: float) -> None:
        if not task.running:
            task.running, task.began_at, task.progressed_at = True, now, now
        self._note_work(task, seen.worked_milli / 1000, now)
        if seen.percent != task.percent:
            task.percent, task.progressed_at = seen.percent, now
        task.figure = seen.figure
        self._note_pace(task, seen.worked_milli / 1000, now)
        if seen.checkpoint:
            task.checkpoint = seen.checkpoint
        if task.crashes:
            self._crashes.note_at_work(task)

    def _note_work(self, task: Task, worked: float, now: float) -> None:
        """Count the time at work since the task was last listed."""
        since = task.seen_at or task.placed_at
        speed = worked if task.step.fills else 1.0
        task.work_s += speed * (now - since)
        task.seen_at = now

    def _note_pace(self, task: Task, worked: float, now: float) -> None:
        task.worked = worked
        if worked > SLOW_PACE or not task.slow_since:
            task.slow_since = now

    def _apply_outcome(
        self, worker: WorkerState, task: Task, outcome: OrderOutcome, now: float
    ) -> None:
        if outcome.outcome == OrderState.PENDING:
            return
        self._events.emit(
            "run.refused",
            task=str(task.name),
            run=task.run,
            place=task.place,
            outcome=outcome.outcome,
            detail=outcome.detail,
        )
        if outcome.detail == CallResult.NO_TICKET and self._advice is not None:
            record = self._book.records[task.name.job_id]
            key = record.find_step(task.name).key
            self._advice.forget_ticket(key, worker.worker)
        self._book.requeue(task)
        if outcome.outcome == OrderState.REFUSED:
            # Placed again at once, it would be refused again as fast as orders travel.
            task.held_until = now + REFUSED_S

    def _apply_ends(
        self, worker: WorkerState, attachment: Attachment, report: WorkerReport
    ) -> None:
        for end in report.ends:
            if end.number in worker.ends_taken:
                continue
            worker.ends_taken.add(end.number)
            task = self._book.find_task(end.task)
            if task is None or task.run != end.run or task.place != worker.place:
                worker.note_end(end.number)
                continue
            self._apply_end(worker, task, end)
        worker.advance_noted(report.ends)

    def _apply_end(self, worker: WorkerState, task: Task, end: EndedTask) -> None:
        kind = EndKind(end.how)
        now = read_boot_clock()
        self._events.emit(
            "run.end",
            task=end.task,
            run=end.run,
            place=worker.place,
            how=end.how,
            why=task.stopping,
            percent=task.percent,
            pace=round(task.worked, 2) if task.step.fills else None,
            estimate_ms=int(task.step.estimate_s * 1000),
            took_ms=int((now - task.placed_at) * 1000),
        )
        if kind is EndKind.DONE:
            worker.health.note_success()
            if task.fully_observed and not task.step.lasts:
                self._note_work(task, task.worked if task.seen_at else 1.0, now)
                record = self._book.records[task.name.job_id]
                self._book.expectations.note_took(record, task, task.work_s)
        elif kind is EndKind.FAILED and not task.step.lasts:
            # A task that fails everywhere says nothing of the worker.
            if not task.failures:
                worker.health.note_failure(now)
            task.avoid |= {worker.node}
        incarnation = worker.worker

        def note() -> None:
            if worker.worker == incarnation:
                worker.note_end(end.number)

        for other in self._book.end_run(task, kind, end.checkpoint, note):
            self.stop(other, "the job has failed")

    def _stop_strays(
        self, worker: WorkerState, attachment: Attachment, listed: ListedRuns
    ) -> None:
        worker.strays = {}
        runs = self._book.get_runs(worker.place)
        for name, run in listed.running:
            task = runs.get(name)
            if task is not None and task.run == run:
                continue
            # The run was given up while it was out of sight; its room is taken until
            # its end is listed.
            worker.strays[name] = run
            attachment.order_stop(name, run)
