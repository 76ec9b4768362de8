"""Collects the tasks that a round of placement looks at."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain, zip_longest

from pistachiodeal.batch.context import HostContext
from pistachiodeal.batch.events import Failed
from pistachiodeal.batch.host import PartitionHost
from pistachiodeal.batch.placement import Level, PendingTask
from pistachiodeal.batch.waiting import Level as LevelKey
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskRecord, TaskSpec

Hosts = Mapping[int, PartitionHost]


@dataclass(slots=True)
class Gathered:
    """Tasks that could start, and those that never can, by partition.

    :ivar levels: most urgent first.
    """

    levels: list[Level] = field(default_factory=list)
    impossible: dict[int, list[Failed]] = field(default_factory=dict)
    count: int = 0


def gather_tasks(context: HostContext, hosts: Hosts, look_ahead: int) -> Gathered:
    """Return the first tasks of each team at each level.

    :param look_ahead: most tasks of a team at a level.
    """
    return _Gatherer(context, hosts, look_ahead).gather()


class _Gatherer:
    def __init__(self, context: HostContext, hosts: Hosts, look_ahead: int) -> None:
        self._context = context
        self._hosts = hosts
        self._limit = max(1, look_ahead // max(1, len(hosts)))
        self._sizes: dict[tuple[str, str, Resources], Resources] = {}
        self._found = Gathered()

    def gather(self) -> Gathered:
        hosts = self._hosts.values()
        keys = {key for host in hosts for key in host.state.waiting.levels}
        for key in sorted(keys, reverse=True):
            teams = {team for host in hosts for team in host.state.waiting.teams(key)}
            level = {team: self._gather_team(key, team) for team in sorted(teams)}
            self._found.levels.append(level)
        return self._found

    def _gather_team(self, key: LevelKey, team: str) -> list[PendingTask]:
        columns = [self._walk(host, key, team) for host in self._hosts.values()]
        # In turn from each partition: otherwise the first one's tasks would always
        # go before those that wait longer in the others.
        mixed = chain.from_iterable(zip_longest(*columns))
        tasks = [task for task in mixed if task is not None]
        self._found.count += len(tasks)
        return tasks

    def _walk(
        self, host: PartitionHost, key: LevelKey, team: str
    ) -> Iterator[PendingTask]:
        for task_id in host.state.waiting.first(key, team, self._limit):
            record = host.state.find(task_id)
            if record is None or host.is_locked(task_id):
                continue
            if self._is_impossible(record.spec):
                self._note_impossible(host, record)
                continue
            yield self._build(host, record)

    def _is_impossible(self, spec: TaskSpec) -> bool:
        workers = self._context.workers
        return workers.settled and not workers.could_fit(spec.declared)

    def _note_impossible(self, host: PartitionHost, record: TaskRecord) -> None:
        spec = record.spec
        reason = self._context.workers.explain_misfit(spec.declared)
        failed = Failed(spec.task_id, record.attempt, reason)
        self._found.impossible.setdefault(host.owner.partition, []).append(failed)

    def _build(self, host: PartitionHost, record: TaskRecord) -> PendingTask:
        spec = record.spec
        return PendingTask(
            task_id=spec.task_id,
            partition=host.owner.partition,
            team=spec.team,
            size=self._reserve(spec),
            share=self._context.find_profile(spec.profile).share,
            failed_workers=tuple(record.failed_workers),
        )

    def _reserve(self, spec: TaskSpec) -> Resources:
        key = (spec.team, spec.kind, spec.declared)
        size = self._sizes.get(key)
        if size is None:
            size = self._context.sizes.reserve(*key)
            # What was learnt is a wish: beside the services of every worker it may
            # never find room, while the declared size would.
            if not self._context.workers.could_start(size):
                size = spec.declared
            self._sizes[key] = size
        return size
