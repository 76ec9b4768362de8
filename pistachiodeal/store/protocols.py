"""Interfaces to the platform's services, as ``Protocol`` types.

Each interface has one HTTP client module, which can be replaced by one for the
platform's own published protocol. Only this package knows how to reach the platform.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from pistachiodeal.model.resources import Resources

ANY_VERSION = -1
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    :param version: set by the table, greater than 0, changes with every write.
    """

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write of one row within a transaction.

    :param value: new value; None deletes the row (ignored with ``check_only``).
    :param expect: version that the row must have: :data:`ANY_VERSION`,
        :data:`ABSENT`, or the exact version.
    :param check_only: check the condition without changing the row.
    """

    key: str
    value: bytes | None = None
    expect: int = ANY_VERSION
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a transaction.

    :param conflicts: keys whose condition failed; if there are any, no row was
        written.
    :param versions: new version of each row that was written.
    """

    conflicts: tuple[str, ...] = ()
    versions: dict[str, int] = field(default_factory=dict)

    @property
    def committed(self) -> bool:
        """Tell whether the transaction took effect."""
        return not self.conflicts


class Table(Protocol):
    """The platform's transactional table service.

    Every call ends within the client's time-out.

    :raises StoreUnavailableError: the call took no effect.
    :raises StoreUncertainError: the answer was lost; a commit may have taken effect.
    """

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        """Apply all writes, or none if a condition fails."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, from one point in time."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows in key order whose key has ``prefix`` and is above ``after``."""


class ObjectStore(Protocol):
    """The platform's object store; same errors as :class:`Table`."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object, replacing an existing one."""

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if it doesn't exist."""

    async def delete(self, key: str) -> None:
        """Remove an object if it exists."""


class RunState(StrEnum):
    """States of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"  # stopped on request
    EXPIRED = "expired"  # stopped by the worker because its lease ran out


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A request to a worker to run a task.

    :param lease_until: end of the lease on the host's monotonic clock, in
        seconds. Agent and worker run on the same VM, so they share the clock; a
        duration would start over after a freeze of the agent.
    :param checkpoint: state to resume from, None for a fresh start.
    """

    task_id: str
    attempt: int
    kind: str
    size: Resources
    payload: str
    lease_until: float
    checkpoint: bytes | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """A task on a worker; its record is kept after its end until it is forgotten.

    :param tag: agent's data about it (partition, epoch), for a successor to read.
    """

    task_id: str
    attempt: int
    kind: str
    size: Resources
    state: RunState
    result: str = ""
    started_at: float = 0.0
    throttle: float = 1.0
    tag: str = ""


@dataclass(frozen=True, slots=True)
class UsageSample:
    """A past measurement of the resources used by one task or runner.

    :param subject: task id or ``runner:{service}``.
    :param at: time of the measurement on the host's monotonic clock, seconds.
    """

    subject: str
    at: float
    used: Resources


class WorkerRuntime(Protocol):
    """The platform's runtime on one worker.

    ``session`` fences agents: every call but :meth:`attach` carries the session
    that ``attach`` returned, and a call with an older one raises
    :class:`WorkerFencedError`.

    :raises WorkerError: the worker refused, or could not be reached.
    """

    async def attach(self) -> Resources:
        """Take the worker over from any earlier agent; return its capacity."""

    async def start(self, run: RunRequest, tag: str) -> None:
        """Start a task; idempotent for the same task and attempt."""

    async def renew(self, leases: dict[str, float]) -> None:
        """Extend the leases of tasks (an end never moves earlier)."""

    async def checkpoint(self, task_id: str) -> bytes:
        """Return a state from which the task can be resumed."""

    async def throttle(self, task_id: str, share: float) -> None:
        """Limit the task to a share of its size, greater than 0 and at most 1."""

    async def stop(self, task_id: str) -> Run:
        """Stop a task and return its final state; it may have finished before."""

    async def forget(self, task_id: str, attempt: int) -> None:
        """Drop the record of an ended task."""

    async def usage(self) -> list[UsageSample]:
        """Return the latest usage samples, which lag behind actual use."""

    async def list(self) -> list[Run]:
        """Return the running tasks and the ended ones not yet forgotten."""
