"""Which worker takes a task.

The load that this answers: small urgent tasks arrive all the time while large ones
queue for every core. Large work leaves a part of each worker free, so that urgent work
starts at once instead of waiting for the end of a task or for a preemption.
"""

from __future__ import annotations

from collections.abc import Iterable

from pistachiodeal.jobs.model import Step
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.views import StepKey, WorkerView, reserve_size

# Share of a worker that only the most urgent queues may use. Urgent work takes
# 2 to 6% of the processors of the deployments we know.
URGENT_SHARE = 0.05
# A filling task gets what the others leave. It waits rather than share a worker on
# which that is less than this part of what it asks for.
LEAST_FILL_SHARE = 0.5
# How a rack other than that of the data counts against load (1.0 is a full worker).
REMOTE_COST = 0.5
SUSPECT_COST = 4.0
SERVING_COST = 1.0


def fits(step: Step, key: StepKey, view: WorkerView, urgent: bool) -> bool:
    """Tell whether a worker may take one more task of a step."""
    if step.label and step.label not in view.labels:
        return False
    if step.spread and view.steps.get(key, 0) >= step.spread:
        return False
    free = view.free
    if not urgent:
        free = free - _urgent_room(view.capacity)
    if step.fills and not _has_leftover(step, view):
        return False
    return reserve_size(step).fits(free)


def score(step: Step, key: StepKey, view: WorkerView, racks: frozenset[str]) -> float:
    """Return the cost of a worker for a task of a step; the lowest is best.

    :param racks: racks on which tasks of the step are already.
    """
    cost = view.load + SUSPECT_COST * view.suspect + (view.slowness - 1.0)
    if step.data_rack and view.rack != step.data_rack:
        cost += REMOTE_COST
    if step.same_rack and racks and view.rack not in racks:
        cost += REMOTE_COST
    if step.fills:
        asked = view.fill_cpu_milli + step.size.cpu_milli
        cost += asked / max(view.free.cpu_milli, 1)
        cost += SERVING_COST * view.serving * (0.2 + view.strain)
    if step.lasts:
        cost += 0.1 * view.steps.get(key, 0)
    return cost


def choose_worker(
    step: Step,
    key: StepKey,
    views: Iterable[WorkerView],
    *,
    urgent: bool,
    avoid: frozenset[str] = frozenset(),
    racks: frozenset[str] = frozenset(),
) -> WorkerView | None:
    """Return the best worker for a task, or None when it has to wait.

    :param avoid: nodes on which the task failed before, taken only as a last resort.
    """
    fitting = [view for view in views if fits(step, key, view, urgent)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda view: (view.node in avoid, score(step, key, view, racks)),
    )


def _urgent_room(capacity: Resources) -> Resources:
    return Resources(
        int(capacity.cpu_milli * URGENT_SHARE),
        int(capacity.memory_mib * URGENT_SHARE),
        0,
    )


def _has_leftover(step: Step, view: WorkerView) -> bool:
    asked = view.fill_cpu_milli + step.size.cpu_milli
    return view.free.cpu_milli >= LEAST_FILL_SHARE * asked
