"""The agent process: its parts, how they start, and how they stop."""

from __future__ import annotations

import secrets
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio
import logbook

from pistachiodeal import __version__, exit_codes
from pistachiodeal.agent.announce import LIMITS, AnnounceApi
from pistachiodeal.agent.directory import AgentDirectory
from pistachiodeal.agent.dispatch import MessageDispatch
from pistachiodeal.agent.evidence import EvidenceExchange
from pistachiodeal.agent.guarding import Guarding, create_guarding
from pistachiodeal.agent.links import LinkKeeper
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestDesk
from pistachiodeal.agent.runners import RunnerTable
from pistachiodeal.agent.tasks import TaskKeeper, create_task_keeper
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.control.guard import create_guard
from pistachiodeal.exceptions import PistachiodealError, WorkerError, WorkerFencedError
from pistachiodeal.learning.interference import (
    InterferenceModel,
    create_interference_model,
)
from pistachiodeal.learning.timeline import create_timeline
from pistachiodeal.metrics import Metrics, create_metrics
from pistachiodeal.model.resources import Resources
from pistachiodeal.platform.http_objects import create_object_store
from pistachiodeal.platform.http_worker import create_worker_runtime
from pistachiodeal.profiles.cache import PolicyCache, create_policy_cache
from pistachiodeal.signals import SignalWatch
from pistachiodeal.supervisor import Supervisor, compute_pause
from pistachiodeal.web.server import WebServer, create_server
from pistachiodeal.wire.identity import Identity

log = logbook.Logger("agent")

INCARNATION_BITS = 63
OBJECT_CONNECTIONS = 2
GOODBYE_GRACE_S = 1.0


