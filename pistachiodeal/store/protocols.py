"""What this project needs of the platform, as ``Protocol`` types.

The platform's own published protocol replaces one HTTP client module each;
nothing outside this package knows how the platform is reached.
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

    :param version: set by the table, larger than 0, changes with every write.
    """

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One row's part of a transaction.

    :param value: new value; None deletes the row (ignored with ``check_only``).
    :param expect: version the row must have: :data:`ANY_VERSION`, :data:`ABSENT`,
        or the exact version.
    :param check_only: test the condition and leave the row as it is.
    """

    key: str
    value: bytes | None = None
    expect: int = ANY_VERSION
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Answer to a transaction.

    :param conflicts: keys whose condition failed; when there are any, no row
        was written.
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
        """Apply all writes, or none when a condition fails."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, from one point in time."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows in key order whose key has ``prefix`` and is above ``after``."""


class ObjectStore(Protocol):
    """The platform's object store; same errors as :class:`Table`."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object; replaces what was there."""

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None."""

    async def delete(self, key: str) -> None:
        """Remove an object if it is there."""


class RunState(StrEnum):
    """States of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"  # stopped on request
    EXPIRED = "expired"  # stopped by the worker because its lease ran out


@dataclass(frozen=True, slots=True)
class RunRequest:
    """What a worker is asked to run.

    :param lease_until: end of the lease on the host's monotonic clock, in
        seconds. Agent and worker share one VM, so they share the clock; a
        duration would start anew after a freeze of the agent.
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
    """A task as the worker knows it; kept after its end until forgotten.

    :param tag: what the agent stored with it (partition, epoch), for a successor.
    :param progress: share of the work done, 0 to 1, as far as the worker knows.
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
    """Use of one task or runner, as measured some time ago.

    :param subject: task id or ``runner:{service}``.
    :param at: when it was measured, host's monotonic clock, seconds.
    """

    subject: str
    at: float
    used: Resources


class WorkerRuntime(Protocol):
    """The platform's runtime on one worker.

    ``session`` fences agents: every call but :meth:`attach` carries the session
    that ``attach`` gave, and a call with an older one raises
    :class:`WorkerFencedError`.

    :raises WorkerError: the worker refused, or could not be reached.
    """

    async def attach(self) -> Resources:
        """Take the worker over from any earlier agent; return its capacity."""

    async def start(self, run: RunRequest, tag: str) -> None:
        """Start a task; repeating the same task and attempt changes nothing."""

    async def renew(self, leases: dict[str, float]) -> None:
        """Set the end of tasks' leases (never earlier than before)."""

    async def checkpoint(self, task_id: str) -> bytes:
        """Return a state from which the task can be resumed."""

    async def throttle(self, task_id: str, share: float) -> None:
        """Let the task use this share of its size, over 0 and up to 1."""

    async def stop(self, task_id: str) -> Run:
        """Stop a task and return its end: it may have finished before."""

    async def forget(self, task_id: str, attempt: int) -> None:
        """Drop the record of an ended task."""

    async def usage(self) -> list[UsageSample]:
        """Return the latest measurements, which lag."""

    async def list(self) -> list[Run]:
        """Return every task that runs, or that ended and was not forgotten."""
