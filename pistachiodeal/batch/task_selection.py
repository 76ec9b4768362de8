"""Selects the waiting tasks that a placement round considers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain, zip_longest

from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.events import Failed
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.placement import Level, PendingTask
from pistachiodeal.batch.waiting import LevelKey
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskRecord, TaskSpec

Servers = Mapping[int, PartitionServer]


@dataclass(slots=True)
class SelectedTasks:
    """Tasks that could start, and tasks that fit no worker, by partition.

    :ivar levels: tasks by team, most urgent level first.
    :ivar unplaceable: failures of the tasks that fit no worker, by partition.
    :ivar count: number of tasks in all levels.
    """

    levels: list[Level] = field(default_factory=list)
    unplaceable: dict[int, list[Failed]] = field(default_factory=dict)
    count: int = 0


def select_tasks(
    context: BatchContext, servers: Servers, look_ahead: int
) -> SelectedTasks:
    """Return the first tasks of each team at each level.

    :param look_ahead: maximum number of tasks of a team at a level.
    """
    return _TaskSelector(context, servers, look_ahead).select()


class _TaskSelector:
    def __init__(
        self, context: BatchContext, servers: Servers, look_ahead: int
    ) -> None:
        self._context = context
        self._servers = servers
        self._limit = max(1, look_ahead // max(1, len(servers)))
        self._sizes: dict[tuple[str, str, Resources], Resources] = {}
        self._selected = SelectedTasks()

    def select(self) -> SelectedTasks:
        servers = self._servers.values()
        keys = {key for server in servers for key in server.state.waiting.levels}
        for key in sorted(keys, reverse=True):
            teams = {
                team for server in servers for team in server.state.waiting.teams(key)
            }
            level = {team: self._select_team(key, team) for team in sorted(teams)}
            self._selected.levels.append(level)
        return self._selected

    def _select_team(self, key: LevelKey, team: str) -> list[PendingTask]:
        by_partition = [
            self._iterate_tasks(server, key, team) for server in self._servers.values()
        ]
        # Take tasks from the partitions in turn: otherwise the tasks of the first
        # partition would always go before tasks that wait longer in the others.
        interleaved = chain.from_iterable(zip_longest(*by_partition))
        tasks = [task for task in interleaved if task is not None]
        self._selected.count += len(tasks)
        return tasks

    def _iterate_tasks(
        self, server: PartitionServer, key: LevelKey, team: str
    ) -> Iterator[PendingTask]:
        for task_id in server.state.waiting.list_oldest(key, team, self._limit):
            record = server.state.find(task_id)
            if record is None or server.is_locked(task_id):
                continue
            if self._is_unplaceable(record.spec):
                self._record_unplaceable(server, record)
                continue
            yield self._build(server, record)

    def _is_unplaceable(self, spec: TaskSpec) -> bool:
        workers = self._context.workers
        return workers.startup_complete and not workers.could_fit(spec.declared)

    def _record_unplaceable(self, server: PartitionServer, record: TaskRecord) -> None:
        spec = record.spec
        reason = self._context.workers.explain_misfit(spec.declared)
        failed = Failed(spec.task_id, record.attempt, reason)
        self._selected.unplaceable.setdefault(server.owner.partition, []).append(failed)

    def _build(self, server: PartitionServer, record: TaskRecord) -> PendingTask:
        spec = record.spec
        return PendingTask(
            task_id=spec.task_id,
            partition=server.owner.partition,
            team=spec.team,
            size=self._choose_size(spec),
            share=self._context.find_profile(spec.profile).share,
            failed_workers=tuple(record.failed_workers),
        )

    def _choose_size(self, spec: TaskSpec) -> Resources:
        key = (spec.team, spec.kind, spec.declared)
        size = self._sizes.get(key)
        if size is None:
            size = self._context.sizes.reserve(*key)
            # The learnt size is only a preference: next to the services of every
            # worker it may never fit, while the declared size would.
            if not self._context.workers.could_start(size):
                size = spec.declared
            self._sizes[key] = size
        return size
