"""The agent process: creates its components, and starts and stops them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio
import logbook

from pistachiodeal import exit_codes
from pistachiodeal.agent.announce import LIMITS, AnnounceApi
from pistachiodeal.agent.composition import create_identity, create_tasks
from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.agent.dispatch import MessageDispatch
from pistachiodeal.agent.draining import Drainer
from pistachiodeal.agent.guard_loop import GuardLoop, create_guard_loop
from pistachiodeal.agent.interference_exchange import InterferenceExchange
from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.runners import RunnerTable
from pistachiodeal.agent.status import StatusSources, build_status
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.control.guard import create_guard
from pistachiodeal.exceptions import PistachiodealError, WorkerError, WorkerFencedError
from pistachiodeal.learning.interference import (
    InterferenceModel,
    create_interference_model,
)
from pistachiodeal.learning.timeline import create_timeline
from pistachiodeal.metrics import create_metrics
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.signals import SignalWatch
from pistachiodeal.supervisor import Supervisor, compute_backoff
from pistachiodeal.web.server import WebServer, create_server

log = logbook.Logger("agent")


class AgentApp:
    """An agent with all its components; :meth:`run` returns the exit status.

    :ivar leave: the worker is decommissioned, so a stop also evicts its tasks.
    """

    def __init__(self, settings: AgentSettings, leave: bool = False) -> None:
        self.leave = leave
        self._settings = settings
        self._attached = curio.Event()
        self._requests_abandoned = False
        self._metrics = create_metrics(settings.statsd)
        self._policies = create_policy_cache()
        self._directory = MergedDirectory()
        self._runners = RunnerTable(settings.announce.expiry_s)
        self._links = LinkManager(
            settings, create_identity(settings), self._directory, self._list_partitions
        )
        self._requests = RequestHandler(
            self._runners,
            self._policies,
            self._metrics,
            window_s=settings.guard.window_s,
        )
        self._runners.on_change = self._requests.handle_runner_change
        self._tasks = create_tasks(settings, self._links, self._policies, self._metrics)
        self._directory.on_epoch = self._tasks.record_epoch
        self._reporter = Reporter(
            settings.report_s,
            tasks=self._tasks,
            list_loads=self._requests.list_loads,
            directory=self._directory,
            links=self._links,
        )
        self._drainer = Drainer(
            settings.drain_s,
            requests=self._requests,
            tasks=self._tasks,
            links=self._links,
            reporter=self._reporter,
        )
        model = create_interference_model()
        self._interference_exchange = InterferenceExchange(
            model, self._links.send_to_any
        )
        self._guard_loop = self._create_guard_loop(model)
        self._links.set_handler(self._create_dispatch())
        self._server = self._create_server()
        self._supervisor = self._create_supervisor()

    @property
    def port(self) -> int:
        """Return the port where runners announce themselves."""
        return self._server.port

    async def run(self, watch: SignalWatch) -> int:
        """Run until a signal arrives or a component fails fatally."""
        drainer = await curio.spawn(self._drain_on_signal, watch, daemon=True)
        try:
            await self._supervisor.run()
        except PistachiodealError as error:
            log.critical("agent: stopped by a fatal error: {}", error)
            return exit_codes.FAILURE
        finally:
            await drainer.cancel()
        return exit_codes.FAILURE if self._requests_abandoned else exit_codes.OK

    async def close(self) -> None:
        """Close open requests and the connections to runners."""
        await self._requests.stop()
        await self._runners.close()

    async def _drain_on_signal(self, watch: SignalWatch) -> None:
        await watch.wait()
        await curio.spawn(self._abort_on_signal, watch, daemon=True)
        if not await self._drainer.drain(self.leave):
            self._requests_abandoned = True
        await self._supervisor.stop()

    async def _abort_on_signal(self, watch: SignalWatch) -> None:
        await watch.wait()
        self._requests_abandoned = True
        log.error(
            "agent: second signal, stopping with {} requests open",
            self._requests.open_count,
        )
        await self._supervisor.stop()

    async def _run_tasks(self) -> None:
        if not self._attached.is_set():
            await self._attach()
        await self._tasks.run()

    async def _attach(self) -> None:
        """Attach to the worker, retrying until it succeeds.

        Nothing is accepted before that.
        """
        failures = 0
        while True:
            try:
                await self._tasks.attach()
                break
            except WorkerFencedError:
                raise
            except WorkerError as error:
                failures += 1
                log.error("agent: attaching to the worker failed: {}", error)
            await curio.sleep(compute_backoff(failures))
        self._runners.set_ledger(self._tasks.ledger)
        await self._attached.set()

    async def _run_links(self) -> None:
        await self._attached.wait()
        await self._links.run()

    def _list_partitions(self) -> set[int]:
        return self._tasks.partitions()

    def _create_dispatch(self) -> MessageDispatch:
        return MessageDispatch(
            requests=self._requests,
            tasks=self._tasks,
            directory=self._directory,
            links=self._links,
            policies=self._policies,
            interference_exchange=self._interference_exchange,
            reporter=self._reporter,
            metrics=self._metrics,
        )

    def _create_guard_loop(self, model: InterferenceModel) -> GuardLoop:
        timeline = create_timeline()
        return create_guard_loop(
            self._tasks,
            self._requests,
            create_guard(self._settings.guard, model, timeline),
            timeline,
            self._policies,
            settings=self._settings.guard,
            metrics=self._metrics,
        )

    async def _run_guard_loop(self) -> None:
        await self._attached.wait()
        await self._guard_loop.run()

    def _create_server(self) -> WebServer:
        announce = self._settings.announce
        api = AnnounceApi(self._runners, announce.expiry_s, self._build_status)
        return create_server(announce.host, announce.port, api.handle, LIMITS)

    def _build_status(self) -> dict[str, Any]:
        sources = StatusSources(
            settings=self._settings,
            tasks=self._tasks,
            requests=self._requests,
            links=self._links,
            policies=self._policies,
            metrics=self._metrics,
        )
        return build_status(
            sources, attached=self._attached.is_set(), draining=self._drainer.draining
        )

    def _create_supervisor(self) -> Supervisor:
        supervisor = Supervisor("agent", fatal=(WorkerFencedError,))
        supervisor.add("announce", self._server.run)
        supervisor.add("tasks", self._run_tasks)
        supervisor.add("runners", self._runners.run)
        supervisor.add("links", self._run_links)
        supervisor.add("reports", self._reporter.run)
        supervisor.add("evidence", self._interference_exchange.run)
        supervisor.add("guard", self._run_guard_loop)
        return supervisor


@asynccontextmanager
async def open_agent(
    settings: AgentSettings, leave: bool = False
) -> AsyncIterator[AgentApp]:
    """Create an agent whose port is bound, and close it on exit."""
    app = AgentApp(settings, leave)
    try:
        yield app
    finally:
        await app.close()
