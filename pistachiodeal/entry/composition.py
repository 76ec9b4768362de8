"""Creates the components of an entry and connects them."""

from __future__ import annotations

import random
import socket as stdlib_socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from pistachiodeal.batch.service import BatchService, create_batch_service
from pistachiodeal.claims.manager import ClaimManager, create_claim_manager
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.entry.app import EntryApp
from pistachiodeal.entry.dispatch import (
    Dispatcher,
    DispatcherComponents,
    create_dispatcher,
)
from pistachiodeal.entry.interference import create_interference_relay
from pistachiodeal.entry.links import LinkServer, LinkServerComponents
from pistachiodeal.entry.pushing import Pusher
from pistachiodeal.entry.router import HttpRouter, RouterComponents, create_router
from pistachiodeal.entry.services import ServiceTable
from pistachiodeal.entry.sessions import create_session_table
from pistachiodeal.entry.status import StatusSources, build_status
from pistachiodeal.entry.targets import create_target_table
from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.histograms import create_histograms
from pistachiodeal.metrics import create_metrics
from pistachiodeal.profiles.api import create_profile_api
from pistachiodeal.profiles.manager import create_profile_manager
from pistachiodeal.routing.choice import create_least_loaded
from pistachiodeal.store.http_objects import create_object_store
from pistachiodeal.store.http_table import create_table
from pistachiodeal.supervisor import Supervisor
from pistachiodeal.web.listener import bind_listener
from pistachiodeal.web.messages import WebLimits, WebRequest, WebResponse
from pistachiodeal.web.server import WebServer, create_server
from pistachiodeal.wire.identity import ENTRY_ROLE, Identity
from pistachiodeal.wire.link import LinkTimings

INCARNATION_BITS = 62


@asynccontextmanager
async def open_entry(settings: EntrySettings) -> AsyncIterator[EntryApp]:
    """Bind the ports and create the entry; closes the ports at the end.

    :raises OSError: a port is taken.
    """
    internal = settings.internal
    listener = bind_listener(internal.host, internal.port)
    try:
        yield EntryBuilder(settings, listener).build()
    finally:
        listener.close()


class EntryBuilder:
    """Creates each component of an entry once, in dependency order."""

    def __init__(self, settings: EntrySettings, listener: stdlib_socket.socket) -> None:
        self._settings = settings
        self._listener = listener
        self._identity = Identity(
            role=ENTRY_ROLE,
            node=settings.node,
            incarnation=random.getrandbits(INCARNATION_BITS),
            data_centre=settings.data_centre,
        )
        store = settings.store
        self._table = create_table(
            store.table, timeout=store.timeout_s, connections=store.connections
        )
        self._metrics = create_metrics(settings.statsd)
        self._histograms = create_histograms()
        self._sessions = create_session_table()
        self._targets = create_target_table()
        self._profiles = create_profile_manager(self._table, settings.profile_poll_s)
        self._claims = self._create_claims()
        self._dispatcher = self._create_dispatcher()
        self._web = self._create_web()
        self._batch = self._create_batch()
        self._evidence = create_interference_relay()
        self._pusher = Pusher(
            self._sessions, self._profiles, self._evidence, self._batch.directory
        )
        self._profiles.on_change = self._pusher.queue_policies
        self._links = self._create_links()

    def build(self) -> EntryApp:
        """Return the entry, ready to run."""
        app = EntryApp(
            settings=self._settings,
            supervisor=self._create_supervisor(),
            web=self._web,
            links=self._links,
            batch=self._batch,
            claims=self._claims,
            dispatcher=self._dispatcher,
            histograms=self._histograms,
        )
        self._router = self._create_router(app)
        return app

    def _create_claims(self) -> ClaimManager:
        store = self._settings.store
        return create_claim_manager(
            self._table,
            node=self._settings.node,
            group_s=store.group_s,
            group_rows=store.group_rows,
        )

    def _create_dispatcher(self) -> Dispatcher:
        services = ServiceTable(self._profiles, self._targets, time.monotonic)
        components = DispatcherComponents(
            settings=self._settings.requests,
            sessions=self._sessions,
            targets=self._targets,
            services=services,
            claims=self._claims,
            chooser=create_least_loaded(self._settings.data_centre),
            metrics=self._metrics,
            histograms=self._histograms,
            claim_timeout=self._settings.store.timeout_s,
        )
        return create_dispatcher(components)

    def _create_web(self) -> WebServer:
        http = self._settings.http
        limits = WebLimits(
            head_bytes=http.head_bytes,
            body_bytes=http.body_bytes,
            head_s=http.head_s,
            body_s=http.body_s,
            idle_s=http.idle_s,
            connections=http.connections,
        )
        return create_server(http.host, http.port, self._handle, limits)

    async def _handle(self, request: WebRequest) -> WebResponse:
        return await self._router.handle(request)

    def _create_batch(self) -> BatchService:
        settings = self._settings
        objects = create_object_store(
            settings.store.objects,
            timeout=settings.store.timeout_s,
            connections=settings.store.connections,
        )
        return create_batch_service(
            settings,
            self._identity,
            self._build_internal_address(),
            f"{settings.http.host}:{self._web.port}",
            self._table,
            objects,
            self._profiles.profile,
            self._metrics,
            histograms=self._histograms,
            refresh_profiles=self._profiles.refresh_rate_limited,
        )

    def _build_internal_address(self) -> str:
        internal = self._settings.internal
        port = self._listener.getsockname()[1]
        return internal.advertise or f"{internal.host}:{port}"

    def _create_links(self) -> LinkServer:
        link = self._settings.link
        timings = LinkTimings(link.ping_s, link.silent_s, link.handshake_s)
        components = LinkServerComponents(
            identity=self._identity,
            secret=self._settings.secret,
            timings=timings,
            sessions=self._sessions,
            targets=self._targets,
            batch=self._batch,
            profiles=self._profiles,
            pusher=self._pusher,
            evidence=self._evidence,
            metrics=self._metrics,
        )
        return LinkServer(self._listener, components)

    def _create_router(self, app: EntryApp) -> HttpRouter:
        status = StatusSources(
            identity=self._identity,
            started_at=time.monotonic(),
            sessions=self._sessions,
            targets=self._targets,
            profiles=self._profiles,
            batch=self._batch,
            dispatcher=self._dispatcher,
            web=self._web,
            metrics=self._metrics,
        )
        return create_router(
            RouterComponents(
                operator_token=self._settings.operator_token,
                dispatcher=self._dispatcher,
                batch=self._batch,
                profiles=create_profile_api(self._table, self._profiles),
                histograms=self._histograms,
                read_status=lambda: build_status(status, app.draining),
                is_draining=lambda: app.draining,
            )
        )

    def _create_supervisor(self) -> Supervisor:
        supervisor = Supervisor("entry")
        supervisor.add("profiles", self._profiles.run)
        supervisor.add("claims", self._claims.run)
        supervisor.add("batch", self._batch.run)
        supervisor.add("pusher", self._pusher.run)
        supervisor.add("links", self._links.run)
        supervisor.add("web", self._serve_web)
        return supervisor

    async def _serve_web(self) -> None:
        # Profiles are loaded first: otherwise the earliest requests would be
        # rejected because their service does not exist.
        with suppress(PistachiodealError):
            await self._profiles.refresh()
        await self._web.run()
