"""Periodic reports to entries: the agent's heartbeat and its worker's free capacity."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

import curio

from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.messages import Message, Report, ServiceLoad
from pistachiodeal.wire.task_messages import TaskRef

BEATS_PER_SECOND = 1_000_000


class Capacity(Protocol):
    """The ledger, as far as reports use it."""

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""


class TaskView(Protocol):
    """The task manager, as far as reports use it."""

    @property
    def ledger(self) -> Capacity:
        """Return the ledger."""

    @property
    def room(self) -> Resources:
        """Return the resources available to new tasks."""

    def record_beat(self, beat: int, sent_at: float) -> None:
        """Record when a beat is sent."""

    def list_refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        """Return references to the runs of these partitions."""


class LinkSender(Protocol):
    """The link manager, as far as reports use it."""

    @property
    def links(self) -> list[Link]:
        """Return the open links."""

    async def send(self, link: Link, message: Message) -> bool:
        """Send on one link; False if it is closed or blocked."""


class Reporter:
    """Sends a report on every link periodically, each round with a new beat.

    A beat is the sequence number of a heartbeat; owners grant leases for it.

    :ivar draining: report that this worker accepts no new work.
    """

    def __init__(
        self,
        report_s: float,
        *,
        tasks: TaskView,
        list_loads: Callable[[], Iterable[ServiceLoad]],
        directory: MergedDirectory,
        links: LinkSender,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.draining = False
        self._report_s = report_s
        self._tasks = tasks
        self._list_loads = list_loads
        self._directory = directory
        self._links = links
        self._clock = clock
        # A late Renew or Start may still answer a beat of an earlier agent process
        # on this worker. If this process reused that number, the message would
        # extend a lease from a beat that it never answered. So beats start from
        # the host's monotonic clock, which is past all earlier beats.
        self._beat = int(clock() * BEATS_PER_SECOND)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self.report()
            await curio.sleep(self._report_s)

    async def report(self) -> None:
        """Send one report on all links."""
        beat = self._next_beat()
        for link in self._links.links:
            await self._links.send(link, self._build_report(beat, link))

    async def send_first_report(self, link: Link) -> None:
        """Send a report on a new link, without waiting for the next round."""
        await self._links.send(link, self._build_report(self._next_beat(), link))

    def _next_beat(self) -> int:
        """Return the next beat; leases granted for it start now."""
        self._beat += 1
        self._tasks.record_beat(self._beat, self._clock())
        return self._beat

    def _build_report(self, beat: int, link: Link) -> Report:
        partitions = self._directory.list_partitions(link.peer.node)
        return Report(
            beat=beat,
            draining=self.draining,
            capacity=self._tasks.ledger.capacity,
            free=self._tasks.room.elementwise_max(Resources()),
            services=tuple(self._list_loads()),
            tasks=self._tasks.list_refs(partitions),
        )
