"""Runs placement rounds over all partitions that this entry owns."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.events import Placed, RequeueCause, Requeued
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.placement import Placement, PlacementPlanner
from pistachiodeal.batch.protocols import OutgoingMessage, WorkerSession
from pistachiodeal.batch.runs import PlacedRun
from pistachiodeal.batch.task_selection import select_tasks
from pistachiodeal.exceptions import Outcome
from pistachiodeal.wire.messages import Message
from pistachiodeal.wire.task_messages import Start

log = Logger("batch")

MIN_LOOK_AHEAD = 64
MAX_LOOK_AHEAD = 4_096
MAX_OVERDUE = 500
MILLI = 1_000
TASK_START = "task-start/"  # histograms of the time a task waits for its placement


@dataclass(frozen=True, slots=True)
class _PlannedStart:
    run: PlacedRun
    session: WorkerSession | None
    series: str
    waited_s: float


class PlacementLoop:
    """Places waiting tasks and requeues attempts that have definitely ended."""

    def __init__(
        self, context: BatchContext, servers: Callable[[], Sequence[PartitionServer]]
    ) -> None:
        self._context = context
        self._servers = servers
        self._planner = PlacementPlanner(self._is_usable)
        self._look_ahead = MIN_LOOK_AHEAD

    async def run(self) -> None:
        """Run a round every ``place_s`` seconds."""
        period = self._context.settings.batch.place_s
        while True:
            await curio.sleep(random.uniform(0.8 * period, 1.2 * period))
            await self.run_once()

    async def run_once(self) -> None:
        """Requeue overdue attempts, then place the tasks that fit."""
        for server in self._servers():
            if server.may_propose and server.has_authority:
                await self._requeue_overdue(server)
        servers = {
            server.owner.partition: server
            for server in self._servers()
            if server.may_propose and server.has_authority
        }
        if not any(server.state.waiting for server in servers.values()):
            return
        candidates = self._context.workers.list_candidates()
        if not candidates:
            return
        selected = select_tasks(self._context, servers, self._look_ahead)
        placements = self._planner.plan(
            selected.levels,
            candidates,
            self._count_team_cpu(),
            self._quotas(),
            self._context.clock(),
        )
        await self._place(servers, placements)
        for partition, failures in selected.unplaceable.items():
            await servers[partition].propose(failures)
        self._adapt_look_ahead(len(placements), selected.count)

    def _adapt_look_ahead(self, placed: int, selected: int) -> None:
        """Raise the look-ahead while all selected tasks start, else lower it."""
        if placed and placed == selected:
            self._look_ahead = min(2 * self._look_ahead, MAX_LOOK_AHEAD)
        else:
            self._look_ahead = max(self._look_ahead // 2, MIN_LOOK_AHEAD)

    async def _requeue_overdue(self, server: PartitionServer) -> None:
        overdue = [r for r in server.runs.overdue() if not server.is_locked(r.key[0])]
        if not overdue:
            return
        events = [_build_requeued(run) for run in overdue[:MAX_OVERDUE]]
        log.notice(
            "batch: partition {} requeues {} overdue runs",
            server.owner.partition,
            len(events),
        )
        await server.propose(events)

    def _is_usable(self, worker: str) -> bool:
        return self._context.health.usable(worker, self._context.clock())

    def _quotas(self) -> dict[str, int]:
        quotas = self._context.settings.quotas
        return {team: cores * MILLI for team, cores in quotas.items()}

    def _count_team_cpu(self) -> dict[str, int]:
        total = dict(self._context.workers.team_cpu)
        own_node = self._context.membership.own_row.node
        for node, entry in self._context.membership.live_entries().items():
            if node == own_node:
                continue
            for team, cpu in entry.team_cpu.items():
                total[team] = total.get(team, 0) + cpu
        return total

    async def _place(
        self, servers: Mapping[int, PartitionServer], placements: Sequence[Placement]
    ) -> None:
        by_partition: dict[int, list[_PlannedStart]] = {}
        for placement in placements:
            server = servers[placement.task.partition]
            by_partition.setdefault(placement.task.partition, []).append(
                self._reserve(server, placement)
            )
        for partition, planned in by_partition.items():
            await self._propose_placements(servers[partition], planned)

    def _reserve(self, server: PartitionServer, placement: Placement) -> _PlannedStart:
        record = server.state.find(placement.task.task_id)
        assert record is not None
        profile = self._context.find_profile(record.spec.profile)
        placed = Placed(
            record.spec.task_id,
            record.attempt,
            placement.worker,
            placement.task.size,
            int(profile.task_lease_s * MILLI),
        )
        run = server.runs.add(placed, record.spec.team, durable=False)
        return _PlannedStart(
            run,
            self._context.workers.find_session(placement.worker),
            TASK_START + record.spec.profile,
            server.state.waiting.compute_wait_s(record.spec.task_id),
        )

    async def _propose_placements(
        self, server: PartitionServer, planned: Sequence[_PlannedStart]
    ) -> None:
        def finish(outcome: Outcome) -> Sequence[OutgoingMessage]:
            if outcome is not Outcome.RAN:
                for item in planned:
                    server.runs.remove(item.run.placed.task_id)
                return ()
            return [
                out for item in planned for out in self._prepare_start(server, item)
            ]

        events = [item.run.placed for item in planned]
        append = await server.propose(events, finish)
        if append is None:
            finish(Outcome.NOT_RUN)
        else:
            self._context.metrics.count("batch.placed", len(events))

    def _prepare_start(
        self, server: PartitionServer, planned: _PlannedStart
    ) -> Sequence[OutgoingMessage]:
        run, session = planned.run, planned.session
        self._context.histograms.record(run.team, planned.series, planned.waited_s)
        if session is None:
            server.runs.mark_unsent(run)
            return ()
        server.runs.record_start(run, session)
        return (
            OutgoingMessage(
                session,
                lambda: self._build_start(server, run, session),
                lambda: self._mark_unsent(server, run),
            ),
        )

    def _mark_unsent(self, server: PartitionServer, run: PlacedRun) -> None:
        if server.runs.find(run.placed.task_id) is run:
            server.runs.mark_unsent(run)

    def _build_start(
        self, server: PartitionServer, run: PlacedRun, session: WorkerSession
    ) -> Message | None:
        """Return the start, or None if it must no longer be sent."""
        placed = run.placed
        record = server.state.find(placed.task_id)
        beat = self._context.workers.latest_beat(session)
        current = server.runs.find(placed.task_id) is run
        if beat is None or record is None or not current or not server.has_authority:
            return None
        if record.cancel_asked:
            return None
        profile = self._context.find_profile(record.spec.profile)
        return Start(
            task_id=placed.task_id,
            attempt=placed.attempt,
            partition=server.owner.partition,
            epoch=server.owner.epoch,
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
