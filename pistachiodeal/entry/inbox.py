"""Queues an agent's task messages for the batch service."""

from __future__ import annotations

from collections import deque

import curio

from pistachiodeal.entry.protocols import TaskService
from pistachiodeal.entry.sessions import Session
from pistachiodeal.wire.messages import Report
from pistachiodeal.wire.task_messages import StartRefused, TaskEnded

INBOX_LIMIT = 1024

BatchMessage = Report | StartRefused | TaskEnded


class BatchInbox:
    """Queues the messages of one link until the batch service has handled them.

    The batch service waits for the table. If the task that reads the link called
    it directly, a slow table would delay the answers of interactive requests that
    are queued behind such a message: latency would follow the store's.
    """

    def __init__(self, session: Session, batch: TaskService) -> None:
        self._session = session
        self._batch = batch
        self._waiting: deque[BatchMessage] = deque()
        self._added = curio.Event()

    async def put(self, message: BatchMessage) -> bool:
        """Queue a message; return False when the queue was full and it was dropped.

        Agents repeat reports and ends of tasks, so a dropped message is delayed
        and not lost.
        """
        if len(self._waiting) >= INBOX_LIMIT:
            return False
        self._waiting.append(message)
        await self._added.set()
        return True

    async def run(self) -> None:
        """Pass messages to the batch service until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            while self._waiting:
                await self._batch.receive(self._session, self._waiting.popleft())
