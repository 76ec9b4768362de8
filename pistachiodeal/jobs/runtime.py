"""Interface of an agent to the runner on its VM."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import EndedTask, RunningTask


class CallResult(StrEnum):
    """What the answer of a runner, or the lack of one, says about a call's effect."""

    DONE = "done"
    FENCED = "fenced"  # the runner has seen a higher fencing token
    SUPERSEDED = "superseded"  # the runner already had this run or a later one
    LATE = "late"  # the lease in the call has expired
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_incarnation"
    REFUSED = "refused"  # the call had no effect
    ABSENT = "absent"  # nothing listens at the address
    UNKNOWN = "unknown"  # the call may have taken effect, or may yet
    UNREADABLE = "unreadable"  # the answer, or its sender, can't be decoded


@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A runner's heartbeat.

    :param worker: the runner's incarnation.
    :param sequence: increases with each heartbeat, so that late ones are detected.
    :param leaving_ms: the least time that is left while the runner drains.
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
    """A runner's message before a planned shutdown.

    :param runner: name that all its starts share.
    :param worker: its incarnation, or the same name if the message names no start.
    """

    runner: str
    worker: str


@dataclass(frozen=True, slots=True)
class Listing:
    """A runner's answer to a lease renewal.

    :param clock_ms: the runner's clock at its answer, milliseconds.
    :param detail: what is wrong with an answer that can't be decoded.
    """

    result: CallResult
    clock_ms: int = 0
    running: tuple[RunningTask, ...] = ()
    ends: tuple[EndedTask, ...] = ()
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StartCall:
    """The arguments of a call that starts a run.

    :param lease_end_ms: end of the run's lease on the runner's clock, milliseconds.
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
        """Stop a run; if it has not started yet, its start will be refused."""

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """Limit a run to a percentage of its full speed."""

    async def renew(
        self,
        worker: str,
        token: int,
        acknowledged: int,
        lease_end_ms: int,
        wait_ms: int,
    ) -> Listing:
        """Renew the lease, acknowledge ended runs, and list running and ended runs.

        :param acknowledged: number of the last acknowledged end.
        :param lease_end_ms: on the runner's clock, milliseconds; 0 leaves the lease
            unchanged.
        :param wait_ms: how long the runner may delay its answer until a run ends,
            milliseconds.
        """
