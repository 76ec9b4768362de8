"""Builds the agent from its components and runs it."""

from __future__ import annotations

import curio

from pistachiodeal.addresses import split_address
from pistachiodeal.config.deployment import DeploymentSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.heartbeats import Heartbeats
from pistachiodeal.jobagent.leader_link import LeaderLink
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobagent.renewal import Renewal
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.rows import find_partition
from pistachiodeal.peers import build_metrics, create_peer_context
from pistachiodeal.platform.rows import create_rows
from pistachiodeal.platform.runner import create_runner
from pistachiodeal.reload import wait_for_stop
from pistachiodeal.signals import SignalWatch
from pistachiodeal.supervisor import Supervisor
from pistachiodeal.web.messages import WebLimits, WebRequest, WebResponse
from pistachiodeal.web.server import create_server
from pistachiodeal.wire.identity import AGENT_ROLE


class AgentApp:
    """The components of one agent."""

    def __init__(self, settings: DeploymentSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        agent_signals = AgentSignals()
        runtime = create_runner(settings.runner)
        limits = settings.limits
        ledger = AgentLedger(events, limits.longest_lease_ms / 1000)
        paces = PaceController(ledger, runtime, events, limits.interference_ms / 1000)
        self._renewal = Renewal(ledger, runtime, paces, events, agent_signals)
        executor = Executor(ledger, runtime, events, agent_signals)
        self._leader_link = LeaderLink(
            create_rows(settings.store.address, find_partition),
            create_peer_context(settings, AGENT_ROLE, events),
            ledger,
            executor,
            agent_signals,
        )
        heartbeats = Heartbeats(ledger, self._renewal, events, agent_signals.report)
        host, port = split_address(settings.listen.runners)
        self._runners = create_server(host, port, heartbeats.handle, WebLimits())
        self._metrics = create_server(
            settings.host,
            settings.listen.metrics_port,
            self._answer_metrics,
            WebLimits(),
        )

    async def run(self, signals: SignalWatch) -> None:
        """Serve until a stop signal; the runs continue under their lease."""
        supervisor = Supervisor("agent")
        supervisor.add("heartbeats", self._runners.run)
        supervisor.add("renewal", self._renewal.run)
        supervisor.add("looks", self._renewal.run_on_demand)
        supervisor.add("leader", self._leader_link.run)
        supervisor.add("metrics", self._metrics.run)
        running = await curio.spawn(supervisor.run)
        await wait_for_stop(signals, self._settings, self._events)
        self._events.emit("process.stopped")
        await supervisor.stop()
        await running.join()

    async def _answer_metrics(self, request: WebRequest) -> WebResponse:
        return build_metrics(self._events.stats)
