"""Chooses runs of expired jobs that make room for jobs that can still be in time.

Load: for seconds to minutes more heavy work arrives than the workers complete. Jobs
that can't have any value any more keep their workers, and jobs that would be in time
wait behind them until they are late as well.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from pistachiodeal.jobs.model import Step
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import PlacementRequest, find_obstacle
from pistachiodeal.scheduling.views import StepKey, WorkerView

# Limits the work that a wrong estimate of expiry can cost, and the orders to agents.
MAX_STOPS_PER_ROUND = 8
MAX_STOPS_PER_S = 32
# A run that is stopped again at once has only moved, and has worked for nothing.
YIELD_PAUSE_S = 3.0
# A task that yielded and has not advanced since may not be stopped again after this
# long, so that an accepted job always ends.
PROTECTED_AFTER_S = 30.0
# A task without checkpoints that has reached this percentage soon leaves by itself.
MAX_RESTART_PERCENT = 40


@dataclass(frozen=True, slots=True)
class ExpiredRun:
    """A run of a job that can't have any value any more.

    :param priority: priority of its queue.
    :param percent: share of its work that is done.
    :param expected_s: expected duration of the task at full speed.
    """

    task: str
    key: StepKey
    step: Step
    priority: int
    percent: int
    expected_s: float

    def compute_loss(self, move_s: float) -> float:
        """Return the core-seconds that are lost if it is stopped.

        :param move_s: for how long a moved task is not running, in seconds.
        """
        done_s = 0.0 if self.step.checkpoints else self.expected_s * self.percent / 100
        return (done_s + move_s) * self.step.size.cpu_milli / 1000

    @property
    def stoppable(self) -> bool:
        """Tell whether it may be stopped without undue loss.

        If one member of a gang is stopped, all members lose their work.
        """
        if self.step.lasts or self.step.gang:
            return False
        return self.step.checkpoints or self.percent < MAX_RESTART_PERCENT


@dataclass(frozen=True, slots=True)
class RoomSeeker:
    """A waiting task of a job that would be in time and found no worker.

    :param priority: priority of its queue.
    :param avoid: nodes on which it failed before.
    """

    request: PlacementRequest
    priority: int
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class YieldingRoom:
    """A worker with runs that may yield.

    :param view: its state once the runs that are being stopped have ended.
    :param runs: runs that may yield, with the loss of each, the cheapest first.
    :param promised: whether the view counts on stops that are under way.
    :param emptied: the view without the runs that yield to a priority, by priority.
    """

    view: WorkerView
    runs: list[tuple[float, ExpiredRun]]
    promised: bool = False
    emptied: dict[int, WorkerView] = field(default_factory=dict)

    @property
    def least_loss(self) -> float:
        """Return a lower bound of what the room on this worker costs."""
        return self.runs[0][0] if self.runs and not self.promised else 0.0

    def list_runs(self, priority: int) -> list[tuple[float, ExpiredRun]]:
        """Return the runs that may yield to a task of a priority."""
        return [entry for entry in self.runs if entry[1].priority >= priority]

    def get_emptied(self, priority: int) -> WorkerView:
        """Return the worker as it would be without all these runs."""
        if priority not in self.emptied:
            runs = [run for _, run in self.list_runs(priority)]
            self.emptied[priority] = _remove(self.view, runs)
        return self.emptied[priority]

    def commit(self, seeker: RoomSeeker, stopped: Sequence[ExpiredRun]) -> None:
        """Record that runs are stopped, and that their room is for a task."""
        self.view = _remove(self.view, stopped)
        self.view.reserve(seeker.request.key, seeker.request.step)
        self.runs = [entry for entry in self.runs if entry[1] not in stopped]
        self.promised |= bool(stopped)
        self.emptied.clear()


def choose_yielding(
    seeker: RoomSeeker,
    rooms: Iterable[YieldingRoom],
    model: InterferenceModel,
    *,
    limit: int,
) -> tuple[YieldingRoom, list[ExpiredRun]] | None:
    """Return the worker and its runs whose stop costs least and makes room for a task.

    :param limit: the most runs that may be stopped.
    :return: the worker and its runs, none of them if runs that are being stopped leave
        enough room; None if no worker has enough.
    """
    best: tuple[YieldingRoom, list[ExpiredRun]] | None = None
    best_loss = float("inf")
    for room in sorted(rooms, key=lambda one: one.least_loss):
        if room.least_loss >= best_loss:
            break
        if room.view.node in seeker.avoid:
            continue
        if find_obstacle(seeker.request, room.get_emptied(seeker.priority), model):
            continue
        chosen = _choose_runs(seeker, room, model)
        loss = sum(cost for cost, _ in chosen)
        if len(chosen) <= limit and loss < best_loss:
            best, best_loss = (room, [run for _, run in chosen]), loss
    return best


@dataclass(slots=True)
class _Yielded:
    """When a task yielded last, and since when it has not advanced."""

    stopped_at: float
    advanced_at: float
    percent: int


class YieldHistory:
    """Bounds how often runs are stopped. Times are seconds of the boot clock."""

    def __init__(self) -> None:
        self._tasks: dict[str, _Yielded] = {}
        self._stops: deque[float] = deque()

    def get_budget(self, now: float) -> int:
        """Return how many runs may be stopped in a round that begins now."""
        while self._stops and now - self._stops[0] >= 1.0:
            self._stops.popleft()
        return min(MAX_STOPS_PER_ROUND, MAX_STOPS_PER_S - len(self._stops))

    def allows(self, run: ExpiredRun, now: float) -> bool:
        """Tell whether a run may be stopped in view of its earlier stops."""
        known = self._tasks.get(run.task)
        if known is None:
            return True
        if now - known.stopped_at < YIELD_PAUSE_S:
            return False
        return _advanced(run, known) or now - known.advanced_at < PROTECTED_AFTER_S

    def record_stop(self, run: ExpiredRun, now: float) -> None:
        """Record that a run is stopped."""
        self._stops.append(now)
        known = self._tasks.get(run.task)
        if known is None or _advanced(run, known):
            self._tasks[run.task] = _Yielded(now, now, run.percent)
        else:
            known.stopped_at = now

    def retain(self, job_ids: Iterable[str]) -> None:
        """Forget the tasks of all jobs but these."""
        kept = frozenset(job_ids)
        self._tasks = {
            task: known
            for task, known in self._tasks.items()
            if task.split(".", 1)[0] in kept
        }


def _advanced(run: ExpiredRun, known: _Yielded) -> bool:
    """Tell whether a run has saved more progress than at its last stop.

    Whole percents only: progress as small as any would allow stops without end.
    """
    return run.step.checkpoints and run.percent > known.percent


def _choose_runs(
    seeker: RoomSeeker, room: YieldingRoom, model: InterferenceModel
) -> list[tuple[float, ExpiredRun]]:
    """Return runs that suffice together, none of which could stay."""
    chosen: list[tuple[float, ExpiredRun]] = []
    trial = room.view.copy()
    for entry in room.list_runs(seeker.priority):
        if not find_obstacle(seeker.request, trial, model):
            break
        chosen.append(entry)
        trial.release(entry[1].key, entry[1].step)
    for entry in reversed(chosen[:-1]):
        run = entry[1]
        trial.reserve(run.key, run.step)
        if find_obstacle(seeker.request, trial, model):
            trial.release(run.key, run.step)
        else:
            chosen.remove(entry)
    return chosen


def _remove(view: WorkerView, runs: Iterable[ExpiredRun]) -> WorkerView:
    copy = view.copy()
    for run in runs:
        copy.release(run.key, run.step)
    return copy
