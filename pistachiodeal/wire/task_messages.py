"""Messages by which owners of partitions and agents agree on tasks."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources

UNKNOWN_RUN = "unknown_run"


@dataclass(frozen=True, slots=True)
class TaskRef:
    """A run on the sender's worker."""

    task_id: str
    attempt: int
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Lease for every run of one partition that the beat's report named."""

    partition: int
    epoch: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Entry to agent: answer to a :class:`Report` that named runs."""

    beat: int
    grants: tuple[LeaseGrant, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """Owner to agent: run this attempt, which is journaled already.

    :param beat: the agent's latest beat that the owner has seen: the lease
        counts from when the agent sent it, so that a start that was held up
        (an owner frozen between two lines) brings an expired lease with it.
    :param size: what to reserve.
    """

    task_id: str
    attempt: int
    partition: int
    epoch: int
    beat: int
    lease_ms: int
    kind: str
    profile: str
    size: Resources
    payload: str
    checkpoint: str
    min_run_ms: int
    evictions: int


@dataclass(frozen=True, slots=True)
class StartRefused:
    """Agent to owner: this attempt runs nowhere and never will."""

    task_id: str
    attempt: int
    code: str
    detail: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Owner to agent: stop a run; the answer is a :class:`TaskEnded`.

    :param evict: make a checkpoint first.
    """

    task_id: str
    attempt: int
    partition: int
    epoch: int
    evict: bool


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """Agent to owner, repeated until acknowledged: the run is over for certain.

    :param state: a :class:`pistachiodeal.store.protocols.RunState` that is
        not running, or :data:`UNKNOWN_RUN` when the worker never had it.
    :param checkpoint: object key to resume from, empty for none.
    :param used: largest use seen, by which sizes are learnt.
    """

    task_id: str
    attempt: int
    state: str
    result: str
    checkpoint: str
    used: Resources
    run_ms: int


@dataclass(frozen=True, slots=True)
class TaskAck:
    """Owner to agent: the end is journaled, forget it."""

    task_id: str
    attempt: int
