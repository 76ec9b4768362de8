"""Places tasks suspected of crashing their worker in isolation, on a few workers only.

Isolation means that no other task starts on the worker until the suspect has run for a
moment and, where such a worker is available, that all runs ordered there earlier have
been listed as running. Tasks that have been running there for longer stay. A job whose
task has crashed too many workers fails.

One crash may leave many suspects, of which one is the cause at most. Suspects that have
waited for a while start together, so that the wait grows with the logarithm of their
number.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.record import JobRecord, Task
from pistachiodeal.leader.crashes import CrashTracker
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.scheduling.crash_attribution import (
    compute_group_size,
    compute_isolation_limit,
    should_give_up,
)
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import (
    PlacementRequest,
    choose_worker,
    find_obstacle,
)
from pistachiodeal.scheduling.views import StepKey, WorkerView

# Evaluating all workers for each of many suspects would take a whole round.
MAX_SUSPECTS_PER_ROUND = 8
# On a fleet that starts tasks all the time no worker may be quiet. After this long a
# suspect is placed beside tasks that have just started; it then takes all the blame.
MAX_QUIET_WAIT_S = 2.0
# The reason why a suspect waits is logged at most this often per step.
WAIT_LOG_INTERVAL_S = 2.0


@dataclass(slots=True)
class _Group:
    """Suspects that start together on one worker, in one round.

    :param limit: the least size that one of them allows.
    :param size: number of its suspects.
    """

    view: WorkerView
    limit: int
    size: int = 1


class SuspectPlacer:
    """Chooses workers for suspects, called by the planner within a planning round."""

    def __init__(
        self,
        registry: JobRegistry,
        reconciler: Reconciler,
        interference: InterferenceModel,
        events: EventLog,
    ) -> None:
        self._registry = registry
        self._reconciler = reconciler
        self._interference = interference
        self._events = events
        self._remaining = 0
        self._now = 0.0
        self._groups: list[_Group] = []
        self._logged_at: dict[StepKey, float] = {}

    @property
    def _crashes(self) -> CrashTracker:
        return self._reconciler.crashes

    def begin_round(self, now: float) -> None:
        """Revert counts due to rack failures and reset the limits of the round."""
        self._crashes.revert_rack_failures(now)
        self._now = now
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if now - at < WAIT_LOG_INTERVAL_S
        }
        self._remaining = MAX_SUSPECTS_PER_ROUND
        self._groups = []

    def fail_hopeless_job(self, record: JobRecord, tasks: Iterable[Task]) -> bool:
        """Fail the job if one of its waiting tasks has crashed too many workers."""
        for task in tasks:
            if should_give_up(task):
                for other in self._registry.fail_job(record, task):
                    self._reconciler.stop(other, "the job has failed")
                return True
        return False

    def reserve_worker(
        self, task: Task, request: PlacementRequest, views: list[WorkerView]
    ) -> WorkerView | None:
        """Reserve a worker for a suspect; return None while it has to wait."""
        exposed = (
            sum(view.probation for view in views) + self._crashes.count_unrecovered()
        )
        limit = compute_isolation_limit(len(views))
        view = None
        if self._remaining > 0 and exposed < limit:
            self._remaining -= 1
            quiet = self._now - task.ready_at < MAX_QUIET_WAIT_S
            alone = replace(
                request, may_crash_worker=True, require_settled=quiet, avoid=task.avoid
            )
            others = [one for one in views if one.node not in task.avoid]
            # Another crash on a worker that already crashed under the task would not
            # show which of the two is the cause.
            choice = others if quiet and others else views
            view = choose_worker(alone, choice, self._interference)
        waited_s = self._now - task.ready_at
        size = compute_group_size(task, waited_s)
        if view is not None:
            self._groups.append(_Group(view, size))
        elif size > 1:
            view = self._join_group(task, request, views, size)
        if view is None:
            self._explain_wait(task, request.key, exposed, limit)
            return None
        view.reserve(request.key, request.step)
        view.probation = True
        return view

    def _join_group(
        self, task: Task, request: PlacementRequest, views: list[WorkerView], size: int
    ) -> WorkerView | None:
        """Return a worker on which other suspects start in this round.

        :param size: in how large a group the task may start.
        """
        joinable = [
            group for group in self._groups if group.size < min(group.limit, size)
        ]
        if not joinable:
            return None
        by_place = {view.place: view for view in views}
        for group in sorted(joinable, key=lambda group: group.size):
            view = by_place.get(group.view.place)
            if view is None or not self._has_room(request, view):
                continue
            group.size += 1
            group.limit = min(group.limit, size)
            self._events.emit(
                "task.joins_suspects",
                task=str(task.name),
                place=view.place,
                size=group.size,
                crashes=task.crashes,
                waited_ms=int((self._now - task.ready_at) * 1000),
            )
            return view
        return None

    def _has_room(self, request: PlacementRequest, view: WorkerView) -> bool:
        """Tell whether a worker could take a task but for the suspects on it."""
        view.probation = False
        obstacle = find_obstacle(request, view, self._interference)
        view.probation = True
        return obstacle is None

    def _explain_wait(self, task: Task, key: StepKey, exposed: int, limit: int) -> None:
        """Log why a suspect waits, at most once per interval and step."""
        if key in self._logged_at:
            return
        self._logged_at[key] = self._now
        self._events.emit(
            "task.waits_alone",
            task=str(task.name),
            exposed=exposed,
            limit=limit,
            crashes=task.crashes,
            blames=task.blames,
        )
