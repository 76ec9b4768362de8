"""Sends heartbeats, changes ownership and runs the partitions of this entry."""

from __future__ import annotations

import random

import curio
from logbook import Logger

from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.ownership import OwnershipPlanner, OwnershipWriter
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.rows import OwnerRow
from pistachiodeal.exceptions import FencedError, StoreError

log = Logger("batch")

RELEASE_TIMEOUT_S = 2.0


class PartitionManager:
    """Sends heartbeats, reads the other entries' rows, takes and hands over partitions.

    Each partition that this entry holds has its own curio task.
    """

    def __init__(self, context: BatchContext) -> None:
        self._context = context
        self._membership = context.membership
        self._planner = OwnershipPlanner(
            context.membership, context.settings.batch.partitions
        )
        self._writer = OwnershipWriter(context.table, context.membership, context.clock)
        self._servers: dict[int, PartitionServer] = {}
        self._tasks: dict[int, curio.Task] = {}
        self._draining = False
        self._round_lock = curio.Lock()

    def servers(self) -> list[PartitionServer]:
        """Return the servers of all held partitions, including those still loading."""
        return list(self._servers.values())

    def list_serving(self) -> list[PartitionServer]:
        """Return the servers of the partitions that are being served."""
        return [server for server in self._servers.values() if server.serving]

    def find_serving(self, partition: int) -> PartitionServer | None:
        """Return the server of a partition if it is being served here."""
        server = self._servers.get(partition)
        return server if server is not None and server.serving else None

    async def run(self) -> None:
        """Run a round every ``beat_s`` seconds."""
        period = self._context.settings.batch.beat_s
        try:
            while not self._draining:
                try:
                    async with self._round_lock:
                        await self.run_once()
                except StoreError as error:
                    log.notice("batch: ownership round failed: {}", error)
                # Jitter, so that entries that were started together do not keep
                # sending heartbeats, reading rows and taking over at the same time.
                await curio.sleep(random.uniform(0.8 * period, 1.2 * period))
        finally:
            await self._cancel_all()

    async def run_once(self) -> None:
        """Send a heartbeat, read the others' rows, then change ownership.

        :raises StoreError: the round ended early.
        """
        if self._draining:
            return
        await self._membership.send_heartbeat(self._context.workers.team_cpu)
        await self._membership.refresh()
        await self._stop_superseded()
        held = {p: server.owner.epoch for p, server in self._servers.items()}
        plan = self._planner.plan(held)
        for partition in plan.hand_over:
            await self._hand_over(partition, self._context.clock() + RELEASE_TIMEOUT_S)
        for partition, seen in plan.take_over:
            row = await self._writer.acquire(partition, seen)
            if row is not None:
                await self._start(row)

    async def drain(self) -> None:
        """Release all partitions, then delete the row of this entry."""
        self._draining = True
        for server in self.servers():
            server.stop_accepting()
        # A round in progress may still take partitions and send a heartbeat. A
        # heartbeat that takes effect after the row was deleted would make the other
        # entries wait for a dead entry.
        async with self._round_lock:
            deadline = self._context.clock() + RELEASE_TIMEOUT_S
            for partition in list(self._servers):
                await self._try_release(partition, deadline)
            await self._membership.deregister()

    async def _try_release(self, partition: int, deadline: float) -> None:
        try:
            await self._hand_over(partition, deadline)
        except StoreError as error:
            log.notice("batch: partition {} not released: {}", partition, error)

    async def _start(self, row: OwnerRow) -> None:
        server = PartitionServer(self._context, row)
        self._servers[row.partition] = server
        self._tasks[row.partition] = await curio.spawn(self._serve, server, daemon=True)

    async def _serve(self, server: PartitionServer) -> None:
        partition = server.owner.partition
        try:
            await server.run()
        except FencedError as error:
            log.notice(
                "batch: partition {} fenced by another owner: {}", partition, error
            )
        except StoreError as error:
            log.notice("batch: partition {} could not be loaded: {}", partition, error)
        except Exception as error:
            log.error("batch: partition {} crashed: {!r}", partition, error)
        finally:
            if self._servers.get(partition) is server:
                del self._servers[partition]

    async def _stop_superseded(self) -> None:
        for partition, server in list(self._servers.items()):
            row = self._membership.owners.get(partition)
            if row is not None and row.epoch > server.owner.epoch:
                log.notice(
                    "batch: partition {} was taken over by another entry", partition
                )
                await self._cancel(partition)

    async def _hand_over(self, partition: int, deadline: float) -> None:
        server = self._servers.get(partition)
        if server is None:
            return
        if not await server.close(deadline):
            log.notice(
                "batch: partition {} released with appends of unknown outcome",
                partition,
            )
        await self._cancel(partition)
        await self._writer.release(server.owner)
        log.notice("batch: partition {} handed over", partition)

    async def _cancel(self, partition: int) -> None:
        task = self._tasks.pop(partition, None)
        if task is not None:
            await task.cancel()

    async def _cancel_all(self) -> None:
        for partition in list(self._tasks):
            await self._cancel(partition)