class AgentApp:
    """One agent; :meth:`run` returns the exit status.

    :ivar leave: the worker leaves for good, so that a stop evicts its tasks.
    """

    def __init__(self, settings: AgentSettings, leave: bool = False) -> None:
        self.leave = leave
        self._settings = settings
        self._attached = curio.Event()
        self._draining = False
        self._cut = False
        self._metrics = create_metrics(settings.statsd)
        self._policies = create_policy_cache()
        self._directory = AgentDirectory()
        self._runners = RunnerTable(settings.announce.expiry_s)
        self._links = LinkKeeper(
            settings, _create_identity(settings), self._directory, self._list_partitions
        )
        self._desk = RequestDesk(
            self._runners,
            self._policies,
            self._metrics,
            window_s=settings.guard.window_s,
        )
        self._runners.on_change = self._desk.note_change
        self._tasks = _create_tasks(
            settings, self._links, self._policies, self._metrics
        )
        self._directory.on_epoch = self._tasks.note_epoch
        self._reporter = Reporter(
            settings.report_s,
            tasks=self._tasks,
            list_loads=self._desk.figures,
            directory=self._directory,
            links=self._links,
        )
        model = create_interference_model()
        self._evidence = EvidenceExchange(model, self._links.send_to_any)
        self._guarding = self._create_guarding(model)
        self._links.set_handler(self._create_dispatch())
        self._server = self._create_server()
        self._supervisor = self._create_supervisor()

    @property
    def port(self) -> int:
        """Return the port where runners announce themselves."""
        return self._server.port

    async def run(self, watch: SignalWatch) -> int:
        """Run until a signal, or until the agent may not go on."""
        drainer = await curio.spawn(self._drain_on_signal, watch, daemon=True)
        try:
            await self._supervisor.run()
        except PistachiodealError as error:
            log.critical("agent: stopped, {}", error)
            return exit_codes.FAILURE
        finally:
            await drainer.cancel()
        return exit_codes.FAILURE if self._cut else exit_codes.OK

    async def close(self) -> None:
        """Close what is left open."""
        await self._desk.stop()
        await self._runners.close()

    def build_status(self) -> dict[str, Any]:
        """Return what an operator may want to see."""
        ledger = self._tasks.ledger
        loads = self._desk.figures()
        return {
            "node": self._settings.node,
            "worker": self._settings.worker,
            "version": __version__,
            "attached": self._attached.is_set(),
            "draining": self._draining,
            "capacity": _describe_size(ledger.capacity),
            "free": _describe_size(ledger.free),
            "requests_open": self._desk.open_count,
            "services": [
                {
                    "service": load.service,
                    "slots": load.slots,
                    "busy": load.busy,
                    "queued": load.queued,
                    "latency_us": load.latency_us,
                }
                for load in loads
            ],
            "links": [link.peer.node for link in self._links.links],
            "policies": self._policies.describe(),
            "counts": self._metrics.counts(),
        }

    async def _drain_on_signal(self, watch: SignalWatch) -> None:
        await watch.wait()
        await curio.spawn(self._cut_on_signal, watch, daemon=True)
        await self._drain()
        await self._supervisor.stop()

    async def _cut_on_signal(self, watch: SignalWatch) -> None:
        await watch.wait()
        self._cut = True
        log.error("agent: stopped at once, {} requests cut", self._desk.open_count)
        await self._supervisor.stop()

    async def _drain(self) -> None:
        """Take nothing new, finish what is open; the worker's tasks go on.

        Their leases end by themselves, or a restarted agent takes them over.
        """
        started = time.monotonic()
        limit = self._settings.drain_s
        self._draining = True
        self._reporter.draining = True
        self._desk.start_draining()
        self._tasks.stop_accepting()
        log.notice("agent: draining, {} requests open", self._desk.open_count)
        await self._links.say_goodbye("draining")
        await self._reporter.report()
        leaving = await curio.spawn(self._leave_worker, limit, daemon=True)
        # Requests that entries sent before they read the goodbye are still on
        # their way. If the links were closed under them the callers would be
        # told "unknown"; for this long they get a refusal instead.
        await curio.sleep(min(GOODBYE_GRACE_S, limit))
        left = limit - (time.monotonic() - started)
        if not await self._desk.drain(max(left, 0.0)):
            self._cut = True
            log.error("agent: {} requests cut", self._desk.open_count)
        await leaving.join()
        await self._desk.stop()

    async def _leave_worker(self, limit: float) -> None:
        if not self.leave:
            return
        log.notice("agent: the worker leaves for good, evicting its tasks")
        done = False
        async with curio.ignore_after(limit):
            await self._tasks.drain()
            done = True
        if not done:
            log.error("agent: tasks were left running, their leases will end")

    async def _run_tasks(self) -> None:
        if not self._attached.is_set():
            await self._attach()
        await self._tasks.run()

    async def _attach(self) -> None:
        """Take the worker over; without it nothing can be accepted."""
        failures = 0
        while True:
            try:
                await self._tasks.attach()
                break
            except WorkerFencedError:
                raise
            except WorkerError as error:
                failures += 1
                log.error("agent: cannot attach, {}", error)
            await curio.sleep(compute_pause(failures))
        self._runners.open_for_runners(self._tasks.ledger)
        await self._attached.set()

    async def _run_links(self) -> None:
        await self._attached.wait()
        await self._links.run()

    def _list_partitions(self) -> set[int]:
        return self._tasks.partitions()

    def _create_dispatch(self) -> MessageDispatch:
        return MessageDispatch(
            desk=self._desk,
            tasks=self._tasks,
            directory=self._directory,
            links=self._links,
            policies=self._policies,
            evidence=self._evidence,
            reporter=self._reporter,
            metrics=self._metrics,
        )

    def _create_guarding(self, model: InterferenceModel) -> Guarding:
        timeline = create_timeline()
        return create_guarding(
            self._tasks,
            self._desk,
            create_guard(self._settings.guard, model, timeline),
            timeline,
            self._policies,
            settings=self._settings.guard,
            metrics=self._metrics,
        )

    async def _run_guarding(self) -> None:
        await self._attached.wait()
        await self._guarding.run()

    def _create_server(self) -> WebServer:
        announce = self._settings.announce
        api = AnnounceApi(self._runners, announce.expiry_s, self.build_status)
        return create_server(announce.host, announce.port, api.handle, LIMITS)

    def _create_supervisor(self) -> Supervisor:
        supervisor = Supervisor("agent", fatal=(WorkerFencedError,))
        supervisor.add("announce", self._server.run)
        supervisor.add("tasks", self._run_tasks)
        supervisor.add("runners", self._runners.run)
        supervisor.add("links", self._run_links)
        supervisor.add("reports", self._reporter.run)
        supervisor.add("evidence", self._evidence.run)
        supervisor.add("guard", self._run_guarding)
        return supervisor


def _create_identity(settings: AgentSettings) -> Identity:
    return Identity(
        role="agent",
        node=settings.node,
        incarnation=secrets.randbits(INCARNATION_BITS),
        data_centre=settings.data_centre,
        worker=settings.worker,
        rack=settings.rack,
    )


def _create_tasks(
    settings: AgentSettings,
    links: LinkKeeper,
    policies: PolicyCache,
    metrics: Metrics,
) -> TaskKeeper:
    runtime = settings.runtime
    return create_task_keeper(
        create_worker_runtime(runtime.worker, timeout=runtime.timeout_s),
        create_object_store(
            runtime.objects, timeout=runtime.timeout_s, connections=OBJECT_CONNECTIONS
        ),
        links,
        policies,
        settings=settings,
        metrics=metrics,
    )


def _describe_size(size: Resources) -> dict[str, int]:
    return {
        "cpu_milli": size.cpu_milli,
        "memory_mib": size.memory_mib,
        "accelerators": size.accelerators,
    }


@asynccontextmanager
async def open_agent(
    settings: AgentSettings, leave: bool = False
) -> AsyncIterator[AgentApp]:
    """Make an agent whose port is bound; closes it at the end."""
    app = AgentApp(settings, leave)
    try:
        yield app
    finally:
        await app.close()
