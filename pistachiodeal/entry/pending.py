"""A request that was sent to an agent and has no answer yet."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from pistachiodeal.wire.messages import Failure, Refusal, Response


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link broke while the answer was pending: the outcome is unknown.

    :param peer: node at the other end of the link.
    """

    peer: str
    detail: str


Answer = Response | Refusal | Failure | LinkLost


class PendingRequest:
    """One open request on one link.

    The dispatching task waits for it; the task that reads the link resolves it.
    """

    __slots__ = ("_answered", "answer", "request_id")

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id
        self.answer: Answer | None = None
        self._answered = curio.Event()

    async def wait(self) -> Answer:
        """Wait for the answer and return it."""
        await self._answered.wait()
        assert self.answer is not None
        return self.answer

    async def resolve(self, answer: Answer) -> None:
        """Set the answer and wake the waiting task."""
        self.answer = answer
        await self._answered.set()
