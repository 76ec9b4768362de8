"""The waiting tasks of a partition, by urgency and team."""

from __future__ import annotations

import time
from collections.abc import Iterator
from itertools import islice

from pistachiodeal.clock import Clock
from pistachiodeal.model.tasks import TaskSpec

LevelKey = tuple[bool, int]


class WaitingTasks:
    """FIFO queues for each level and team; every operation takes O(1)."""

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self._clock = clock
        self._levels: dict[LevelKey, dict[str, dict[str, None]]] = {}
        self._positions: dict[str, tuple[LevelKey, str]] = {}
        self._bytes: dict[str, int] = {}
        self._added_at: dict[str, float] = {}
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._positions)

    @property
    def total_bytes(self) -> int:
        """Return the total size of the payloads of waiting tasks, characters."""
        return self._total_bytes

    @property
    def levels(self) -> set[LevelKey]:
        """Return the levels that have waiting tasks."""
        return set(self._levels)

    def add(self, spec: TaskSpec, urgency: int) -> None:
        """Append a task to the queue of its team."""
        self.remove(spec.task_id)
        level = (spec.urgent, urgency)
        teams = self._levels.setdefault(level, {})
        teams.setdefault(spec.team, {})[spec.task_id] = None
        self._positions[spec.task_id] = (level, spec.team)
        self._bytes[spec.task_id] = len(spec.payload)
        self._added_at[spec.task_id] = self._clock()
        self._total_bytes += len(spec.payload)

    def remove(self, task_id: str) -> None:
        """Remove a task if it is waiting."""
        position = self._positions.pop(task_id, None)
        if position is None:
            return
        self._total_bytes -= self._bytes.pop(task_id)
        del self._added_at[task_id]
        level, team = position
        teams = self._levels[level]
        del teams[team][task_id]
        if not teams[team]:
            del teams[team]
        if not teams:
            del self._levels[level]

    def compute_wait_s(self, task_id: str) -> float:
        """Return how many seconds a task has been waiting, 0 if it is not waiting."""
        now = self._clock()
        return now - self._added_at.get(task_id, now)

    def teams(self, level: LevelKey) -> list[str]:
        """Return the teams that have tasks at a level."""
        return list(self._levels.get(level, ()))

    def list_oldest(self, level: LevelKey, team: str, limit: int) -> Iterator[str]:
        """Return the ids of the oldest tasks of a team at a level."""
        return islice(self._levels.get(level, {}).get(team, ()), limit)
