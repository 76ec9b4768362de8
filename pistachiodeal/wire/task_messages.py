"""Messages about tasks between the owners of partitions and agents."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources

UNKNOWN_RUN = "unknown_run"


@dataclass(frozen=True, slots=True)
class TaskRef:
    """An attempt of a task that runs on the sender's worker."""

    task_id: str
    attempt: int
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease for every run of one partition that the answered report listed."""

    partition: int
    epoch: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Entry to agent: renews leases, in answer to a :class:`Report` that listed runs.

    :param beat: the heartbeat number of that report; leases count from its sending.
    """

    beat: int
    grants: tuple[LeaseGrant, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """Owner to agent: run this attempt; it is in the journal already.

    :param beat: number of the latest heartbeat that the owner has received from the
        agent. The lease counts from when the agent sent it, so that a start that was
        delayed (for example by a suspended owner) arrives with an expired lease.
    :param lease_ms: duration of the lease.
    :param size: resources to reserve.
    :param checkpoint: object key to resume from, empty for none.
    :param min_run_ms: minimum time to run before the task may be evicted.
    :param evictions: number of evictions in earlier attempts of the task.
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
    """Agent to owner: this attempt was not started and never will be."""

    task_id: str
    attempt: int
    code: str
    detail: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Owner to agent: stop a run; the agent answers with a :class:`TaskEnded`.

    :param evict: whether the task saves a checkpoint first.
    """

    task_id: str
    attempt: int
    partition: int
    epoch: int
    evict: bool


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """Agent to owner: the run has certainly ended; repeated until acknowledged.

    :param state: a :class:`pistachiodeal.store.protocols.RunState` other than
        ``running``, or :data:`UNKNOWN_RUN` if the worker never had this run.
    :param checkpoint: object key to resume from, empty for none.
    :param used: peak resource usage; sizes of later tasks are estimated from it.
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
    """Owner to agent: the end is in the journal, so the agent can discard it."""

    task_id: str
    attempt: int
