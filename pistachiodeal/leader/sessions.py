"""The leader's links: one session for each agent and each entry."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.commits import CommitLog
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.workers import Attachment, Fleet, WorkerState
from pistachiodeal.wire.job_messages import TOKENS_GRANTED, WorkerReport
from pistachiodeal.wire.link import Link

log = Logger("leader")

# How long leases run without the leader. Longer: running work outlives a longer outage
# of the store or of the leader; shorter: the tasks of a worker that is gone without a
# trace wait less. Outages of some seconds are common, and workers that vanish are not.
GRANT_S = 11.0
# The runner's clock may be 2% slow and ends runs a little after their lease.
LOST_MARGIN_S = 0.5
# Bits for the tokens of one epoch.
TOKEN_SHIFT = 30


class AgentSessions:
    """Serves agents: takes reports, sends directives, knows who is attached."""

    def __init__(
        self,
        commits: CommitLog,
        fleet: Fleet,
        reconciler: Reconciler,
        closures: ClosureWatch,
        *,
        events: EventLog,
        changed: curio.Event,
    ) -> None:
        self._commits = commits
        self._closures = closures
        self._fleet = fleet
        self._reconciler = reconciler
        self._events = events
        self._changed = changed
        self._tokens = 0
        self._links: dict[str, tuple[Link, Attachment]] = {}

    async def serve(self, link: Link) -> None:
        """Serve one agent until its link ends."""
        node = link.peer.node
        self._tokens += TOKENS_GRANTED
        token = (self._commits.epoch << TOKEN_SHIFT) + self._tokens
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
                    await self._take_report(link, worker, attachment, message)
        finally:
            if worker.attachment is attachment:
                worker.attachment = None
                self._links.pop(node, None)
            self._events.emit("agent.detached", node=node, token=token)
            await self._changed.set()

    async def send_orders(self) -> None:
        """Send what waits in the outboxes."""
        for node, (link, attachment) in list(self._links.items()):
            worker = self._fleet.get(node)
            if attachment.beat and not attachment.outbox.empty:
                await self._send(link, worker, attachment)

    def is_lost(self, took_at: float, place: str) -> bool:
        """Tell whether every lease at a place has certainly run out."""
        worker = self._fleet.get(place.partition("/")[0])
        until = max(worker.granted_until, took_at + GRANT_S) + LOST_MARGIN_S
        present = worker.attachment is not None and worker.place == place
        return not present and read_boot_clock() > until

    async def _take_report(
        self,
        link: Link,
        worker: WorkerState,
        attachment: Attachment,
        report: WorkerReport,
    ) -> None:
        if worker.attachment is not attachment:
            return
        self._reconciler.apply(attachment, report)
        await self._send(link, worker, attachment)
        await self._changed.set()

    async def _send(
        self, link: Link, worker: WorkerState, attachment: Attachment
    ) -> None:
        if worker.closed:
            attachment.withdraw_starts()
        # The grant may not outlive this process's own right to lead: a successor
        # waits for it from the moment of its own take-over.
        until = min(attachment.last_report_at, self._commits.confirmed_at) + GRANT_S
        grant_ms = _measure_ms(attachment, until)
        worker.granted_until = max(worker.granted_until, until)
        directive = attachment.build_directive(
            self._commits.epoch,
            worker.worker,
            worker.ends_noted,
            grant_ms,
            _measure_ms(attachment, self._closures.starts_until),
        )
        await link.send(directive)


def _measure_ms(attachment: Attachment, until: float) -> int:
    """Return the time from an agent's newest report to a moment of the boot clock."""
    return max(0, int((until - attachment.last_report_at) * 1000))
