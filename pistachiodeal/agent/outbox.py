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
MAX_MESSAGES = 10_000
SAVE_WITHIN_S = 600.0

log = logbook.Logger("pistachiodeal.agent")

Notification = TaskEnded | StartRefused


class OwnerRoute(Protocol):
    """Sends messages to the owners of partitions."""

    async def send_to_owner(self, partition: int, message: Notification) -> bool:
        """Send a message; False if there is no link to the owner."""


@dataclass(slots=True)
class PendingMessage:
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

    :param limit: maximum number of messages. Beyond it, each added message
        displaces one that its owner can obtain by asking again.
    """

    def __init__(
        self, route: OwnerRoute, objects: ObjectStore, clock: Clock, limit: int
    ) -> None:
        self._route = route
        self._objects = objects
        self._clock = clock
        self._limit = limit
        self._messages: dict[tuple[str, int], PendingMessage] = {}

    @property
    def empty(self) -> bool:
        """Return whether no message waits for delivery."""
        return not self._messages

    @property
    def unsaved_bytes(self) -> int:
        """Return the total size of checkpoints not yet in the object store."""
        return sum(len(pending.unsaved or b"") for pending in self._messages.values())

    def partitions(self) -> set[int]:
        """Return the partitions with undelivered messages."""
        return {pending.partition for pending in self._messages.values()}

    def add(
        self,
        partition: int,
        message: Notification,
        unsaved: bytes | None = None,
        unsaved_key: str = "",
    ) -> None:
        """Add a message, replacing an earlier one of the same attempt."""
        now = self._clock()
        key = (message.task_id, message.attempt)
        if key not in self._messages and len(self._messages) >= self._limit:
            self._drop_one()
        until = now + SAVE_WITHIN_S
        self._messages[key] = PendingMessage(
            partition, message, now, until, unsaved=unsaved, unsaved_key=unsaved_key
        )

    def expedite(self, task_id: str, attempt: int) -> bool:
        """Make the message of an attempt due now; False if there is none."""
        pending = self._messages.get((task_id, attempt))
        if pending is None:
            return False
        pending.next_at = self._clock()
        return True

    def drop(self, task_id: str, attempt: int) -> None:
        """Remove the message of an attempt: it was acknowledged or superseded."""
        self._messages.pop((task_id, attempt), None)

    async def send_due(self) -> None:
        """Send due messages, at most :data:`SEND_BATCH` per call."""
        now = self._clock()
        due = [pair for pair in self._messages.items() if pair[1].next_at <= now]
        for key, pending in due[:SEND_BATCH]:
            if await self._save(pending):
                await self._send(key, pending)

    async def _save(self, pending: PendingMessage) -> bool:
        if pending.unsaved is None:
            return True
        assert isinstance(pending.message, TaskEnded)
        try:
            await self._objects.put(pending.unsaved_key, pending.unsaved)
            pending.message = replace(pending.message, checkpoint=pending.unsaved_key)
        except StoreError:
            if self._clock() < pending.save_until:
                self._postpone(pending)
                return False
            log.warning(
                "agent: checkpoint of {} not stored in time, discarding it",
                pending.message.task_id,
            )
        pending.unsaved = None
        return True

    async def _send(self, key: tuple[str, int], pending: PendingMessage) -> None:
        try:
            sent = await self._route.send_to_owner(pending.partition, pending.message)
        except LinkClosedError:
            sent = False
        if not sent:
            pending.next_at = self._clock() + RESEND_S
        elif isinstance(pending.message, StartRefused):
            if self._messages.get(key) is pending:
                del self._messages[key]
        else:
            self._postpone(pending)

    def _postpone(self, pending: PendingMessage) -> None:
        pending.next_at = self._clock() + pending.pause
        pending.pause = min(2 * pending.pause, MAX_RESEND_S)

    def _drop_one(self) -> None:
        for key, pending in self._messages.items():
            if pending.droppable:
                del self._messages[key]
                return


def create_outbox(
    route: OwnerRoute, objects: ObjectStore, clock: Clock, limit: int = MAX_MESSAGES
) -> Outbox:
    """Create an empty outbox."""
    return Outbox(route, objects, clock, limit)
