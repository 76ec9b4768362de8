"""Provides the planner with up-to-date views of the workers."""

from __future__ import annotations

from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.scheduling.crash_attribution import STARTUP_S, is_suspect
from pistachiodeal.scheduling.health import MAX_SUSPECT_SHARE, PROBE_S
from pistachiodeal.scheduling.views import WorkerView

ViewsByService = dict[str, list[WorkerView]]
"""Worker views by service."""

ViewVersion = tuple[str, int, int]
"""A place, and the generations of its worker and of its runs."""


class FleetViews:
    """Caches a view of each schedulable worker and rebuilds those that have changed.

    Between two planning rounds only a few of hundreds of workers report. Rebuilding all
    views in each round would take much of the leader's time.
    """

    def __init__(self, registry: JobRegistry, fleet: Fleet) -> None:
        self._registry = registry
        self._fleet = fleet
        self._views: dict[str, tuple[ViewVersion, WorkerView]] = {}
        self._round = 0

    @property
    def round(self) -> int:
        """Return the number of the current round; see ``WorkerView.built_round``."""
        return self._round

    def refresh(self, now: float) -> ViewsByService:
        """Begin a round; return the views of schedulable workers, by service.

        :param now: seconds of the boot clock.
        """
        self._round += 1
        views: ViewsByService = {}
        kept: dict[str, tuple[ViewVersion, WorkerView]] = {}
        for worker in self._fleet.workers.values():
            if not worker.schedulable:
                continue
            entry = self._get_or_build(worker, now)
            kept[worker.node] = entry
            views.setdefault(worker.service, []).append(entry[1])
        self._views = kept
        for service_views in views.values():
            _reopen_if_most_closed(service_views)
        return views

    def retain(self, view: WorkerView) -> None:
        """Keep a view that already includes a run that was just placed on its worker.

        A rebuilt view would count as changed, so that each step that found no worker
        would be evaluated against it again, which makes placing a burst on a large
        fleet much slower.
        """
        worker = self._fleet.get(view.node)
        self._views[view.node] = (self._build_version(worker), view)

    def _build_version(self, worker: WorkerState) -> ViewVersion:
        place = worker.place
        return place, worker.generation, self._registry.get_generation(place)

    def _get_or_build(
        self, worker: WorkerState, now: float
    ) -> tuple[ViewVersion, WorkerView]:
        version = self._build_version(worker)
        known = self._views.get(worker.node)
        # A worker's suspicion ends by time alone, without a change of generation, and
        # so does the time for which a probe keeps the next one waiting.
        time_dependent = worker.health.suspect or worker.health.suspect_until > 0
        if known is None or known[0] != version or time_dependent or known[1].probation:
            return version, _build(self._registry, worker, now, self._round)
        return known


def _reopen_if_most_closed(views: list[WorkerView]) -> None:
    # Jobs that can never succeed fail on every worker. Closing all those workers would
    # leave none for valid jobs.
    if sum(view.excluded for view in views) <= MAX_SUSPECT_SHARE * len(views):
        return
    for view in views:
        view.excluded = view.probing = False


def _build(
    registry: JobRegistry, worker: WorkerState, now: float, this_round: int
) -> WorkerView:
    view = WorkerView(
        worker.place,
        worker.node,
        worker.rack,
        frozenset(worker.labels),
        worker.capacity,
        solo_slack=worker.solo_slack,
        built_round=this_round,
    )
    runs = registry.get_runs(worker.place).values()
    for task in runs:
        _reserve_room(view, task)
    for text in worker.orphans:
        orphan = registry.find_task(text)
        if orphan is not None:
            _reserve_room(view, orphan)
    passing = [task for task in runs if not task.step.lasts]
    starting = sum(1 for task in passing if _is_starting(task, now))
    view.excluded = worker.health.is_excluded(now, starting=starting)
    view.probing = worker.health.suspect or worker.on_probation
    view.excluded |= worker.on_probation and bool(passing)
    view.speed = worker.speed
    view.probation = any(_is_on_probation(task) for task in runs)
    view.unlisted = sum(1 for task in runs if not task.running)
    return view


def _is_starting(task: Task, now: float) -> bool:
    return not task.running or now - task.began_at < PROBE_S


def _is_on_probation(task: Task) -> bool:
    if not is_suspect(task):
        return False
    return not task.running or task.seen_at - task.began_at < STARTUP_S


def _reserve_room(view: WorkerView, task: Task) -> None:
    view.reserve(task.name.step_key, task.step)
