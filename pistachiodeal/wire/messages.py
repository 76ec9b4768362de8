"""Messages between entries and agents, and between entries.

Agents dial entries; entries dial the owner of a partition over the same kind of link.
A message is an instance of one of the data classes in this module and in the other
``*_messages`` modules of this package; :data:`Message` lists them.
:mod:`pistachiodeal.wire.codec` encodes them as Cap'n Proto frames.
"""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.configuration_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)
from pistachiodeal.wire.handshake_messages import Challenge, Hello, Welcome
from pistachiodeal.wire.job_messages import (
    Appointment,
    Directive,
    EntryState,
    JobAnswer,
    JobNotice,
    JobQuery,
    LeaderNotice,
    WorkerReport,
)
from pistachiodeal.wire.relay_messages import RelayAnswer, RelayCommit, RelayRead
from pistachiodeal.wire.task_messages import (
    Renew,
    Start,
    StartRefused,
    Stop,
    TaskAck,
    TaskEnded,
    TaskRef,
)

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Shows that the sender is alive while it has nothing else to send."""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender is shutting down: send it no new work; open requests continue."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry's internal address ``ip:port``."""

    node: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PartitionOwner:
    """The owner of a partition and the epoch of its ownership.

    :param node: the owner, empty if the partition has none.
    """

    partition: int
    epoch: int
    node: str
    address: str


@dataclass(frozen=True, slots=True)
class Directory:
    """Entry to agent: all entries, and the owners of all partitions."""

    entries: tuple[EntryAddress, ...]
    owners: tuple[PartitionOwner, ...]


@dataclass(frozen=True, slots=True)
class PolicyPart:
    """One version of a service's policy.

    :param profile: the profile as JSON, empty if the policy was removed.
    """

    service: str
    version: int
    profile: str


@dataclass(frozen=True, slots=True)
class Policies:
    """Both ways: current policies; the receiver keeps the highest version of each."""

    parts: tuple[PolicyPart, ...]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service's runners on the agent's worker.

    :param latency_us: recent latency of the runners, microseconds.
    """

    service: str
    slots: int
    busy: int
    queued: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class Report:
    """Agent to entry: the heartbeat.

    :param beat: sequence number. The agent remembers when it sent each heartbeat, and
        a lease granted with this number counts from that time.
    :param draining: whether the worker accepts no new work.
    :param free: unused part of the worker's capacity.
    :param tasks: runs in partitions that the receiver owns.
    """

    beat: int
    draining: bool
    capacity: Resources
    free: Resources
    services: tuple[ServiceLoad, ...]
    tasks: tuple[TaskRef, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, forwarded to an agent (for tasks, to the partition's owner).

    :param request_id: unique on this link; never reused.
    :param headers: pairs of name and value, names in lower case.
    :param budget_ms: time left until the deadline, counted from receipt.
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
    """Entry to agent: drop this request if it has not been passed to a runner yet."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Response:
    """The complete answer to a :class:`Request`."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request was passed to no runner; its outcome is certainly ``not_run``."""

    request_id: int
    code: str
    detail: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Failure:
    """The request was passed on and got no complete answer.

    :param outcome: ``ran`` or ``unknown``.
    """

    request_id: int
    outcome: str
    code: str
    step: str
    detail: str


@dataclass(frozen=True, slots=True)
class PairEvidence:
    """Measured slow-down of a service by tasks of one kind on the same worker.

    :param slowdown_sum_milli: sum of the weighted slow-downs, in thousandths.
    :param weight_milli: sum of the weights, in thousandths.
    """

    service: str
    kind: str
    slowdown_sum_milli: int
    weight_milli: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """Agent to entry: new measurements; entry to agent: the totals of all agents."""

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
    | WorkerReport
    | Directive
    | LeaderNotice
    | JobQuery
    | JobAnswer
    | JobNotice
    | EntryState
    | Appointment
    | RelayCommit
    | RelayRead
    | RelayAnswer
    | ConfigurationQuery
    | ConfigurationAnswer
)
