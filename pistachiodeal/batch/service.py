"""Assembles the batch service of an entry."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

from logbook import Logger

from pistachiodeal.batch.admission import TaskAdmission
from pistachiodeal.batch.api import TaskApi
from pistachiodeal.batch.attempt_ends import AttemptEndHandler
from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.forwarder import Forwarder
from pistachiodeal.batch.keys import parse_partition
from pistachiodeal.batch.membership import Membership
from pistachiodeal.batch.partition_manager import PartitionManager
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.placement_loop import PlacementLoop
from pistachiodeal.batch.protocols import (
    ProfileLookup,
    ProfileRefresh,
    WorkerSession,
)
from pistachiodeal.batch.rows import EntryRow
from pistachiodeal.batch.workers import WorkerTable
from pistachiodeal.clock import Clock
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.exceptions import LinkClosedError, RequestError
from pistachiodeal.histograms import Histograms, create_histograms
from pistachiodeal.learning.health import create_worker_health
from pistachiodeal.learning.sizes import create_size_model
from pistachiodeal.metrics import Metrics
from pistachiodeal.store.protocols import ObjectStore, Table
from pistachiodeal.supervisor import Supervisor
from pistachiodeal.web.messages import WebRequest, WebResponse, build_problem
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import LinkTimings
from pistachiodeal.wire.messages import (
    Directory,
    EntryAddress,
    PartitionOwner,
    Refusal,
    Report,
    Request,
    Response,
)
from pistachiodeal.wire.task_messages import (
    LeaseGrant,
    Renew,
    StartRefused,
    Stop,
    TaskEnded,
    TaskRef,
)

log = Logger("batch")

MILLI = 1_000


class BatchService:
    """Admits tasks, owns partitions, places attempts and renews their leases."""

    def __init__(self, context: BatchContext, forwarder: Forwarder) -> None:
        self._context = context
        self._forwarder = forwarder
        self._workers = context.workers
        self._partition_manager = PartitionManager(context)
        self._placement_loop = PlacementLoop(
            context, self._partition_manager.list_serving
        )
        self._end_handler = AttemptEndHandler(context)
        self._api = TaskApi(
            context,
            TaskAdmission(context),
            forwarder,
            self._partition_manager.find_serving,
            context.membership.find_owner,
        )

    async def run(self) -> None:
        """Run until cancelled."""
        supervisor = Supervisor("batch")
        supervisor.add("forward", self._forwarder.run)
        supervisor.add("partitions", self._partition_manager.run)
        supervisor.add("placement", self._placement_loop.run)
        await supervisor.run()

    async def drain(self) -> None:
        """Hand the partitions over and delete this entry's row."""
        await self._partition_manager.drain()

    async def handle(self, request: WebRequest) -> WebResponse:
        """Handle a caller's ``/tasks`` request.

        :raises RequestError: the caller turns it into a problem document.
        """
        return await self._api.handle(request)

    async def handle_forwarded(self, request: Request) -> Response | Refusal:
        """Handle a request that another entry has forwarded."""
        local = WebRequest(
            request.method, request.target, request.headers, request.body
        )
        try:
            answer = await self._api.handle(local, forward=False)
        except RequestError as error:
            if error.code == "no_owner":
                wait_ms = int((error.retry_after or 1.0) * MILLI)
                return Refusal(request.request_id, error.code, error.detail, wait_ms)
            answer = build_problem(error)
        return Response(request.request_id, answer.status, answer.headers, answer.body)

    def session_opened(self, session: WorkerSession) -> None:
        """Register a link from the agent of a worker."""
        self._workers.open_session(session)

    def session_closed(self, session: WorkerSession) -> None:
        """Unregister a closed link."""
        self._workers.close_session(session)

    async def receive(
        self, session: WorkerSession, message: Report | StartRefused | TaskEnded
    ) -> None:
        """Handle a message from an agent."""
        if isinstance(message, Report):
            await self._answer_report(session, message)
            return
        server = self._find_server(message.task_id)
        if server is None:
            return
        if isinstance(message, TaskEnded):
            await self._end_handler.handle_ended(server, session, message)
        else:
            await self._end_handler.handle_refused(server, session, message)

    def directory(self) -> Directory:
        """Return the live entries and the partition owners as last read."""
        membership = self._context.membership
        entries = tuple(
            EntryAddress(entry.node, entry.address, entry.data_centre)
            for _, entry in sorted(membership.live_entries().items())
        )
        owners = tuple(
            PartitionOwner(partition, row.epoch, row.node, row.address)
            for partition, row in sorted(membership.owners.items())
        )
        return Directory(entries, owners)

    def status(self) -> dict[str, Any]:
        """Return the values for the status page."""
        membership = self._context.membership
        now = self._context.clock()
        return {
            "partitions": {
                str(server.owner.partition): server.describe()
                for server in self._partition_manager.servers()
            },
            "entries": sorted(membership.live_entries()),
            "authority_s": max(0.0, round(membership.authority_until() - now, 3)),
            "quarantined": list(self._context.health.quarantined(now)),
            "team_cpu_milli": self._workers.team_cpu,
        }

    def _find_server(self, task_id: str) -> PartitionServer | None:
        partition = parse_partition(task_id, self._context.settings.batch.partitions)
        return (
            None
            if partition is None
            else self._partition_manager.find_serving(partition)
        )

    async def _answer_report(self, session: WorkerSession, report: Report) -> None:
        if not self._workers.update_report(session, report):
            return
        refs = self._group_refs(report.tasks)
        grants: list[LeaseGrant] = []
        stops: list[Stop] = []
        for server in self._partition_manager.list_serving():
            # Without authority neither leases nor stops are sent: a successor may own
            # the partition, and a run that is not the current attempt here may be
            # one that the successor has started.
            if not server.has_authority:
                continue
            named = refs.get(server.owner.partition, ())
            grant, to_stop = server.runs.answer_report(session, named)
            stops.extend(to_stop)
            if grant is not None:
                grants.append(grant)
        try:
            if grants:
                await session.send(Renew(report.beat, tuple(grants)))
            for stop in stops:
                await session.send(stop)
        except LinkClosedError:
            log.debug("batch: report not answered, link to {} is closed", session.node)

    def _group_refs(self, refs: Sequence[TaskRef]) -> dict[int, list[TaskRef]]:
        groups: dict[int, list[TaskRef]] = {}
        for ref in refs:
            partition = parse_partition(
                ref.task_id, self._context.settings.batch.partitions
            )
            if partition is not None:
                groups.setdefault(partition, []).append(ref)
        return groups


