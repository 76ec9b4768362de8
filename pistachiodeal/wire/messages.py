"""Messages between entries and agents, and between entries.

Agents dial entries; entries dial the owner of a partition with the same link.
A message is one of these data classes, or of those in
:mod:`pistachiodeal.wire.handshake_messages` and
:mod:`pistachiodeal.wire.task_messages`; :mod:`pistachiodeal.wire.codec` turns it
into a pycapnp frame and back.
"""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources
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
)
