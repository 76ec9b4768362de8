"""Chooses workers for tasks: filters out unsuitable workers and scores the others.

Small urgent tasks arrive all the time while large tasks queue for every core. Other
work leaves a share of each worker free, so that urgent tasks start immediately instead
of waiting for the end of a task or for a preemption.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from heapq import heappop, heappush

from pistachiodeal.jobs.model import Step
from pistachiodeal.scheduling.filling_cost import Outlook
from pistachiodeal.scheduling.interference import (
    MAX_INTERFERENCE,
    MAX_SLACK,
    InterferenceModel,
)
from pistachiodeal.scheduling.pacing import REQUIRED_SLACK
from pistachiodeal.scheduling.views import StepKey, WorkerView

# Queues with this priority are urgent.
URGENT_PRIORITY = 0
# A long-running task waits this long before it may use the capacity reserved for urgent
# tasks. If there is capacity for it, it must run within three seconds.
LONG_RUNNING_WAIT_S = 2.0
# Share of each worker that is reserved for short tasks of urgent queues.
URGENT_SHARE = 0.05
# Cost of a worker for a task that needs its reserved share: higher than any load, so
# that a larger worker is used first.
RESERVED_SHARE_COST = 1.0
# Filling tasks share the processor time that other tasks leave over. A filling task
# waits if that is less than this share of what it and the worker's other filling tasks
# request.
MIN_FILL_SHARE = 0.8
# Cost, in units of load, of a worker without serving tasks for a serving task: serving
# tasks are packed onto few workers, so that interfering filling tasks can use the rest.
NEW_SERVING_WORKER_COST = 0.5
# Cost of a worker whose serving tasks have other images. A worker with one serving
# image can take the filling tasks that this image tolerates; with two images, only
# those that both tolerate.
OTHER_IMAGE_COST = 2.0
# Cost of a worker without serving tasks for other tasks that reserve processor time,
# for the same reason.
NON_SERVING_WORKER_COST = 0.3
# Slack that a filling task may take beyond what its neighbours have to spare now; about
# the size of the measurement error.
SPARE_MARGIN = 0.1
# Cost of each task of the same step on a worker. A worker that fails everything then
# costs only some of a step's tasks an attempt, and not all of them.
SPREAD_COST = 0.05
# Cost of a worker with serving tasks for a filling task: other workers are used first.
SERVING_COST = 0.5
# Cost of a worker with serving tasks for a task that may crash its worker: higher than
# any load.
SERVING_AT_RISK_COST = 10.0
# Cost of a slow worker, beside the time that a task takes there: higher than any other,
# so that a slow worker gets only what no other worker can take.
SLOW_COST = 20.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task that needs a worker.

    :param urgent: whether it may use the capacity reserved for urgent tasks.
    :param avoid: nodes on which the task failed before, used only as a last resort.
    :param racks: racks that already run tasks of the step.
    :param may_interfere: whether it may exceed the limit of interference; the worker's
        agent then lowers its pace.
    :param may_crash_worker: whether it is suspected of crashing its worker.
    :param require_settled: whether it needs a worker on which all ordered tasks have
        been reported as running.
    :param late: whether the task's job can't be in time, so that a slow worker does as
        well as another one.
    :param remote_cost: cost, in units of load (1.0 is a full worker), of a rack other
        than that of the data or of the step's other tasks.
    :param outlook: the expected progress of a filling task; None if it isn't used.
    """

    step: Step
    key: StepKey
    urgent: bool = False
    avoid: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()
    may_interfere: bool = False
    may_crash_worker: bool = False
    require_settled: bool = False
    late: bool = False
    remote_cost: float = 0.5
    outlook: Outlook | None = None


def is_urgent(priority: int, step: Step, waited_s: float) -> bool:
    """Tell whether a step may use the capacity reserved for urgent tasks.

    Long-running tasks do not use it at first, whatever their priority: they would fill
    each worker to its last core for minutes, and short urgent tasks would queue behind
    each other. After a long wait they may use it: one that had to leave its worker was
    not running for 20 s although two others had just enough capacity for it.
    """
    if priority != URGENT_PRIORITY:
        return False
    return not step.lasts or waited_s > LONG_RUNNING_WAIT_S


