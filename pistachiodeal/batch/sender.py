"""Sends messages to agents in the order in which they were queued."""

from __future__ import annotations

import curio

from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.exceptions import LinkClosedError

QUEUE_MESSAGES = 10_000


class Sender:
    """Sends the messages of a partition; :meth:`put` blocks while the queue is full."""

    def __init__(self) -> None:
        self._queue: curio.Queue = curio.Queue(maxsize=QUEUE_MESSAGES)

    async def put(self, outgoing: OutgoingMessage) -> None:
        """Queue a message."""
        await self._queue.put(outgoing)

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            outgoing: OutgoingMessage = await self._queue.get()
            message = outgoing.build()
            if message is None:
                outgoing.on_unsent()
                continue
            try:
                await outgoing.session.send(message)
            except LinkClosedError:
                outgoing.on_unsent()
