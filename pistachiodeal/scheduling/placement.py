"""Which worker takes a task.

The load that this answers: small urgent tasks arrive all the time while large ones
queue for every core. Large work leaves a part of each worker free, so that urgent work
starts at once instead of waiting for the end of a task or for a preemption.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from heapq import heappop, heappush

from pistachiodeal.jobs.model import Step
from pistachiodeal.scheduling.interference import (
    MOST_SLACK,
    PRESS_LIMIT,
    InterferenceModel,
)
from pistachiodeal.scheduling.pacing import KEPT_SLACK
from pistachiodeal.scheduling.views import StepKey, WorkerView

# Queues of this priority are urgent.
URGENT_PRIORITY = 0
# A task that lasts waits this long before it takes the room for urgent work. It has to
# be at work within three seconds where there is room for it.
LASTING_PATIENCE_S = 2.0
# Share of a worker that only short work of urgent queues may use.
URGENT_SHARE = 0.05
# A filling task gets what the others leave. It waits rather than share a worker on
# which that is less than this part of what it and its like ask for.
LEAST_FILL_SHARE = 0.8
# What an empty worker costs a serving task, in units of load: serving tasks share few
# workers, so that filling work that would disturb them has the others to itself.
FRESH_COST = 0.5
# A worker whose serving tasks are of one image bears the filling work that this image
# bears; with two images it bears only what both do.
OTHER_IMAGE_COST = 2.0
# What a worker without serving tasks costs other reserved work, for the same reason.
UNSHARED_COST = 0.3
# Slack that a filling task may take beyond what its neighbours have to spare now, as
# figures are off by about as much.
SPARE_MARGIN = 0.1
# What each task of the same step on a worker costs: a worker that fails all it starts
# then takes one attempt of a job's tasks, and not all of them.
SPREAD_COST = 0.05
# Filling work goes beside serving tasks only once the other workers are taken.
SERVING_COST = 0.5
# Where a task that may end its worker would take serving tasks down with it: dearer
# than any load.
EXPOSED_SERVING_COST = 10.0


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task that needs a worker.

    :param urgent: whether it may use the room that is kept for urgent work.
    :param avoid: nodes on which the task failed before, taken only as a last resort.
    :param racks: racks on which tasks of the step are already.
    :param may_interfere: whether it may disturb its neighbours; their agent paces it then.
    :param may_crash_worker: whether it may end its worker.
    :param remote_cost: what a rack other than that of the data, or of the other tasks
        of the step, counts against load (1.0 is a full worker).
    :param require_settled: whether it goes only where all that was ordered is seen at work.
    """

    step: Step
    key: StepKey
    urgent: bool = False
    avoid: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()
    may_interfere: bool = False
    may_crash_worker: bool = False
    require_settled: bool = False
    remote_cost: float = 0.5


def is_urgent(priority: int, step: Step, waited_s: float) -> bool:
    """Tell whether a step may use the room that is kept for urgent work.

    Tasks that last leave it alone at first, whatever their priority: they would fill
    each worker to its last core for minutes, and short urgent tasks would wait for each
    other. A task that waits for long takes it all the same: one that had to leave its
    worker was away for 20 s although two others had just room for it.
    """
    if priority != URGENT_PRIORITY:
        return False
    return not step.lasts or waited_s > LASTING_PATIENCE_S


class Obstacle(StrEnum):
    """Why a worker can't take a task."""

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
    """Return why a worker can't take one more task of a step, None if it can."""
    step, key = request.step, request.key
    if step.label and step.label not in view.labels:
        return Obstacle.LABEL
    if view.excluded:
        return Obstacle.SUSPECT
    if view.probation or (request.require_settled and view.unlisted):
        return Obstacle.PROBATION
    if step.spread and view.steps.get(key, 0) >= step.spread:
        return Obstacle.SPREAD
    if not _has_room(request, view):
        return Obstacle.ROOM
    return _find_filling_obstacle(request, view, model) if step.fills else None


