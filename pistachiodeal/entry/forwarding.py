"""Serves task requests that other entries forward to this partition owner."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import curio

from pistachiodeal.entry.sessions import Session
from pistachiodeal.exceptions import LinkClosedError
from pistachiodeal.wire.messages import Refusal, Request, Response

TASK_SERVICE = "@tasks"
WORKER_LIMIT = 64
QUEUE_LIMIT = 1024
BUSY_RETRY_MS = 200

Handler = Callable[[Request], Awaitable[Response | Refusal]]


class ForwardedRequestServer:
    """Answers the requests of one link with a bounded number of curio tasks.

    Tasks start on demand and end when the queue is empty.
    """

    def __init__(self, session: Session, handler: Handler) -> None:
        self._session = session
        self._handler = handler
        self._waiting: deque[Request] = deque()
        self._workers: set[curio.Task] = set()

    async def accept(self, request: Request) -> None:
        """Queue a request, or refuse it when the queue is full."""
        if request.service != TASK_SERVICE:
            await self._refuse(request, "unknown_service")
            return
        if len(self._waiting) >= QUEUE_LIMIT:
            await self._refuse(request, "busy")
            return
        self._waiting.append(request)
        if len(self._workers) < WORKER_LIMIT:
            self._workers.add(await curio.spawn(self._work, daemon=True))

    async def close(self) -> None:
        """Cancel open requests: the link for their answers is closed."""
        self._waiting.clear()
        for worker in tuple(self._workers):
            await worker.cancel()

    async def _work(self) -> None:
        try:
            while self._waiting:
                await self._answer(self._waiting.popleft())
        except LinkClosedError:
            self._waiting.clear()
        finally:
            self._workers.discard(await curio.current_task())

    async def _answer(self, request: Request) -> None:
        answer = await self._handler(request)
        await self._session.send(answer)

    async def _refuse(self, request: Request, code: str) -> None:
        refusal = Refusal(request.request_id, code, "", BUSY_RETRY_MS)
        await self._session.enqueue(refusal)
