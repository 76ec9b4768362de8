"""Applies the ends of runs that agents report."""

from __future__ import annotations

from collections.abc import Callable

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import EndKind, parse_end_kind
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.filling_work import FillingWork
from pistachiodeal.leader.registry import Callback, JobRegistry
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.workers import WorkerState, build_place
from pistachiodeal.wire.job_messages import EndedTask, WorkerLoss, WorkerReport

StopRun = Callable[[Task, str], None]
AddWork = Callable[[Task, float, float], None]


class RunEnds:
    """Applies ends to the job registry, and acknowledges those that are durable.

    :param stop: stops a task's newest run.
    :param add_work: adds the work of a run since it was last listed.
    :param speeds: speeds of workers, None if they aren't used.
    :param filling: expected ends of filling tasks, None if they aren't used.
    """

    def __init__(
        self,
        registry: JobRegistry,
        events: EventLog,
        stop: StopRun,
        add_work: AddWork,
        *,
        speeds: SpeedMonitor | None,
        filling: FillingWork | None,
    ) -> None:
        self._registry = registry
        self._events = events
        self._stop = stop
        self._add_work = add_work
        self._speeds = speeds
        self._filling = filling

    def apply(self, worker: WorkerState, report: WorkerReport) -> None:
        """Apply the ends that a worker lists."""
        for end in report.ends:
            if end.number in worker.ends_applied:
                continue
            worker.ends_applied.add(end.number)
            with self._events.confine(
                "end.failed", task=end.task, run=end.run, place=worker.place
            ):
                self._apply_one(worker, end)
                continue
            # Looked at again in the next report.
            worker.ends_applied.discard(end.number)
        worker.advance_ends_noted(report.ends)

    def apply_lost(self, worker: WorkerState, loss: WorkerLoss) -> None:
        """Apply ends that an incarnation listed before it was lost.

        They can't be acknowledged to it any more. Agents report them to each leader.
        """
        place = build_place(worker.node, loss.worker)
        for end in loss.ends:
            task = self._registry.find_task(end.task)
            if task is None or task.done:
                continue
            kind = parse_end_kind(end.how)
            if (task.run, task.place) == (end.run, place):
                self._emit_end(task, end, read_boot_clock())
                for other in self._registry.end_run(task, kind, end.checkpoint):
                    self._stop(other, "the job has failed")
            elif kind is EndKind.DONE and self._may_complete(task):
                self._complete_task(place, task, end)

    def _apply_one(self, worker: WorkerState, end: EndedTask) -> None:
        task = self._registry.find_task(end.task)
        if task is None or task.run != end.run or task.place != worker.place:
            self._apply_other_end(worker, task, end)
        else:
            self._apply_end(worker, task, end)

    def _apply_end(self, worker: WorkerState, task: Task, end: EndedTask) -> None:
        kind = parse_end_kind(end.how)
        now = read_boot_clock()
        self._emit_end(task, end, now)
        # An end counts whatever becomes of the statistics.
        with self._events.confine("statistics.failed", task=end.task, run=end.run):
            self._observe_end(worker, task, kind, now)
        if kind is EndKind.FAILED and not task.step.lasts:
            task.avoid |= {worker.node}
        acknowledge = _build_acknowledgement(worker, end)
        for other in self._registry.end_run(task, kind, end.checkpoint, acknowledge):
            self._stop(other, "the job has failed")

    def _observe_end(
        self, worker: WorkerState, task: Task, kind: EndKind, now: float
    ) -> None:
        if self._filling is not None:
            self._filling.record_end(task, done=kind is EndKind.DONE, now=now)
        if kind is EndKind.DONE:
            worker.health.record_success()
            if task.fully_observed and not task.step.lasts:
                self._add_work(task, task.worked if task.seen_at else 1.0, now)
                record = self._registry.records[task.name.job_id]
                if self._speeds is not None:
                    self._speeds.observe_done(worker, task, now)
                self._registry.estimator.observe_duration(record, task, task.work_s)
        # Only a task's first failure counts against its worker, since a task that fails
        # everywhere says nothing about the worker.
        elif kind is EndKind.FAILED and not task.step.lasts and not task.failures:
            worker.health.record_failure(now)

    def _emit_end(self, task: Task, end: EndedTask, now: float) -> None:
        self._events.emit(
            "run.end",
            task=end.task,
            run=end.run,
            place=task.place,
            how=end.how,
            why=task.stopping,
            percent=task.percent,
            pace=round(task.worked, 2) if task.step.fills else None,
            estimate_ms=int(task.step.estimate_s * 1000),
            took_ms=int((now - task.placed_at) * 1000),
        )

    def _apply_other_end(
        self, worker: WorkerState, task: Task | None, end: EndedTask
    ) -> None:
        """Apply the end of a run that isn't its task's newest one at its place.

        A runner that was taken for lost may have completed the task meanwhile.
        """
        if parse_end_kind(end.how) is not EndKind.DONE:
            worker.mark_end_durable(end.number)
            return
        if (
            task is not None
            and self._may_complete(task)
            and not self._complete_task(worker.place, task, end)
        ):
            # Looked at again in each report, until the newest run has ended.
            worker.ends_applied.discard(end.number)
            return
        # The task may be done by another end that isn't durable yet.
        job_id = end.task.partition(".")[0]
        self._registry.call_when_saved(job_id, _build_acknowledgement(worker, end))

    def _may_complete(self, task: Task) -> bool:
        return not (
            task.done
            or task.step.lasts
            or self._registry.records[task.name.job_id].state.final
        )

    def _complete_task(self, place: str, task: Task, end: EndedTask) -> bool:
        """Tell whether a task is done; otherwise its newest run is stopped first.

        :param place: where the run with this end was.
        """
        if not task.proven:
            self._events.emit(
                "run.done_before",
                task=end.task,
                run=end.run,
                place=place,
                newest=task.run,
                newest_place=task.place,
            )
        if self._registry.complete_task(task):
            return True
        self._stop(task, "an earlier run has completed the task")
        return False


def _build_acknowledgement(worker: WorkerState, end: EndedTask) -> Callback:
    """Return a callback that acknowledges an end to the incarnation that listed it."""
    incarnation = worker.worker

    def acknowledge() -> None:
        if worker.worker == incarnation:
            worker.mark_end_durable(end.number)

    return acknowledge
