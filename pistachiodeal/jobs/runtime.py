"""What an agent needs of the runner beside it, as types."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import EndedTask, RunningTask


class CallResult(StrEnum):
    """What a runner's answer, or its absence, says of a call's effect."""

    DONE = "done"
    FENCED = "fenced"  # it has seen a higher fencing token
    SUPERSEDED = "superseded"  # that run, or a later one, was there before
    LATE = "late"  # the lease of the order is over
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_incarnation"
    REFUSED = "refused"  # nothing was done
    ABSENT = "absent"  # nothing listens there
    UNKNOWN = "unknown"  # it may have been done, or may be done later
    UNREADABLE = "unreadable"  # the answer doesn't tell who gave it, or what it says


@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """What a runner says of itself.

    :param worker: its incarnation.
    :param sequence: counts up, so that a late heartbeat can be told.
    :param leaving_ms: least time left while it drains.
    """

    worker: str
    service: str
    address: str
    draining: bool
    leaving_ms: int
    sequence: int
    capacity: Resources
    labels: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Goodbye:
    """A runner's last word before a planned end.

    :param runner: name that all its starts share.
    :param worker: its incarnation, the same name where it doesn't say which.
    """

    runner: str
    worker: str


@dataclass(frozen=True, slots=True)
class Listing:
    """A runner's answer to a lease renewal.

    :param clock_ms: the runner's clock at its answer.
    :param detail: what is wrong with an answer that can't be read.
    """

    result: CallResult
    clock_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ends: tuple[EndedTask, ...] = ()
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start as the runner is told it.

    :param lease_end_ms: on the runner's clock.
    """

    worker: str
    token: int
    task: str
    run: int
    text: str
    lease_end_ms: int
    checkpoint: str
    ticket: str


class Runtime(Protocol):
    """Calls to one runner."""

    async def start(self, call: StartCall) -> CallResult:
        """Start a run."""

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        """Stop a run; one that is not there yet will be refused."""

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """Let a run work at a share of its speed."""

    async def renew(
        self, worker: str, token: int, noted: int, lease_end_ms: int, wait_ms: int
    ) -> Listing:
        """Renew the lease, acknowledge ends, and list what runs and has ended.

        :param lease_end_ms: on the runner's clock; 0 leaves the lease as it is.
        :param wait_ms: how long the answer may wait for an end.
        """
