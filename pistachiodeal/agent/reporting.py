"""Reports to the entries: the agent's heartbeat, and what its worker can take."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

import curio

from pistachiodeal.agent.directory import AgentDirectory
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.messages import Message, Report, ServiceLoad
from pistachiodeal.wire.task_messages import TaskRef

BEATS_PER_SECOND = 1_000_000


class Capacity(Protocol):
    """The part of the ledger that reports need."""

    @property
    def capacity(self) -> Resources:
        """Return what the worker has in all."""


class TaskView(Protocol):
    """The part of the task keeper that reports need."""

    @property
    def ledger(self) -> Capacity:
        """Return the ledger."""

    @property
    def room(self) -> Resources:
        """Return what may be promised to tasks now."""

    def note_beat(self, beat: int, sent_at: float) -> None:
        """Remember when a beat was sent."""

    def refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        """Return the runs of these partitions."""


class LinkSender(Protocol):
    """The part of the link keeper that reports need."""

    @property
    def links(self) -> list[Link]:
        """Return the open links."""

    async def send(self, link: Link, message: Message) -> bool:
        """Send on one link; False when it takes nothing."""


class Reporter:
    """Sends a report on every link, each time with the next beat.

    :ivar draining: say that this worker takes nothing new.
    """

    def __init__(
        self,
        report_s: float,
        *,
        tasks: TaskView,
        list_loads: Callable[[], Iterable[ServiceLoad]],
        directory: AgentDirectory,
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
        # Beats of an earlier agent on this worker may still come back with a
        # late Renew or Start. Had this one the same numbers, such a message
        # would extend a lease from a beat that was never sent; so numbers
        # start from the host's clock, which is past all earlier ones.
        self._beat = int(clock() * BEATS_PER_SECOND)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self.report()
            await curio.sleep(self._report_s)

    async def report(self) -> None:
        """Send one report on all links."""
        beat = self._take_beat()
        for link in self._links.links:
            await self._links.send(link, self._build_report(beat, link))

    async def greet(self, link: Link) -> None:
        """Send a report on a link that is new, ahead of the next round."""
        await self._links.send(link, self._build_report(self._take_beat(), link))

    def _take_beat(self) -> int:
        """Return the next beat; leases granted with it count from now."""
        self._beat += 1
        self._tasks.note_beat(self._beat, self._clock())
        return self._beat

    def _build_report(self, beat: int, link: Link) -> Report:
        partitions = self._directory.list_partitions(link.peer.node)
        return Report(
            beat=beat,
            draining=self.draining,
            capacity=self._tasks.ledger.capacity,
            free=self._tasks.room.elementwise_max(Resources()),
            services=tuple(self._list_loads()),
            tasks=self._tasks.refs(partitions),
        )
