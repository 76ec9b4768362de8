"""Rounds of placement over all partitions that this entry owns."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.batch.context import HostContext
from pistachiodeal.batch.events import Placed, RequeueCause, Requeued
from pistachiodeal.batch.gathering import gather_tasks
from pistachiodeal.batch.host import PartitionHost
from pistachiodeal.batch.placement import Placement, PlacementPlanner
from pistachiodeal.batch.protocols import Outgoing, WorkerSession
from pistachiodeal.batch.runs import PlacedRun
from pistachiodeal.exceptions import Outcome
from pistachiodeal.wire.messages import Message
from pistachiodeal.wire.task_messages import Start

log = Logger("batch")

MIN_LOOK_AHEAD = 64
MAX_LOOK_AHEAD = 4_096
MAX_OVERDUE = 500
MILLI = 1_000
TASK_START = "task-start/"  # histograms of the time from admission to placement


@dataclass(frozen=True, slots=True)
class _Planned:
    run: PlacedRun
    session: WorkerSession | None
    series: str
    waited_s: float


class Placer:
    """Places waiting tasks, and requeues attempts that are over for certain."""

    def __init__(
        self, context: HostContext, hosts: Callable[[], Sequence[PartitionHost]]
    ) -> None:
        self._context = context
        self._hosts = hosts
        self._planner = PlacementPlanner(self._is_usable)
        self._look_ahead = MIN_LOOK_AHEAD

    async def run(self) -> None:
        """Do a round every ``place_s``."""
        period = self._context.settings.batch.place_s
        while True:
            await curio.sleep(random.uniform(0.8 * period, 1.2 * period))
            await self.run_once()

    async def run_once(self) -> None:
        """Requeue what is overdue, then place what fits."""
        for host in self._hosts():
            if host.may_decide and host.has_authority:
                await self._requeue_overdue(host)
        hosts = {
            host.owner.partition: host
            for host in self._hosts()
            if host.may_decide and host.has_authority
        }
        if not any(host.state.waiting for host in hosts.values()):
            return
        rooms = self._context.workers.rooms()
        if not rooms:
            return
        gathered = gather_tasks(self._context, hosts, self._look_ahead)
        placements = self._planner.plan(
            gathered.levels,
            rooms,
            self._count_team_cpu(),
            self._quotas(),
            self._context.clock(),
        )
        await self._place(hosts, placements)
        for partition, failures in gathered.impossible.items():
            await hosts[partition].propose(failures)
        self._adapt(len(placements), gathered.count)

    def _adapt(self, placed: int, gathered: int) -> None:
        """Look further ahead while all that is looked at can start."""
        if placed and placed == gathered:
            self._look_ahead = min(2 * self._look_ahead, MAX_LOOK_AHEAD)
        else:
            self._look_ahead = max(self._look_ahead // 2, MIN_LOOK_AHEAD)

    async def _requeue_overdue(self, host: PartitionHost) -> None:
        overdue = [r for r in host.runs.overdue() if not host.is_locked(r.key[0])]
        if not overdue:
            return
        events = [_build_requeued(run) for run in overdue[:MAX_OVERDUE]]
        log.notice(
            "batch: partition {} requeues {} lost runs",
            host.owner.partition,
            len(events),
        )
        await host.propose(events)

    def _is_usable(self, worker: str) -> bool:
        return self._context.health.usable(worker, self._context.clock())

    def _quotas(self) -> dict[str, int]:
        quotas = self._context.settings.quotas
        return {team: cores * MILLI for team, cores in quotas.items()}

    def _count_team_cpu(self) -> dict[str, int]:
        total = dict(self._context.workers.team_cpu)
        me = self._context.membership.me.node
        for node, entry in self._context.membership.live_entries().items():
            if node == me:
                continue
            for team, cpu in entry.team_cpu.items():
                total[team] = total.get(team, 0) + cpu
        return total

    async def _place(
        self, hosts: Mapping[int, PartitionHost], placements: Sequence[Placement]
    ) -> None:
        by_partition: dict[int, list[_Planned]] = {}
        for placement in placements:
            host = hosts[placement.task.partition]
            by_partition.setdefault(placement.task.partition, []).append(
                self._reserve(host, placement)
            )
        for partition, planned in by_partition.items():
            await self._journal(hosts[partition], planned)

    def _reserve(self, host: PartitionHost, placement: Placement) -> _Planned:
        record = host.state.find(placement.task.task_id)
        assert record is not None
        profile = self._context.find_profile(record.spec.profile)
        placed = Placed(
            record.spec.task_id,
            record.attempt,
            placement.worker,
            placement.task.size,
            int(profile.task_lease_s * MILLI),
        )
        run = host.runs.add(placed, record.spec.team, durable=False)
        return _Planned(
            run,
            self._context.workers.find_session(placement.worker),
            TASK_START + record.spec.profile,
            host.state.waiting.waited(record.spec.task_id),
        )

    async def _journal(self, host: PartitionHost, planned: Sequence[_Planned]) -> None:
        def finish(outcome: Outcome) -> Sequence[Outgoing]:
            if outcome is not Outcome.RAN:
                for item in planned:
                    host.runs.remove(item.run.placed.task_id)
                return ()
            return [out for item in planned for out in self._start(host, item)]

        events = [item.run.placed for item in planned]
        append = await host.propose(events, finish)
        if append is None:
            finish(Outcome.NOT_RUN)
        else:
            self._context.metrics.count("batch.placed", len(events))

    def _start(self, host: PartitionHost, planned: _Planned) -> Sequence[Outgoing]:
        run, session = planned.run, planned.session
        self._context.histograms.record(run.team, planned.series, planned.waited_s)
        if session is None:
            host.runs.note_unsent(run)
            return ()
        host.runs.note_start(run, session)
        return (
            Outgoing(
                session,
                lambda: self._build_start(host, run, session),
                lambda: self._note_unsent(host, run),
            ),
        )

    def _note_unsent(self, host: PartitionHost, run: PlacedRun) -> None:
        if host.runs.find(run.placed.task_id) is run:
            host.runs.note_unsent(run)

    def _build_start(
        self, host: PartitionHost, run: PlacedRun, session: WorkerSession
    ) -> Message | None:
        """Return the start, unless authority, session or task has gone since."""
        placed = run.placed
        record = host.state.find(placed.task_id)
        beat = self._context.workers.latest_beat(session)
        current = host.runs.find(placed.task_id) is run
        if beat is None or record is None or not current or not host.has_authority:
            return None
        if record.cancel_asked:
            return None
        profile = self._context.find_profile(record.spec.profile)
        return Start(
            task_id=placed.task_id,
            attempt=placed.attempt,
            partition=host.owner.partition,
            epoch=host.owner.epoch,
            beat=beat,
            lease_ms=placed.lease_ms,
            kind=record.spec.kind,
            profile=record.spec.profile,
            size=placed.size,
            payload=record.spec.payload,
            checkpoint=record.checkpoint,
            min_run_ms=int(profile.min_run_s * MILLI),
            evictions=record.evictions,
        )


def _build_requeued(run: PlacedRun) -> Requeued:
    if run.never_started:
        return Requeued(*run.key, RequeueCause.REFUSED, reason="was not started")
    return Requeued(*run.key, RequeueCause.LOST, reason="its worker is out of reach")
