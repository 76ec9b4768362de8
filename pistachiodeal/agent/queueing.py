"""Requests that wait on the agent, the earliest deadline first."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import curio

from pistachiodeal.agent.latency import RecentLatency, ServiceTime
from pistachiodeal.wire.messages import Message, Request

RETURN_MARGIN_S = 0.02


class Origin(Protocol):
    """The link that a request came from, and that gets its answer."""

    async def send(self, message: Message) -> None:
        """Send a message; raises LinkClosedError."""


@dataclass(slots=True, eq=False)
class Pending:
    """A request without an answer so far.

    :param refuse_at: when it is refused if it still waits; before the deadline,
        so that the refusal gets back in time.
    :param sequence: unique; keeps requests of equal urgency in order.
    :param waiting: in the queue, handed to no runner.
    :param withdrawn: the entry gave it up after it was handed on.
    """

    origin: Origin
    request: Request
    received_at: float
    deadline: float
    refuse_at: float
    sequence: int
    waiting: bool = False
    withdrawn: bool = False
    handovers: int = 0

    @property
    def key(self) -> tuple[int, int]:
        """Return what names it: request ids are unique on one link only."""
        return id(self.origin), self.request.request_id


class ServiceQueue:
    """Waiting requests of one service, the earliest deadline first."""

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self.filled = curio.Event()
        self.service_time = ServiceTime()
        self.latency = RecentLatency(window_s, clock)
        self.timer: curio.Task | None = None
        self._waiting: list[tuple[float, int, Pending]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, pending: Pending) -> None:
        """Put a request in its place."""
        pending.waiting = True
        insort(self._waiting, (pending.refuse_at, pending.sequence, pending))

    def take(self) -> Pending:
        """Remove and return the first one."""
        return self._remove(0)

    def take_late(self, now: float) -> Pending | None:
        """Remove and return the first one if its time to be refused has come."""
        if self._waiting and self._waiting[0][0] <= now:
            return self._remove(0)
        return None

    def discard(self, pending: Pending) -> None:
        """Remove one that waits."""
        self._remove(self._find(pending))

    def count_ahead(self, pending: Pending) -> int:
        """Return how many go before this one."""
        return self._find(pending)

    def estimate_wait(self, ahead: int, slots: int) -> float:
        """Return the seconds until a slot comes free for one with ``ahead`` before.

        :param slots: slots of usable runners, all of them busy.
        """
        return (ahead + 1) * self.service_time.mean / max(slots, 1)

    def _find(self, pending: Pending) -> int:
        return bisect_left(self._waiting, (pending.refuse_at, pending.sequence))

    def _remove(self, index: int) -> Pending:
        pending = self._waiting.pop(index)[2]
        pending.waiting = False
        return pending


def create_pending(
    origin: Origin, request: Request, now: float, sequence: int
) -> Pending:
    """Return a request as received now."""
    budget = request.budget_ms / 1000
    deadline = now + budget
    margin = min(RETURN_MARGIN_S, budget / 4)
    return Pending(origin, request, now, deadline, deadline - margin, sequence)
