"""The workers as a round of decisions sees them."""

from __future__ import annotations

from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.scheduling.health import MOST_SUSPECTS
from pistachiodeal.scheduling.views import WorkerView


def build_views(book: JobBook, fleet: Fleet, now: float) -> dict[str, list[WorkerView]]:
    """Return the workers that take tasks, by service.

    :param now: seconds of the boot clock.
    """
    views: dict[str, list[WorkerView]] = {}
    for worker in fleet.workers.values():
        if worker.open:
            views.setdefault(worker.service, []).append(_build(book, worker, now))
    for those in views.values():
        _open_if_most_are_closed(those)
    return views


def _open_if_most_are_closed(views: list[WorkerView]) -> None:
    # Jobs that can never be done fail everywhere. Closing the workers for it would
    # leave sound jobs without any.
    if sum(view.closed for view in views) <= MOST_SUSPECTS * len(views):
        return
    for view in views:
        view.closed = view.probing = False


def _build(book: JobBook, worker: WorkerState, now: float) -> WorkerView:
    view = WorkerView(
        worker.place,
        worker.node,
        worker.rack,
        frozenset(worker.labels),
        worker.capacity,
        alone=worker.alone,
    )
    runs = book.get_runs(worker.place).values()
    for task in runs:
        _take_room(view, task)
    for text in worker.strays:
        stray = book.find_task(text)
        if stray is not None:
            _take_room(view, stray)
    at_work = sum(1 for task in runs if not task.step.lasts)
    view.closed = worker.health.is_closed(now, at_work=at_work)
    view.probing = worker.health.suspect
    return view


def _take_room(view: WorkerView, task: Task) -> None:
    name = task.name
    view.take((name.job_id, name.occurrence, name.step), task.step)
