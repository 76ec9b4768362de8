"""Which waiting tasks start on which workers; no input or output here.

Urgent tasks go first, then the profiles' urgency; within a level the team that
holds the least for its share is next (max-min fairness with weights, as in
Ghodsi et al., "Dominant Resource Fairness", with processors as the resource).
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from pistachiodeal.model.resources import Resources

HOLD_S = 10.0
MISFITS = 16


@dataclass(frozen=True, slots=True)
class PendingTask:
    """A task that could start now.

    :param size: what is to be reserved, the larger of declared and learnt.
    :param share: weight of its team at this level.
    :param failed_workers: where it failed before; others are tried first.
    """

    task_id: str
    partition: int
    team: str
    size: Resources
    share: int = 1
    failed_workers: tuple[str, ...] = ()


@dataclass(slots=True)
class WorkerCandidate:
    """Room on a worker, less what was placed since its last report.

    :param teams: runs of each team which this owner placed there.
    """

    worker: str
    data_centre: str
    rack: str
    capacity: Resources
    room: Resources
    teams: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the worker where it is to start."""

    task: PendingTask
    worker: str


Level = Mapping[str, Sequence[PendingTask]]


class PlacementPlanner:
    """Plans placements; remembers only which task has waited in front.

    :param usable: asked just before a worker is chosen; False when it is set
        aside because it fails what others finish.
    """

    def __init__(self, usable: Callable[[str], bool]) -> None:
        self._usable = usable
        self._front = ""
        self._front_since = 0.0

    def plan(
        self,
        levels: Sequence[Level],
        rooms: Sequence[WorkerCandidate],
        team_cpu: Mapping[str, int],
        quotas: Mapping[str, int],
        now: float,
    ) -> list[Placement]:
        """Return what to place now.

        :param levels: waiting tasks by team, most urgent level first.
        :param team_cpu: thousandths of cores that each team holds already.
        :param quotas: thousandths of cores a team may hold; others have no limit.
        """
        plan = _Plan(list(rooms), dict(team_cpu), quotas, self._usable)
        for level in levels:
            plan.place_level(level)
            if plan.front is not None:
                self._guard_front(plan, now)
        if plan.front is None:
            self._front = ""
        return plan.placements

    def _guard_front(self, plan: _Plan, now: float) -> None:
        # Small tasks would otherwise take every piece of room that comes free, and
        # a large one would wait for ever: after a while one worker is kept for it.
        assert plan.front is not None
        if plan.front.task_id != self._front:
            self._front = plan.front.task_id
            self._front_since = now
        if now - self._front_since >= HOLD_S:
            plan.hold_worker(plan.front)


class _Plan:
    def __init__(
        self,
        rooms: list[WorkerCandidate],
        team_cpu: dict[str, int],
        quotas: Mapping[str, int],
        usable: Callable[[str], bool],
    ) -> None:
        self._rooms = rooms
        self._team_cpu = team_cpu
        self._quotas = quotas
        self._usable = usable
        self._misfits: list[Resources] = []
        self._racks: Counter[tuple[str, str, str]] = Counter()
        for room in rooms:
            for team, count in room.teams.items():
                self._racks[team, room.data_centre, room.rack] += count
                self._racks[team, room.data_centre, ""] += count
        self.placements: list[Placement] = []
        self.front: PendingTask | None = None

    def place_level(self, level: Level) -> None:
        """Place the tasks of a level in the order of fair shares."""
        queues = {team: deque(tasks) for team, tasks in level.items() if tasks}
        order = [(self._rank(tasks[0]), team) for team, tasks in queues.items()]
        heapq.heapify(order)
        while order:
            _, team = heapq.heappop(order)
            queue = queues[team]
            self._place_next(queue)
            if queue:
                heapq.heappush(order, (self._rank(queue[0]), team))

    def hold_worker(self, task: PendingTask) -> None:
        """Keep the worker that comes closest to holding the task out of the plan."""
        able = [room for room in self._rooms if task.size.fits(room.capacity)]
        if not able:
            return
        self._rooms.remove(max(able, key=_weigh_room))

    def _rank(self, task: PendingTask) -> float:
        return self._team_cpu.get(task.team, 0) / task.share

    def _place_next(self, queue: deque[PendingTask]) -> None:
        """Place the team's first task that can be placed, dropping those before."""
        while queue:
            task = queue.popleft()
            if self._over_quota(task):
                continue
            room = self._choose(task)
            if room is not None:
                self._take(task, room)
                return
            self.front = self.front or task

    def _over_quota(self, task: PendingTask) -> bool:
        quota = self._quotas.get(task.team)
        held = self._team_cpu.get(task.team, 0)
        return quota is not None and held + task.size.cpu_milli > quota

    def _choose(self, task: PendingTask) -> WorkerCandidate | None:
        if any(misfit.fits(task.size) for misfit in self._misfits):
            return None
        fitting = [room for room in self._rooms if task.size.fits(room.room)]
        if not fitting:
            if len(self._misfits) < MISFITS:
                self._misfits.append(task.size)
            return None
        fresh = [room for room in fitting if room.worker not in task.failed_workers]
        known = {room.worker for room in self._rooms}
        if not fresh and known.difference(task.failed_workers):
            return None
        for room in sorted(fresh or fitting, key=lambda r: self._score(task, r)):
            if self._usable(room.worker):
                return room
        return None

    def _score(
        self, task: PendingTask, room: WorkerCandidate
    ) -> tuple[int, int, float]:
        return (
            self._racks[task.team, room.data_centre, ""],
            self._racks[task.team, room.data_centre, room.rack],
            -_weigh_room(room),
        )

    def _take(self, task: PendingTask, room: WorkerCandidate) -> None:
        room.room = room.room - task.size
        held = self._team_cpu.get(task.team, 0)
        self._team_cpu[task.team] = held + task.size.cpu_milli
        self._racks[task.team, room.data_centre, room.rack] += 1
        self._racks[task.team, room.data_centre, ""] += 1
        self.placements.append(Placement(task, room.worker))


def _weigh_room(room: WorkerCandidate) -> float:
    """Return the free share of a worker's scarcer resource."""
    cpu = room.room.cpu_milli / max(1, room.capacity.cpu_milli)
    memory = room.room.memory_mib / max(1, room.capacity.memory_mib)
    return min(cpu, memory)