def compute_cost(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    """Return the cost of a worker for a task of a step; the lowest is best."""
    step, racks = request.step, request.racks
    cost = 0.0
    if step.data_rack and view.rack != step.data_rack:
        cost += request.remote_cost
    if step.same_rack and racks and view.rack not in racks:
        cost += request.remote_cost
    if request.may_crash_worker:
        # Where least is lost if it does end the worker.
        return cost + view.load + (EXPOSED_SERVING_COST if view.serving else 0.0)
    cost += SPREAD_COST * view.steps.get(request.key, 0)
    if step.fills:
        return cost + _score_filling(request, view, model)
    if step.serves_ms:
        return cost + _score_serving(request, view, model)
    return cost + view.load + (0.0 if view.serving else UNSHARED_COST)


def choose_worker(
    request: PlacementRequest, views: Iterable[WorkerView], model: InterferenceModel
) -> WorkerView | None:
    """Return the best worker for a task, or None when it has to wait."""
    fitting = [view for view in views if not find_obstacle(request, view, model)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda view: (
            view.node in request.avoid,
            compute_cost(request, view, model),
        ),
    )


class Candidates:
    """The workers that can take tasks of one step, the best first.

    Equal tasks are placed one after another. Each changes one worker only, so only
    that one is weighed again. If each task weighed all workers, the leader would hear
    nobody while it places a burst.

    :ivar obstacles: how many workers can't take one more task, by the reason.
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
            self._weigh(number, view)

    def reserve(self, avoid: frozenset[str]) -> WorkerView | None:
        """Reserve the best worker for one task; None when it has to wait.

        :param avoid: nodes taken only as a last resort.
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
        self._weigh(number, view)
        return view

    def _weigh(self, number: int, view: WorkerView) -> None:
        obstacle = find_obstacle(self._request, view, self._model)
        if obstacle is not None:
            self.obstacles[obstacle] += 1
            return
        cost = compute_cost(self._request, view, self._model)
        heappush(self._heap, (cost, number, view))


def _has_room(request: PlacementRequest, view: WorkerView) -> bool:
    """Tell whether what a task reserves is free; field by field, as it is hot."""
    step, whole, used = request.step, view.capacity, view.used
    kept = 0.0 if request.urgent else URGENT_SHARE
    # Filling work reserves no processor: it finds a worker also while serving tasks
    # have reserved every core, of which they use half.
    if not step.fills:
        free_milli = whole.cpu_milli - used.cpu_milli - int(whole.cpu_milli * kept)
        if step.size.cpu_milli > max(0, free_milli):
            return False
    free_mib = whole.memory_mib - used.memory_mib - int(whole.memory_mib * kept)
    if step.size.memory_mib > max(0, free_mib):
        return False
    return step.size.accelerators <= max(0, whole.accelerators - used.accelerators)


def _score_filling(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    asked = view.fill_cpu_milli + request.step.size.cpu_milli
    cost = asked / max(view.leftover_milli, 1)
    if view.serving:
        cost += SERVING_COST + _find_excess(request, view, model)
    return cost


def _score_serving(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    # The fullest worker that still has room: what is left of it is of no use to work
    # that disturbs, and another worker stays free of serving tasks. Serving tasks of
    # one image bear the same filling work, so they share workers first.
    image = request.step.image
    cost = model.compute_interference((image,), view.filling) - view.load
    if not view.serving:
        return cost + FRESH_COST
    return cost if image in view.serving else cost + OTHER_IMAGE_COST


def _find_excess(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> float:
    """Return by how much a worker's filling tasks, with one more, take too much slack.

    Half of what they may take is what the serving tasks have to spare now: filling
    tasks last for about half of a swing, so they go where a swing is at its low. And it
    is never much more than what they have to spare now: their agent would pace the
    newcomer down at once, and it would be moved again.
    """
    image = request.step.image
    if view.pressed is None:
        view.pressed = {
            serving: model.compute_interference((serving,), view.filling)
            for serving in view.serving
        }
    worst = -MOST_SLACK
    for serving in view.serving:
        limit = PRESS_LIMIT
        if serving in view.solo_slack:
            spare = view.solo_slack[serving] - KEPT_SLACK
            limit = min((PRESS_LIMIT + spare) / 2, spare + SPARE_MARGIN)
        press = view.pressed[serving] + model.get_interference(image, serving)
        worst = max(worst, press - limit)
    return worst


def _find_filling_obstacle(
    request: PlacementRequest, view: WorkerView, model: InterferenceModel
) -> Obstacle | None:
    asked = view.fill_cpu_milli + request.step.size.cpu_milli
    if view.leftover_milli < LEAST_FILL_SHARE * asked and view.fill_cpu_milli:
        return Obstacle.LEFTOVER
    if not view.serving or request.may_interfere:
        return None
    if _find_excess(request, view, model) > 0:
        return Obstacle.NEIGHBOURS
    return None
