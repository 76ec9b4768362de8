"""Messages to partition owners, resent until they are acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

import logbook

from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import LinkClosedError, StoreError
from pistachiodeal.store.protocols import ObjectStore
from pistachiodeal.wire.task_messages import UNKNOWN_RUN, StartRefused, TaskEnded

RESEND_S = 0.5
MAX_RESEND_S = 8.0
SEND_BATCH = 64
NOTICES_KEPT = 10_000
SAVE_WITHIN_S = 600.0

log = logbook.Logger("pistachiodeal.agent")

Notification = TaskEnded | StartRefused


class OwnerRoute(Protocol):
    """Sends messages to the owners of partitions."""

    async def send_to_owner(self, partition: int, message: Notification) -> bool:
        """Send a message; False if there is no link to the owner."""


@dataclass(slots=True)
class Notice:
    """A message to an owner, with its state of delivery.

    :param pause: time until the next resend, seconds.
    :param next_at: time of the next send, monotonic clock, seconds.
    :param save_until: end of the attempts to write ``unsaved``, same clock.
    :param unsaved: checkpoint that is not yet written to the object store.
    """

    partition: int
    message: Notification
    next_at: float
    save_until: float
    pause: float = RESEND_S
    unsaved: bytes | None = None
    unsaved_key: str = ""

    @property
    def droppable(self) -> bool:
        """Return whether an owner that misses it asks again and gets the same."""
        if isinstance(self.message, StartRefused):
            return True
        return self.message.state == UNKNOWN_RUN


class Outbox:
    """Sends the end of each run to its owner until it is acknowledged.

    A refusal is not acknowledged; it is sent until a link has accepted it.

    :param kept: maximum number of messages. Beyond it, each added message
        displaces one that its owner can obtain by asking again.
    """

    def __init__(
        self, route: OwnerRoute, objects: ObjectStore, clock: Clock, kept: int
    ) -> None:
        self._route = route
        self._objects = objects
        self._clock = clock
        self._kept = kept
        self._notices: dict[tuple[str, int], Notice] = {}

    @property
    def empty(self) -> bool:
        """Return whether no message waits for delivery."""
        return not self._notices

    @property
    def unsaved_bytes(self) -> int:
        """Return the total size of checkpoints not yet in the object store."""
        return sum(len(notice.unsaved or b"") for notice in self._notices.values())

    def partitions(self) -> set[int]:
        """Return the partitions with undelivered messages."""
        return {notice.partition for notice in self._notices.values()}

    def put(
        self,
        partition: int,
        message: Notification,
        unsaved: bytes | None = None,
        unsaved_key: str = "",
    ) -> None:
        """Add a message, replacing an earlier one of the same attempt."""
        now = self._clock()
        key = (message.task_id, message.attempt)
        if key not in self._notices and len(self._notices) >= self._kept:
            self._drop_one()
        until = now + SAVE_WITHIN_S
        self._notices[key] = Notice(
            partition, message, now, until, unsaved=unsaved, unsaved_key=unsaved_key
        )

    def hasten(self, task_id: str, attempt: int) -> bool:
        """Make the message of an attempt due now; False if there is none."""
        notice = self._notices.get((task_id, attempt))
        if notice is None:
            return False
        notice.next_at = self._clock()
        return True

    def drop(self, task_id: str, attempt: int) -> None:
        """Remove the message of an attempt: it was acknowledged or superseded."""
        self._notices.pop((task_id, attempt), None)

    async def send_due(self) -> None:
        """Send due messages, at most :data:`SEND_BATCH` per call."""
        now = self._clock()
        due = [pair for pair in self._notices.items() if pair[1].next_at <= now]
        for key, notice in due[:SEND_BATCH]:
            if await self._save(notice):
                await self._send(key, notice)

    async def _save(self, notice: Notice) -> bool:
        if notice.unsaved is None:
            return True
        assert isinstance(notice.message, TaskEnded)
        try:
            await self._objects.put(notice.unsaved_key, notice.unsaved)
            notice.message = replace(notice.message, checkpoint=notice.unsaved_key)
        except StoreError:
            if self._clock() < notice.save_until:
                self._postpone(notice)
                return False
            log.warning(
                "agent: checkpoint of {} not stored in time, discarding it",
                notice.message.task_id,
            )
        notice.unsaved = None
        return True

    async def _send(self, key: tuple[str, int], notice: Notice) -> None:
        try:
            sent = await self._route.send_to_owner(notice.partition, notice.message)
        except LinkClosedError:
            sent = False
        if not sent:
            notice.next_at = self._clock() + RESEND_S
        elif isinstance(notice.message, StartRefused):
            if self._notices.get(key) is notice:
                del self._notices[key]
        else:
            self._postpone(notice)

    def _postpone(self, notice: Notice) -> None:
        notice.next_at = self._clock() + notice.pause
        notice.pause = min(2 * notice.pause, MAX_RESEND_S)

    def _drop_one(self) -> None:
        for key, notice in self._notices.items():
            if notice.droppable:
                del self._notices[key]
                return


def create_outbox(
    route: OwnerRoute, objects: ObjectStore, clock: Clock, kept: int = NOTICES_KEPT
) -> Outbox:
    """Create an empty outbox."""
    return Outbox(route, objects, clock, kept)
