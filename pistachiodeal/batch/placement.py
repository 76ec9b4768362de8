"""Plans which waiting tasks start on which workers, without any I/O.

Urgent tasks go first, then tasks by the urgency of their profile. Within a level
the team that holds the fewest cores in proportion to its share is next: weighted
max-min fairness as in Ghodsi et al., "Dominant Resource Fairness", with processors
as the only resource.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from pistachiodeal.model.resources import Resources

RESERVE_AFTER_S = 10.0
MAX_MISFITS = 16


@dataclass(frozen=True, slots=True)
class PendingTask:
    """A waiting task that could start now.

    :param size: resources to reserve, the larger of declared and learnt.
    :param share: weight of its team at this level.
    :param failed_workers: workers where it failed before; others are tried first.
    """

    task_id: str
    partition: int
    team: str
    size: Resources
    share: int = 1
    failed_workers: tuple[str, ...] = ()


@dataclass(slots=True)
class WorkerCandidate:
    """A worker that can be given tasks.

    :param free: free resources, less what was placed since the last report.
    :param teams: number of runs that this owner placed there, by team.
    """

    worker: str
    data_centre: str
    rack: str
    capacity: Resources
    free: Resources
    teams: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the worker on which it starts."""

    task: PendingTask
    worker: str


Level = Mapping[str, Sequence[PendingTask]]


class PlacementPlanner:
    """Plans placements; its only state is which task is blocked and since when.

    :param usable: called just before a worker is chosen; returns False for a worker
        in quarantine, on which tasks fail that finish elsewhere.
    """

    def __init__(self, usable: Callable[[str], bool]) -> None:
        self._usable = usable
        self._blocked_id = ""
        self._blocked_since = 0.0

    def plan(
        self,
        levels: Sequence[Level],
        candidates: Sequence[WorkerCandidate],
        team_cpu: Mapping[str, int],
        quotas: Mapping[str, int],
        now: float,
    ) -> list[Placement]:
        """Return the placements to make now.

        :param levels: waiting tasks by team, most urgent level first.
        :param team_cpu: thousandths of cores that each team already holds.
        :param quotas: thousandths of cores that a team may hold; teams without a
            quota have no limit.
        :param now: monotonic clock, seconds.
        """
        plan = _Plan(list(candidates), dict(team_cpu), quotas, self._usable)
        for level in levels:
            plan.place_level(level)
            if plan.blocked_task is not None:
                self._reserve_for_blocked(plan, now)
        if plan.blocked_task is None:
            self._blocked_id = ""
        return plan.placements

    def _reserve_for_blocked(self, plan: _Plan, now: float) -> None:
        # Small tasks would otherwise take all capacity that becomes free, and a large
        # task would wait for ever. After a while one worker is reserved for it.
        assert plan.blocked_task is not None
        if plan.blocked_task.task_id != self._blocked_id:
            self._blocked_id = plan.blocked_task.task_id
            self._blocked_since = now
        if now - self._blocked_since >= RESERVE_AFTER_S:
            plan.reserve_worker(plan.blocked_task)


class _Plan:
    def __init__(
        self,
        candidates: list[WorkerCandidate],
        team_cpu: dict[str, int],
        quotas: Mapping[str, int],
        usable: Callable[[str], bool],
    ) -> None:
        self._candidates = candidates
        self._team_cpu = team_cpu
        self._quotas = quotas
        self._usable = usable
        self._misfits: list[Resources] = []
        self._runs_by_rack: Counter[tuple[str, str, str]] = Counter()
        for candidate in candidates:
            for team, count in candidate.teams.items():
                self._runs_by_rack[team, candidate.data_centre, candidate.rack] += count
                self._runs_by_rack[team, candidate.data_centre, ""] += count
        self.placements: list[Placement] = []
        self.blocked_task: PendingTask | None = None

    def place_level(self, level: Level) -> None:
        """Place the tasks of a level in fair-share order."""
        queues = {team: deque(tasks) for team, tasks in level.items() if tasks}
        order = [(self._rank(tasks[0]), team) for team, tasks in queues.items()]
        heapq.heapify(order)
        while order:
            _, team = heapq.heappop(order)
            queue = queues[team]
            self._place_next(queue)
            if queue:
                heapq.heappush(order, (self._rank(queue[0]), team))

    def reserve_worker(self, task: PendingTask) -> None:
        """Remove the large enough worker with the most free resources from the plan."""
        large_enough = [
            candidate
            for candidate in self._candidates
            if task.size.fits(candidate.capacity)
        ]
        if not large_enough:
            return
        self._candidates.remove(max(large_enough, key=_compute_free_share))

    def _rank(self, task: PendingTask) -> float:
        return self._team_cpu.get(task.team, 0) / task.share

    def _place_next(self, queue: deque[PendingTask]) -> None:
        """Place the first task of a team that fits; skip those before it this round."""
        while queue:
            task = queue.popleft()
            if self._over_quota(task):
                continue
            candidate = self._choose_candidate(task)
            if candidate is not None:
                self._assign(task, candidate)
                return
            self.blocked_task = self.blocked_task or task

    def _over_quota(self, task: PendingTask) -> bool:
        quota = self._quotas.get(task.team)
        held = self._team_cpu.get(task.team, 0)
        return quota is not None and held + task.size.cpu_milli > quota

    def _choose_candidate(self, task: PendingTask) -> WorkerCandidate | None:
        if any(misfit.fits(task.size) for misfit in self._misfits):
            return None
        fitting = [
            candidate
            for candidate in self._candidates
            if task.size.fits(candidate.free)
        ]
        if not fitting:
            if len(self._misfits) < MAX_MISFITS:
                self._misfits.append(task.size)
            return None
        untried = [
            candidate
            for candidate in fitting
            if candidate.worker not in task.failed_workers
        ]
        known = {candidate.worker for candidate in self._candidates}
        if not untried and known.difference(task.failed_workers):
            return None
        for candidate in sorted(untried or fitting, key=lambda c: self._score(task, c)):
            if self._usable(candidate.worker):
                return candidate
        return None

    def _score(
        self, task: PendingTask, candidate: WorkerCandidate
    ) -> tuple[int, int, float]:
        return (
            self._runs_by_rack[task.team, candidate.data_centre, ""],
            self._runs_by_rack[task.team, candidate.data_centre, candidate.rack],
            -_compute_free_share(candidate),
        )

    def _assign(self, task: PendingTask, candidate: WorkerCandidate) -> None:
        candidate.free = candidate.free - task.size
        held = self._team_cpu.get(task.team, 0)
        self._team_cpu[task.team] = held + task.size.cpu_milli
        self._runs_by_rack[task.team, candidate.data_centre, candidate.rack] += 1
        self._runs_by_rack[task.team, candidate.data_centre, ""] += 1
        self.placements.append(Placement(task, candidate.worker))


def _compute_free_share(candidate: WorkerCandidate) -> float:
    """Return the free share of the worker's scarcer resource."""
    cpu = candidate.free.cpu_milli / max(1, candidate.capacity.cpu_milli)
    memory = candidate.free.memory_mib / max(1, candidate.capacity.memory_mib)
    return min(cpu, memory)
