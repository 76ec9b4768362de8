"""The leader's sessions with agents, one for each link."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.commits import FencedWriter
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Attachment, Fleet, WorkerState
from pistachiodeal.wire.job_messages import TOKENS_GRANTED, WorkerReport
from pistachiodeal.wire.link import Link

log = Logger("leader")

# How long leases run without contact to the leader. A longer time lets running tasks
# survive a longer outage of the store or the leader. A shorter time lets the tasks of a
# worker that vanished restart sooner. Outages of some seconds are common, and workers
# rarely vanish.
GRANT_S = 11.0
# A runner's clock may be 2% slow, and a runner ends runs slightly after their lease.
LOST_MARGIN_S = 0.5
# A fencing token has the epoch in its high bits and a number below these bits.
TOKEN_SHIFT = 30


class AgentSessions:
    """Serves agents: applies their reports and sends them directives."""

    def __init__(
        self,
        writer: FencedWriter,
        fleet: Fleet,
        reconciler: Reconciler,
        closures: ClosureWatch,
        *,
        events: EventLog,
        changed: curio.Event,
    ) -> None:
        self._writer = writer
        self._closures = closures
        self._fleet = fleet
        self._reconciler = reconciler
        self._events = events
        self._changed = changed
        self._tokens = 0
        self._links: dict[str, tuple[Link, Attachment]] = {}

    async def serve(self, link: Link) -> None:
        """Serve one agent until its link closes."""
        node = link.peer.node
        self._tokens += TOKENS_GRANTED
        token = (self._writer.epoch << TOKEN_SHIFT) + self._tokens
        attachment = Attachment(node, token)
        worker = self._fleet.get(node)
        self._fleet.set_data_centre(worker, link.peer.data_centre)
        worker.attach(attachment)
        self._links[node] = (link, attachment)
        self._events.emit("agent.attached", node=node, token=token)
        try:
            while True:
                message = await link.receive()
                if isinstance(message, WorkerReport):
                    await self._handle_report(link, worker, attachment, message)
        finally:
            if worker.attachment is attachment:
                worker.attachment = None
                self._links.pop(node, None)
            self._events.emit("agent.detached", node=node, token=token)
            await self._changed.set()

    async def send_orders(self) -> None:
        """Send the contents of all outboxes."""
        for node, (link, attachment) in list(self._links.items()):
            worker = self._fleet.get(node)
            if attachment.beat and worker.listed and not attachment.outbox.empty:
                await self._send(link, worker, attachment)

    def is_lost(self, acquired_by: float, place: str) -> bool:
        """Tell whether every lease at a place has certainly expired.

        :param acquired_by: when this process became the leader, boot clock. The
            predecessor may have granted leases until then.
        :param place: node and worker.
        """
        worker = self._fleet.get(place.partition("/")[0])
        # Only an agent that lists the incarnation can have extended its leases.
        attached = worker.attachment is not None
        listed = attached and worker.listed and worker.place == place
        return not listed and read_boot_clock() > _find_expiry(worker, acquired_by)

    async def _handle_report(
        self,
        link: Link,
        worker: WorkerState,
        attachment: Attachment,
        report: WorkerReport,
    ) -> None:
        if worker.attachment is not attachment:
            return
        is_first = not attachment.beat
        self._reconciler.apply(attachment, report)
        if is_first and not worker.listed:
            self._log_unlisted(worker, report)
        await self._send(link, worker, attachment)
        await self._changed.set()

    async def _send(
        self, link: Link, worker: WorkerState, attachment: Attachment
    ) -> None:
        if worker.closed or not worker.listed:
            attachment.withdraw_starts()
        # With a grant in advance, an agent could extend leases as soon as its worker
        # answers, while the leader, which hears of that later, takes them for expired.
        grant_ms = self._extend_grant(worker, attachment) if worker.listed else 0
        directive = attachment.build_directive(
            self._writer.epoch,
            worker.worker,
            worker.ends_noted,
            grant_ms,
            _compute_ms_after_report(attachment, self._closures.starts_until),
            listed=worker.listed,
        )
        await link.send(directive)

    def _log_unlisted(self, worker: WorkerState, report: WorkerReport) -> None:
        granted_s = max(0.0, worker.granted_until - read_boot_clock())
        self._events.emit(
            "agent.unlisted",
            node=worker.node,
            reported=report.worker,
            known=worker.worker,
            granted_ms=int(granted_s * 1000),
        )

    def _extend_grant(self, worker: WorkerState, attachment: Attachment) -> int:
        """Extend an agent's grant; return how long after its report it ends, ms."""
        # The grant must not outlast the last confirmation of this leader plus GRANT_S:
        # a successor waits for old grants only from the time of its own election.
        until = min(attachment.last_report_at, self._writer.confirmed_at) + GRANT_S
        worker.granted_until = max(worker.granted_until, until)
        return _compute_ms_after_report(attachment, until)


def _find_expiry(worker: WorkerState, acquired_by: float) -> float:
    """Return when all leases on a node have expired without a further grant.

    :param acquired_by: when this process became the leader, boot clock.
    """
    return max(worker.granted_until, acquired_by + GRANT_S) + LOST_MARGIN_S


def _compute_ms_after_report(attachment: Attachment, until: float) -> int:
    """Return the time from an agent's newest report until a time, milliseconds."""
    return max(0, int((until - attachment.last_report_at) * 1000))
