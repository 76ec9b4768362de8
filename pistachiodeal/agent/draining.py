"""Graceful shutdown of the agent, which lets requests in flight finish."""

from __future__ import annotations

import time

import curio
import logbook

from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskManager

GOODBYE_GRACE_S = 1.0

log = logbook.Logger("agent")


class Drainer:
    """Accepts no new work and waits for open requests; batch tasks keep running.

    The tasks end with their leases unless a restarted agent adopts them.

    :param limit: seconds after which requests that are still open are abandoned.
    """

    def __init__(
        self,
        limit: float,
        *,
        requests: RequestHandler,
        tasks: TaskManager,
        links: LinkManager,
        reporter: Reporter,
    ) -> None:
        self._limit = limit
        self._requests = requests
        self._tasks = tasks
        self._links = links
        self._reporter = reporter
        self._draining = False

    @property
    def draining(self) -> bool:
        """Return whether the agent accepts no new work."""
        return self._draining

    async def drain(self, leave: bool) -> bool:
        """Drain; return False if requests were still open at the time limit.

        :param leave: the worker is decommissioned, so its tasks are evicted too.
        """
        started = time.monotonic()
        self._draining = True
        self._reporter.draining = True
        self._requests.start_draining()
        self._tasks.stop_accepting()
        log.notice("agent: draining, {} requests open", self._requests.open_count)
        await self._links.send_goodbye("draining")
        await self._reporter.report()
        eviction = await curio.spawn(self._evict_tasks, leave, daemon=True)
        # Requests that entries sent before they read the goodbye are still in
        # transit. If the links closed now, their callers would get the outcome
        # "unknown"; during this grace period they get a refusal instead.
        await curio.sleep(min(GOODBYE_GRACE_S, self._limit))
        left = self._limit - (time.monotonic() - started)
        drained = await self._requests.drain(max(left, 0.0))
        if not drained:
            log.error(
                "agent: drain timed out, {} requests abandoned",
                self._requests.open_count,
            )
        await eviction.join()
        await self._requests.stop()
        return drained

    async def _evict_tasks(self, leave: bool) -> None:
        if not leave:
            return
        log.notice("agent: the worker is decommissioned, evicting its tasks")
        done = False
        async with curio.ignore_after(self._limit):
            await self._tasks.drain()
            done = True
        if not done:
            log.error("agent: drain timed out, tasks run until their leases expire")