async def keep_current_profiles() -> None:
    """Keep the known profiles: the default where no refresh is possible."""


def create_batch_service(  # noqa: PLR0917  (the signature agreed between the parts)
    settings: EntrySettings,
    identity: Identity,
    internal_address: str,
    http_address: str,
    table: Table,
    objects: ObjectStore,
    profile_of: ProfileLookup,
    metrics: Metrics,
    clock: Clock = time.monotonic,
    histograms: Histograms | None = None,
    refresh_profiles: ProfileRefresh = keep_current_profiles,
) -> BatchService:
    """Create the batch service of an entry.

    :param internal_address: ``ip:port`` to which agents and entries connect.
    :param http_address: ``ip:port`` for callers, shown to operators only.
    :param profile_of: returns a profile by its name.
    :param histograms: records the waiting times of tasks, by team and profile.
    :param refresh_profiles: reads the profiles from the table again, if possible.
    """
    own_row = EntryRow(
        node=identity.node,
        incarnation=identity.incarnation,
        beat=0,
        address=internal_address,
        data_centre=identity.data_centre,
        http=http_address,
    )
    membership = Membership(
        table,
        own_row,
        owner_lease_s=settings.batch.owner_lease_s,
        margin_s=settings.batch.margin_s,
        clock=clock,
    )
    context = BatchContext(
        settings=settings,
        table=table,
        objects=objects,
        membership=membership,
        workers=WorkerTable(clock),
        sizes=create_size_model(),
        health=create_worker_health(),
        profile_of=profile_of,
        refresh_profiles=refresh_profiles,
        metrics=metrics,
        histograms=histograms or create_histograms(),
        clock=clock,
    )
    timings = LinkTimings(
        settings.link.ping_s, settings.link.silent_s, settings.link.handshake_s
    )
    return BatchService(context, Forwarder(identity, settings.secret, timings))
