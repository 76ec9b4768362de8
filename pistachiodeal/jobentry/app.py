"""Assembles the entry process and shuts it down gracefully."""

from __future__ import annotations

from functools import partial

import curio

from pistachiodeal.addresses import split_address
from pistachiodeal.config.deployment import DeploymentSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.admission import AdmissionGate
from pistachiodeal.jobentry.api import CallerApi
from pistachiodeal.jobentry.configuration import ConfigurationWatcher
from pistachiodeal.jobentry.configuration_copy import ConfigurationCopy
from pistachiodeal.jobentry.handover import HandOver
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.jobentry.queue_view import QUEUES_PATH, QueueView
from pistachiodeal.jobentry.relay import RelayedRows, build_dispatcher
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.rows import find_partition
from pistachiodeal.leader.election import Election
from pistachiodeal.leader.fitness import compute_fitness
from pistachiodeal.peers import (
    build_metrics,
    create_peer_context,
    query_configuration,
)
from pistachiodeal.platform.advice import create_adviser
from pistachiodeal.platform.rows import create_rows
from pistachiodeal.reload import wait_for_stop
from pistachiodeal.signals import SignalWatch
from pistachiodeal.supervisor import Supervisor
from pistachiodeal.web.messages import WebLimits, WebRequest, WebResponse
from pistachiodeal.web.server import Handler, WebServer, create_server
from pistachiodeal.wire.identity import ENTRY_ROLE
from pistachiodeal.wire.link import Link

# The load balancer checks readiness once a second and removes an entry after two failed
# checks. Until then it sends new connections, so the listener must stay open.
BALANCER_DELAY_S = 2.4
# Part of the grace period reserved for the exit of the process after the drain. It
# takes 0.6 s where twice as many processes are busy as there are cores.
PROCESS_EXIT_S = 0.9
MIN_DRAIN_S = 1.0
# Requests of callers arrive within milliseconds of each other. The limits in the
# operator's configuration are not read; this one has the same value.
BODY_BYTES = 262_144
IDLE_S = 60.0


class EntryApp:
    """The components of one entry process."""

    def __init__(self, settings: DeploymentSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        store = create_rows(settings.store.address, find_partition)
        peers = create_peer_context(settings, ENTRY_ROLE, events)
        peers.directory.update_entry(settings.peer_address)
        relayed = RelayedRows(store, self._find_leader_link, events)
        self._configuration = ConfigurationCopy(events)
        self._watcher = ConfigurationWatcher(
            relayed,
            self._configuration,
            events,
            partial(query_configuration, peers),
            partial(peers.directory.list_others, settings.peer_address),
        )
        self._peer_server = PeerServer(
            store,
            peers,
            self._configuration.refresh,
            settings.limits,
            create_adviser(settings.advice) if settings.advice else None,
            answer_configuration=self._configuration.answer,
            features=settings.features,
            link_mbps=settings.link_mbps,
            row_bytes=settings.store.row_bytes,
        )
        fitness = compute_fitness(settings.processor.cores, settings.link_mbps)
        self._election = Election(store, peers, self._peer_server.lead, fitness=fitness)
        self._handover = HandOver(self._peer_server, self._election, events, fitness)
        self._acceptance = Acceptance(relayed, events)
        states = JobStates(relayed, self._peer_server, self._election)
        self._election.set_answer_handler(
            build_dispatcher(relayed, states.handle_answer), relayed.abandon_calls
        )
        admission = None
        if settings.features.admission:
            admission = AdmissionGate(
                self._acceptance,
                states,
                self._peer_server,
                self._election,
                peers,
            )
            self._election.set_notice_handler(admission.apply_notice)
        self._queue_view = QueueView(
            self._peer_server,
            peers.directory,
            lambda: admission.summary if admission else None,
        )
        api = CallerApi(
            self._configuration,
            self._acceptance,
            states,
            events,
            row_bytes=settings.store.row_bytes,
            limits=settings.limits,
            admission=admission,
        )
        limits = WebLimits(body_bytes=BODY_BYTES, idle_s=IDLE_S)
        self._callers = _create_server(settings.listen.callers, api.handle, limits)
        self._readiness = _create_server(
            settings.listen.readiness, self._answer_ready, WebLimits()
        )
        self._metrics = create_server(
            settings.host,
            settings.listen.metrics_port,
            self._answer_metrics,
            WebLimits(),
        )
        self._stopping = False
        left_s = settings.limits.grace_s - BALANCER_DELAY_S - PROCESS_EXIT_S
        self._drain_s = max(MIN_DRAIN_S, left_s)

    async def run(self, signals: SignalWatch) -> None:
        """Serve until a signal to stop."""
        supervisor = Supervisor("entry")
        supervisor.add("configuration", self._watcher.run)
        supervisor.add("configuration check", self._watcher.check)
        supervisor.add("configuration entries", self._watcher.ask_entries)
        supervisor.add("configuration age", self._watcher.check_age)
        supervisor.add("acceptance", self._acceptance.run)
        supervisor.add("peers", self._peer_server.listen)
        supervisor.add("readiness", self._readiness.run)
        supervisor.add("metrics", self._metrics.run)
        supervisor.add("callers", self._callers.run)
        supervisor.add("handover", self._handover.run)
        election = Supervisor("election")
        election.add("election", self._election.run)
        running = await curio.spawn(supervisor.run)
        electing = await curio.spawn(election.run)
        await wait_for_stop(signals, self._settings, self._events)
        await self._shut_down(electing)
        await supervisor.stop()
        await running.join()

    def _find_leader_link(self) -> Link | None:
        return self._election.link

    async def _shut_down(self, electing: curio.Task) -> None:
        self._stopping = True
        self._events.emit("process.stopping")
        # The hand-over and the drain of callers' connections run concurrently, so a
        # slow store delays only the hand-over and the process exits within its grace
        # period.
        handing_over = await curio.spawn(self._hand_over, electing)
        await curio.sleep(BALANCER_DELAY_S)
        drained = await self._callers.drain(self._drain_s)
        await handing_over.cancel()
        await electing.cancel()
        self._events.emit("process.stopped", drained=drained)

    async def _hand_over(self, electing: curio.Task) -> None:
        if not await self._handover.leave():
            await electing.cancel()
            await self._election.resign()

    async def _answer_ready(self, request: WebRequest) -> WebResponse:
        ready = not self._stopping and self._configuration.current is not None
        return WebResponse(200 if ready else 503)

    async def _answer_metrics(self, request: WebRequest) -> WebResponse:
        if request.path == QUEUES_PATH:
            return self._queue_view.answer()
        return build_metrics(self._events.stats)


def _create_server(address: str, handler: Handler, limits: WebLimits) -> WebServer:
    host, port = split_address(address)
    return create_server(host, port, handler, limits)
