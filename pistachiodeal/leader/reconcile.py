"""Reconciles the reports of agents with the decisions of the leader."""

from __future__ import annotations

from collections.abc import Container

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import LossCause, OrderState
from pistachiodeal.jobs.record import Task
from pistachiodeal.jobs.runtime import CallResult
from pistachiodeal.leader.advice import AdviceCache
from pistachiodeal.leader.crashes import CrashTracker
from pistachiodeal.leader.filling_work import FillingWork
from pistachiodeal.leader.interference_monitor import InterferenceMonitor
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.report_index import ReportIndex, RunKey, index_report
from pistachiodeal.leader.run_ends import RunEnds
from pistachiodeal.leader.speed_monitor import SpeedMonitor
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
    OrderOutcome,
    RunningTask,
    WorkerLoss,
    WorkerReport,
)

# A filling task below this pace hardly progresses.
SLOW_PACE = 0.25
# A refused task is not placed again for this long. A runner that refuses a start for
# lack of room lists the run that took the room soon after.
REFUSAL_BACKOFF_S = 0.3


class Reconciler:
    """Applies the reports of agents to the job registry and the fleet."""

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        interference: InterferenceModel,
        events: EventLog,
        *,
        advice: AdviceCache | None = None,
        speeds: SpeedMonitor | None = None,
        filling: FillingWork | None = None,
    ) -> None:
        self._advice = advice
        self._speeds = speeds
        self._registry = registry
        self._fleet = fleet
        self._crashes = CrashTracker(registry, fleet, events)
        self._run_ends = RunEnds(
            registry,
            events,
            self.stop,
            self._add_work,
            speeds=speeds,
            filling=filling,
        )
        self._interference_monitor = InterferenceMonitor(
            registry, interference, events, filling
        )
        self._events = events

    @property
    def speeds(self) -> SpeedMonitor | None:
        """Return the speeds of workers, None without that feature."""
        return self._speeds

    @property
    def crashes(self) -> CrashTracker:
        """Return the tracker of worker crashes."""
        return self._crashes

    def apply(self, attachment: Attachment, report: WorkerReport) -> None:
        """Apply one report."""
        now = read_boot_clock()
        worker = self._fleet.get(attachment.node)
        attachment.beat, attachment.last_report_at = report.beat, now
        worker.generation += 1
        report_index = index_report(report)
        place = build_place(worker.node, report.worker) if report.worker else ""
        earlier_places = self._list_earlier_places(worker, place)
        if place and report.listed:
            self._move_runs(earlier_places, place, report_index)
        for loss in report.losses:
            if loss.worker != report.worker:
                self._run_ends.apply_lost(worker, loss)
                self._apply_loss(worker, loss, now)
                self.requeue_lost_runs(
                    build_place(worker.node, loss.worker),
                    f"its agent saw it end: {loss.cause}",
                    report_index.outcomes,
                )
        if not report.worker:
            worker.listed = False
            attachment.forget_stops()
            return
        previous_place = worker.place if worker.worker else ""
        worker.apply_report(report)
        if previous_place != worker.place:
            self._events.emit("worker.known", place=worker.place, was=previous_place)
        worker.leaving_at = now + report.leaving_ms / 1000 if report.draining else 0.0
        if not report.listed:
            attachment.forget_stops()
            return
        # The agent has reached the current worker of the node, so all earlier
        # incarnations are gone.
        for other in earlier_places:
            self.requeue_lost_runs(other, "a new incarnation is at its address")
        self._apply_runs(worker, attachment, report_index, now)
        self._run_ends.apply(worker, report)
        self._stop_orphans(worker, attachment, report_index)
        self._interference_monitor.update(worker, attachment, now)
        if self._speeds is not None:
            self._speeds.observe_listing(worker, now)

    def stop(self, task: Task, why: str, **inputs: object) -> None:
        """Request the stop of a task's newest run.

        :param inputs: what the decision is based on, for its event.
        """
        if task.stopping or not task.place:
            return
        task.stopping = why
        self._events.emit(
            "run.stop",
            task=str(task.name),
            run=task.run,
            place=task.place,
            why=why,
            **inputs,
        )
        worker = self._fleet.find_by_place(task.place)
        attachment = worker.attachment if worker else None
        # A run whose order is not sent yet is requeued in ``send_order``.
        if attachment is not None and (
            task.running or (str(task.name), task.run) in attachment.ordered
        ):
            attachment.order_stop(str(task.name), task.run)

    def send_order(self, task: Task, run: int, place: str) -> None:
        """Queue the start order of a run whose placement is durable."""
        if task.run != run or task.place != place:
            return
        worker = self._fleet.find_by_place(place)
        attachment = worker.attachment if worker else None
        record = self._registry.records[task.name.job_id]
        # An agent that has not listed its worker on this link may not know the worker
        # yet and would silently drop the order, and the task would wait forever.
        if (
            task.stopping
            or worker is None
            or attachment is None
            or not worker.schedulable
        ):
            # The order was never sent, so the run cannot start later.
            self._events.emit("run.unsent", task=str(task.name), run=run, place=place)
            self._registry.requeue(task)
            return
        self._events.emit(
            "run.order",
            task=str(task.name),
            run=run,
            place=place,
            waited_ms=int((read_boot_clock() - task.placed_at) * 1000),
        )
        attachment.order_start(build_order(task), record.job_id, record.job.text)

    def requeue_lost_runs(
        self, place: str, why: str, kept: Container[RunKey] = ()
    ) -> None:
        """Requeue the runs of a worker incarnation that is certainly gone.

        :param kept: runs to keep, since the worker's next incarnation may start them.
        """
        runs = [
            task
            for name, task in self._registry.get_runs(place).items()
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
            self._registry.requeue(task)
        self._registry.forget_place(place)

    def _apply_loss(self, worker: WorkerState, loss: WorkerLoss, now: float) -> None:
        if worker.worker == loss.worker:
            worker.reset_incarnation("")
        # The loss of a worker that announced its leave, or that was only unreachable,
        # says nothing about its tasks.
        if loss.cause == LossCause.CRASHED:
            self._crashes.record_crash(worker, loss, now)

    def _list_earlier_places(self, worker: WorkerState, place: str) -> list[str]:
        """Return the places of earlier incarnations on a worker's node."""
        prefix = worker.node + PLACE_SEPARATOR
        return [
            other
            for other in self._registry.list_places()
            if other.startswith(prefix) and other != place
        ]

    def _move_runs(
        self, earlier_places: list[str], place: str, report_index: ReportIndex
    ) -> None:
        """Move runs that were ordered for earlier incarnations and started on this one.

        If such a task were requeued, it would run twice, or again after its end.
        """
        for other in earlier_places:
            for name, task in list(self._registry.get_runs(other).items()):
                if report_index.contains((name, task.run)):
                    self._events.emit(
                        "run.moved", task=name, run=task.run, place=place, was=other
                    )
                    self._registry.move_run(task, place)

    def _apply_runs(
        self,
        worker: WorkerState,
        attachment: Attachment,
        report_index: ReportIndex,
        now: float,
    ) -> None:
        for name, task in list(self._registry.get_runs(worker.place).items()):
            key = (name, task.run)
            if key in report_index.running:
                self._update_running(task, report_index.running[key], now)
                attachment.describe(build_order(task))
                if task.stopping or self._is_over(task):
                    attachment.order_stop(name, task.run)
            elif key in report_index.ends:
                continue
            elif key in report_index.outcomes:
                self._apply_outcome(worker, task, report_index.outcomes[key], now)
            elif key not in attachment.ordered and self._is_durable(task):
                # The run was ordered by an earlier leader or on an earlier link. Its
                # order may still be in flight. The runner's answer to a stop makes the
                # outcome certain.
                attachment.order_stop(name, task.run)

    def _is_durable(self, task: Task) -> bool:
        record = self._registry.records[task.name.job_id]
        return not self._registry.is_unsaved(record.job_id)

    def _is_over(self, task: Task) -> bool:
        return self._registry.records[task.name.job_id].state.final

    def _update_running(self, task: Task, seen: RunningTask, now: float) -> None:
        if not task.running:
            task.running, task.began_at, task.progressed_at = True, now, now
            self._registry.record_start(task)
        self._add_work(task, seen.worked_milli / 1000, now)
        if seen.percent != task.percent:
            task.percent, task.progressed_at = seen.percent, now
        task.figure = seen.figure
        self._update_pace(task, seen.worked_milli / 1000, now)
        if seen.checkpoint:
            task.checkpoint = seen.checkpoint
        if task.crashes:
            self._crashes.clear_if_stable(task)

    def _add_work(self, task: Task, worked: float, now: float) -> None:
        """Add the time that the task has run since it was last listed."""
        since = task.seen_at or task.placed_at
        speed = worked if task.step.fills else 1.0
        if self._speeds is not None:
            speed *= self._speeds.get_speed(task.place, now)
        task.work_s += speed * (now - since)
        task.seen_at = now

    def _update_pace(self, task: Task, worked: float, now: float) -> None:
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
            record = self._registry.records[task.name.job_id]
            key = record.find_step(task.name).key
            self._advice.invalidate_ticket(key, worker.worker)
        self._registry.requeue(task)
        if outcome.outcome == OrderState.REFUSED:
            # Without a delay the task would be placed and refused again as fast as
            # orders travel.
            task.held_until = now + REFUSAL_BACKOFF_S

    def _stop_orphans(
        self, worker: WorkerState, attachment: Attachment, report_index: ReportIndex
    ) -> None:
        worker.orphans = {}
        runs = self._registry.get_runs(worker.place)
        for name, run in report_index.running:
            task = runs.get(name)
            if task is not None and task.run == run:
                continue
            # The run was requeued while its worker was unreachable. It occupies its
            # room until its end is listed.
            worker.orphans[name] = run
            attachment.order_stop(name, run)