class Obstacle(StrEnum):
    """Why a worker cannot take a task."""

    LABEL = "label"
    SUSPECT = "suspect"
    PROBATION = "probation"
    SPREAD = "spread"
    ROOM = "room"
    LEFTOVER = "leftover"
    NEIGHBOURS = "neighbours"


def find_obstacle(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> Obstacle | None:
    """Return why a worker cannot take one more task of a step, None if it can."""
    step, key = request.step, request.key
    if step.label and step.label not in view.labels:
        return Obstacle.LABEL
    if view.excluded:
        return Obstacle.SUSPECT
    if view.probation or (request.require_settled and view.unlisted):
        return Obstacle.PROBATION
    if step.spread and view.steps.get(key, 0) >= step.spread:
        return Obstacle.SPREAD
    if not _has_capacity(request, view):
        return Obstacle.ROOM
    return _find_filling_obstacle(request, view, model) if step.fills else None


def compute_cost(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    """Return the cost of a worker for a task of a step; the lowest is best."""
    step, racks = request.step, request.racks
    cost = 0.0
    if view.speed < 1.0 and not request.late:
        cost += SLOW_COST + 1 / view.speed - 1
    if step.data_rack and view.rack != step.data_rack:
        cost += request.remote_cost
    if step.same_rack and racks and view.rack not in racks:
        cost += request.remote_cost
    if request.may_crash_worker:
        # Prefer the worker where the least work is lost if it crashes.
        return cost + view.load + (SERVING_AT_RISK_COST if view.serving else 0.0)
    cost += SPREAD_COST * view.steps.get(request.key, 0)
    if not request.urgent and _needs_reserved_share(step, view):
        cost += RESERVED_SHARE_COST
    if step.fills:
        return _add_filling_cost(cost, request, view, model)
    if step.serves_ms:
        return cost + _compute_serving_cost(request, view, model)
    return cost + view.load + (0.0 if view.serving else NON_SERVING_WORKER_COST)


def choose_worker(
    request: PlacementRequest, views: Iterable[WorkerView], model: InterferenceModel
) -> WorkerView | None:
    """Return the best worker for a task, None if it has to wait."""
    eligible = [view for view in views if not find_obstacle(request, view, model)]
    if not eligible:
        return None
    return min(
        eligible,
        key=lambda view: (
            view.node in request.avoid,
            compute_cost(request, view, model),
        ),
    )


class Candidates:
    """A heap of the workers that can take tasks of one step, the cheapest first.

    Equal tasks are placed one after another. Each placement changes only one worker, so
    only that worker's cost is computed again. Scoring all workers for each task would
    block the leader's message handling while it places a burst.

    :ivar obstacles: how many workers cannot take one more task, by reason.
    """

    def __init__(
        self,
        request: PlacementRequest,
        views: Iterable[WorkerView],
        model: InterferenceModel,
    ) -> None:
        self.obstacles: Counter[Obstacle] = Counter()
        self._request = request
        self._model = model
        self._heap: list[tuple[float, int, WorkerView]] = []
        for number, view in enumerate(views):
            self._push_if_eligible(number, view)

    def reserve(self, avoid: frozenset[str]) -> WorkerView | None:
        """Reserve capacity for one task on the best worker.

        :param avoid: nodes used only as a last resort.
        :return: the worker, None if the task has to wait.
        """
        passed = []
        best = None
        while self._heap and best is None:
            entry = heappop(self._heap)
            if entry[2].node in avoid:
                passed.append(entry)
            else:
                best = entry
        if best is None and passed:
            best = passed.pop(0)
        for entry in passed:
            heappush(self._heap, entry)
        if best is None:
            return None
        _, number, view = best
        view.reserve(self._request.key, self._request.step)
        self._push_if_eligible(number, view)
        return view

    def _push_if_eligible(self, number: int, view: WorkerView) -> None:
        obstacle = find_obstacle(self._request, view, self._model)
        if obstacle is not None:
            self.obstacles[obstacle] += 1
            return
        cost = compute_cost(self._request, view, self._model)
        heappush(self._heap, (cost, number, view))


def _has_capacity(request: PlacementRequest, view: WorkerView) -> bool:
    """Tell whether a task's reservation fits; field by field, as this is a hot path."""
    step, whole, used = request.step, view.capacity, view.used
    kept = 0.0 if request.urgent else URGENT_SHARE
    # Filling tasks reserve no processor time, so they also fit where serving tasks have
    # reserved every core, of which they use half.
    if not step.fills:
        limit = whole.cpu_milli - int(whole.cpu_milli * kept)
        # A task that is larger than the limit would never fit, however long it waits.
        if step.size.cpu_milli > limit:
            limit = whole.cpu_milli
        if step.size.cpu_milli > max(0, limit - used.cpu_milli):
            return False
    limit = whole.memory_mib - int(whole.memory_mib * kept)
    if step.size.memory_mib > limit:
        limit = whole.memory_mib
    if step.size.memory_mib > max(0, limit - used.memory_mib):
        return False
    return step.size.accelerators <= max(0, whole.accelerators - used.accelerators)


def _needs_reserved_share(step: Step, view: WorkerView) -> bool:
    """Tell whether a task would take part of the capacity reserved for urgent tasks."""
    size, whole = step.size, view.capacity
    if size.memory_mib > whole.memory_mib - int(whole.memory_mib * URGENT_SHARE):
        return True
    limit = whole.cpu_milli - int(whole.cpu_milli * URGENT_SHARE)
    return not step.fills and size.cpu_milli > limit


def _add_filling_cost(
    cost: float, request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    """Return the cost in seconds with an outlook, in units of load without one."""
    outlook = request.outlook
    if outlook is None:
        return cost + _compute_filling_cost(request, view, model)
    expected_s = outlook.compute_cost(request.step, view)
    if expected_s is not None:
        return outlook.work_s * cost + expected_s
    load = _compute_filling_cost(request, view, model)
    return outlook.work_s * (1 + cost + load)


def _compute_filling_cost(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    asked = view.fill_cpu_milli + request.step.size.cpu_milli
    cost = asked / max(view.leftover_milli, 1)
    if view.serving:
        cost += SERVING_COST + _compute_excess_interference(request, view, model)
    return cost


def _compute_serving_cost(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    # Prefer the fullest worker with enough capacity: interfering tasks cannot use the
    # rest of it, and another worker stays free of serving tasks. Serving tasks of one
    # image tolerate the same filling tasks, so they share workers first.
    image = request.step.image
    cost = model.compute_interference((image,), view.filling) - view.load
    if not view.serving:
        return cost + NEW_SERVING_WORKER_COST
    return cost if image in view.serving else cost + OTHER_IMAGE_COST


def _compute_excess_interference(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    """Return the slack that filling tasks would take beyond the limit with one more.

    The limit is the mean of the average limit and of what the serving tasks can spare
    now: filling tasks run for about half of a load cycle, so they are placed where the
    load is low. It never exceeds what can be spared now by more than a margin:
    otherwise the agent would lower the new task's pace immediately, and the task would
    be moved again.
    """
    image = request.step.image
    if view.interference is None:
        view.interference = {
            serving: model.compute_interference((serving,), view.filling)
            for serving in view.serving
        }
    worst = -MAX_SLACK
    for serving in view.serving:
        limit = MAX_INTERFERENCE
        if serving in view.solo_slack:
            spare = view.solo_slack[serving] - REQUIRED_SLACK
            limit = min((MAX_INTERFERENCE + spare) / 2, spare + SPARE_MARGIN)
        interference = view.interference[serving] + model.get_interference(
            image, serving
        )
        worst = max(worst, interference - limit)
    return worst


def _find_filling_obstacle(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> Obstacle | None:
    asked = view.fill_cpu_milli + request.step.size.cpu_milli
    if view.leftover_milli < MIN_FILL_SHARE * asked and view.fill_cpu_milli:
        return Obstacle.LEFTOVER
    if not view.serving or request.may_interfere:
        return None
    if request.outlook is not None:
        worth = request.outlook.is_worth_starting(request.step, view)
        if worth is not None:
            return None if worth else Obstacle.NEIGHBOURS
    if _compute_excess_interference(request, view, model) > 0:
        return Obstacle.NEIGHBOURS
    return None
