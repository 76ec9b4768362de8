"""Hands an agent's messages about tasks to the batch service."""

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
    """Keeps one link's messages until the batch service has taken them.

    The batch service waits for the table. Were it called by the task that reads
    the link, a slow table would hold up the answers of interactive requests that
    stand behind such a message: latency would follow the store's.
    """

    def __init__(self, session: Session, batch: TaskService) -> None:
        self._session = session
        self._batch = batch
        self._waiting: deque[BatchMessage] = deque()
        self._added = curio.Event()

    async def put(self, message: BatchMessage) -> bool:
        """Take a message; False when it was dropped because too many wait.

        Agents repeat reports and ends of tasks, so that a dropped one is late
        and not lost.
        """
        if len(self._waiting) >= INBOX_LIMIT:
            return False
        self._waiting.append(message)
        await self._added.set()
        return True

    async def run(self) -> None:
        """Hand messages on until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            while self._waiting:
                await self._batch.receive(self._session, self._waiting.popleft())
