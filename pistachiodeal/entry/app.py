"""The running entry process and its shutdown sequence."""

from __future__ import annotations

import time
from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.claims.manager import ClaimManager
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.entry.dispatch import Dispatcher
from pistachiodeal.entry.links import LinkServer
from pistachiodeal.entry.protocols import TaskService
from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.histograms import Histograms
from pistachiodeal.supervisor import Supervisor
from pistachiodeal.web.server import WebServer

log = Logger("entry")

CLAIM_FLUSH_TIMEOUT_S = 1.0
BATCH_DRAIN_SHARE = 0.3


@dataclass(slots=True)
class EntryApp:
    """A running entry; created by :func:`open_entry`."""

    settings: EntrySettings
    supervisor: Supervisor
    web: WebServer
    links: LinkServer
    batch: TaskService
    claims: ClaimManager
    dispatcher: Dispatcher
    histograms: Histograms
    draining: bool = False

    @property
    def in_flight(self) -> int:
        """Return how many interactive requests have no answer yet."""
        return self.dispatcher.in_flight

    async def run(self) -> None:
        """Serve until cancelled.

        :raises PistachiodealError: a child failed too often.
        """
        await self.supervisor.run()

    async def drain(self) -> bool:
        """Hand over this entry's partitions and finish the requests in flight.

        :returns: False when requests were still open at the end of ``drain_s``.
        """
        self.draining = True
        until = time.monotonic() + self.settings.drain_s
        log.notice("entry: draining, {} requests in flight", self.in_flight)
        await self._drain_batch(self.settings.drain_s * BATCH_DRAIN_SHARE)
        await self.links.send_goodbye("entry is leaving")
        drained = await self.web.drain(max(0.0, until - time.monotonic()))
        if not drained:
            log.warning("entry: time is up, {} requests cut", self.in_flight)
        if not await self.claims.flush(CLAIM_FLUSH_TIMEOUT_S):
            log.warning(
                "entry: {} claims were not closed in the store", self.claims.pending
            )
        return drained

    def write_histograms(self) -> None:
        """Write the histograms to the configured file, if there is one."""
        path = self.settings.histogram_file
        if not path:
            return
        try:
            self.histograms.write(path)
        except OSError as error:
            log.error("entry: histograms not written: {!r}", error)

    async def _drain_batch(self, seconds: float) -> None:
        # The hand-over needs the table, which may be down. It gets only a share of
        # the drain time, because requests in flight need the rest.
        try:
            async with curio.ignore_after(seconds) as limit:
                await self.batch.drain()
            if limit.expired:
                log.warning("entry: partitions not handed over in {:.1f} s", seconds)
        except PistachiodealError as error:
            log.warning("entry: partitions not handed over: {}", error)
