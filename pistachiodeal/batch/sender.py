"""Messages to agents, sent in the order in which they were put."""

from __future__ import annotations

import curio

from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.exceptions import LinkClosedError

QUEUE_MESSAGES = 10_000


class Sender:
    """Sends a partition's messages; when too many wait, :meth:`put` waits too."""

    def __init__(self) -> None:
        self._queue: curio.Queue = curio.Queue(maxsize=QUEUE_MESSAGES)

    async def put(self, outgoing: OutgoingMessage) -> None:
        """Send a message after those that wait already."""
        await self._queue.put(outgoing)

    async def run(self) -> None:
        """Send until cancelled."""
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
