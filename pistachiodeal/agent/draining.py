"""A graceful stop of the agent, which cuts off no request in flight."""

from __future__ import annotations

import time

import curio
import logbook

from pistachiodeal.agent.links import LinkKeeper
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskKeeper

GOODBYE_GRACE_S = 1.0

log = logbook.Logger("agent")


class Drainer:
    """Takes nothing new, finishes what is open; the worker's tasks go on.

    Their leases end by themselves, or a restarted agent takes them over.

    :param limit: seconds until open requests are cut.
    """

    def __init__(
        self,
        limit: float,
        *,
        requests: RequestHandler,
        tasks: TaskKeeper,
        links: LinkKeeper,
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
        """Tell whether nothing new is taken any more."""
        return self._draining

    async def drain(self, leave: bool) -> bool:
        """Drain; False when requests were cut at the limit.

        :param leave: the worker leaves for good, so evict its tasks too.
        """
        started = time.monotonic()
        self._draining = True
        self._reporter.draining = True
        self._requests.start_draining()
        self._tasks.stop_accepting()
        log.notice("agent: draining, {} requests open", self._requests.open_count)
        await self._links.say_goodbye("draining")
        await self._reporter.report()
        leaving = await curio.spawn(self._leave_worker, leave, daemon=True)
        # Requests that entries sent before they read the goodbye are still on
        # their way. If the links were closed under them the callers would be
        # told "unknown"; for this long they get a refusal instead.
        await curio.sleep(min(GOODBYE_GRACE_S, self._limit))
        left = self._limit - (time.monotonic() - started)
        drained = await self._requests.drain(max(left, 0.0))
        if not drained:
            log.error("agent: {} requests cut", self._requests.open_count)
        await leaving.join()
        await self._requests.stop()
        return drained

    async def _leave_worker(self, leave: bool) -> None:
        if not leave:
            return
        log.notice("agent: the worker leaves for good, evicting its tasks")
        done = False
        async with curio.ignore_after(self._limit):
            await self._tasks.drain()
            done = True
        if not done:
            log.error("agent: tasks were left running, their leases will end")
