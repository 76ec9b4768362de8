"""Queue of requests that wait for a runner, earliest deadline first."""

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
    """The link on which a request arrived and its answer is sent."""

    async def send(self, message: Message) -> None:
        """Send a message; raises LinkClosedError."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is not answered yet.

    :param refuse_at: time at which it is refused if it still waits; before the
        deadline, so that the refusal reaches the entry in time.
    :param sequence: unique; orders requests with equal deadlines by arrival.
    :param waiting: it is in the queue, and no runner has it.
    :param withdrawn: the entry has withdrawn it.
    :param dispatches: number of times it was dispatched to a runner.
    """

    origin: Origin
    request: Request
    received_at: float
    deadline: float
    refuse_at: float
    sequence: int
    waiting: bool = False
    withdrawn: bool = False
    dispatches: int = 0

    @property
    def key(self) -> tuple[int, int]:
        """Return its unique key; request ids are unique only within one link."""
        return id(self.origin), self.request.request_id


class ServiceQueue:
    """The waiting requests of one service, earliest deadline first."""

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self.filled = curio.Event()
        self.service_time = ServiceTime()
        self.latency = RecentLatency(window_s, clock)
        self.timer: curio.Task | None = None
        self._waiting: list[tuple[float, int, PendingRequest]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, pending: PendingRequest) -> None:
        """Insert a request by its deadline."""
        pending.waiting = True
        insort(self._waiting, (pending.refuse_at, pending.sequence, pending))

    def pop(self) -> PendingRequest:
        """Remove and return the first request."""
        return self._remove(0)

    def pop_late(self, now: float) -> PendingRequest | None:
        """Remove and return the first request if its ``refuse_at`` has passed."""
        if self._waiting and self._waiting[0][0] <= now:
            return self._remove(0)
        return None

    def discard(self, pending: PendingRequest) -> None:
        """Remove a waiting request."""
        self._remove(self._find(pending))

    def count_ahead(self, pending: PendingRequest) -> int:
        """Return the number of waiting requests ahead of this one."""
        return self._find(pending)

    def estimate_wait(self, ahead: int, slots: int) -> float:
        """Return the estimated wait for a slot, in seconds.

        :param ahead: number of requests ahead in the queue.
        :param slots: number of slots of usable runners, all of them busy.
        """
        return (ahead + 1) * self.service_time.mean / max(slots, 1)

    def _find(self, pending: PendingRequest) -> int:
        return bisect_left(self._waiting, (pending.refuse_at, pending.sequence))

    def _remove(self, index: int) -> PendingRequest:
        pending = self._waiting.pop(index)[2]
        pending.waiting = False
        return pending


def create_pending(
    origin: Origin, request: Request, now: float, sequence: int
) -> PendingRequest:
    """Create the pending request for a request received at ``now``."""
    budget = request.budget_ms / 1000
    deadline = now + budget
    margin = min(RETURN_MARGIN_S, budget / 4)
    return PendingRequest(origin, request, now, deadline, deadline - margin, sequence)
