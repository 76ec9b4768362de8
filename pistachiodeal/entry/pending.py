"""A request that was handed to an agent and waits for its answer."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from pistachiodeal.wire.messages import Failure, Refusal, Response


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link broke while the answer was awaited: the fate is not known.

    :param peer: node at the other end.
    """

    peer: str
    detail: str


Answer = Response | Refusal | Failure | LinkLost


class PendingRequest:
    """One open request on one link; one task waits, the link's task answers."""

    __slots__ = ("_answered", "answer", "request_id")

    def __init__(self, request_id: int) -> None:
        self.request_id = request_id
        self.answer: Answer | None = None
        self._answered = curio.Event()

    async def wait(self) -> Answer:
        """Return the answer once it is there."""
        await self._answered.wait()
        assert self.answer is not None
        return self.answer

    async def resolve(self, answer: Answer) -> None:
        """Hand the answer to the waiting task."""
        self.answer = answer
        await self._answered.set()
