"""Messages between entries and agents, and between entries.

Agents dial entries; entries dial the owner of a partition with the same link.
A message is one of these data classes; :mod:`pistachiodeal.wire.codec` turns it
into a pycapnp frame and back.
"""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources

PROTOCOL_VERSION = 1

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the dialling side.

    :param role: ``agent`` or ``entry``.
    :param node: name of the process, stable over restarts.
    :param incarnation: random for each start of the process.
    :param nonce: random; the answer proves the secret over it.
    :param proof: HMAC of the acceptor's challenge with the shared secret.
    """

    version: int
    role: str
    node: str
    incarnation: int
    worker: str
    data_centre: str
    rack: str
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer of the accepting side to :class:`Hello`.

    :param proof: HMAC of the dialler's nonce with the shared secret.
    """

    node: str
    incarnation: int
    data_centre: str
    proof: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Sent by the accepting side as soon as a connection is open."""

    version: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """Keeps a silent link known to be alive."""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender is leaving: give it nothing new; what is open goes on."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry's internal address ``ip:port``."""

    node: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PartitionOwner:
    """Who owns a partition, and under which epoch; node empty when nobody."""

    partition: int
    epoch: int
    node: str
    address: str


@dataclass(frozen=True, slots=True)
class Directory:
    """Entry to agent: the entries and the owners of the partitions."""

    entries: tuple[EntryAddress, ...]
    owners: tuple[PartitionOwner, ...]


@dataclass(frozen=True, slots=True)
class PolicyPart:
    """A service's policy at a version; ``profile`` is JSON, empty when removed."""

    service: str
    version: int
    profile: str


@dataclass(frozen=True, slots=True)
class Policies:
    """Both ways: policies in force; a receiver keeps the highest versions."""

    parts: tuple[PolicyPart, ...]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """An agent's figures for one service's runners on its worker.

    :param latency_us: recent latency of the runners, microseconds.
    """

    service: str
    slots: int
    busy: int
    queued: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class TaskRef:
    """A run on the sender's worker."""

    task_id: str
    attempt: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Report:
    """Agent to entry, each heartbeat.

    :param beat: counts up; the agent remembers when it sent each one, and a
        lease granted with this beat counts from that moment.
    :param draining: take nothing new here.
    :param free: what is left of the worker's capacity.
    :param tasks: runs of partitions which the receiver owns.
    """

    beat: int
    draining: bool
    capacity: Resources
    free: Resources
    services: tuple[ServiceLoad, ...]
    tasks: tuple[TaskRef, ...]


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
class Request:
    """A caller's request, handed to an agent (or, for tasks, to an owner).

    :param request_id: unique on this link; never used again.
    :param budget_ms: time left, counted from receipt.
    :param headers: pairs, names in lower case.
    """

    request_id: int
    service: str
    caller: str
    method: str
    target: str
    headers: Headers
    body: bytes
    budget_ms: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Entry to agent: hand this request on no more if it still waits."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Response:
    """The whole answer to a :class:`Request`."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request was handed to no runner (outcome ``not_run``, for certain)."""

    request_id: int
    code: str
    detail: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Failure:
    """The request was handed on and has no whole answer.

    :param outcome: ``ran`` or ``unknown``.
    """

    request_id: int
    outcome: str
    code: str
    step: str
    detail: str


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

    :param state: a :class:`pistachiodeal.platform.protocols.RunState` that is
        not running, or ``unknown_run`` when the worker never had it.
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


@dataclass(frozen=True, slots=True)
class PairEvidence:
    """What was learnt of a service beside a kind of task.

    :param slowdown_sum_milli: sum of weighted slow-downs, in thousandths.
    :param weight_milli: sum of the weights, in thousandths.
    """

    service: str
    kind: str
    slowdown_sum_milli: int
    weight_milli: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """Agent to entry: new evidence; entry to agent: what all agents learnt."""

    pairs: tuple[PairEvidence, ...]


Message = (
    Challenge
    | Hello
    | Welcome
    | Ping
    | Goodbye
    | Directory
    | Policies
    | Report
    | Renew
    | Request
    | Withdraw
    | Response
    | Refusal
    | Failure
    | Start
    | StartRefused
    | Stop
    | TaskEnded
    | TaskAck
    | Evidence
)
