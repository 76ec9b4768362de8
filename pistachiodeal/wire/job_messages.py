"""Messages between an agent or entry and the leader about jobs.

An agent reports everything its worker runs, and the leader answers with a directive.
Both carry the whole state that the other side needs, so a lost connection costs one
report and no message has to be repeated by itself.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Label:
    """One text of a list."""

    text: str


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task at work on a worker.

    :param checkpoint: newest saved state, empty when there is none.
    :param percent: of its work done; for a task that lasts, 100 while it serves.
    :param figure: tail latency in ms of a serving task, else processor use in
        thousandths of a core.
    :param worked_milli: pace of a filling task while the figures were taken, in
        thousandths of full speed.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    figure: int
    worked_milli: int = 0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run, kept by the worker until it is acknowledged.

    :param number: counts up on one worker.
    :param how: a value of ``EndKind``.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """What became of a start order that put nothing on the worker.

    :param outcome: ``pending``, ``refused`` or ``void``: the worker will never run it.
    """

    task: str
    run: int
    outcome: str
    detail: str


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its worker.

    :param age_ms: time from its start to the worker's first silence, -1 where the
        agent has not seen its start.
    """

    task: str
    run: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """A worker's incarnation whose runs have certainly ended.

    :param cause: a value of ``LossCause``.
    :param ago_ms: time since its first silence.
    :param runs: what was at work, or may have been.
    """

    worker: str
    cause: str
    ago_ms: int
    runs: tuple[LostRun, ...]


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Agent to leader: the worker as it is now.

    :param beat: counts up on one link; the grant in the answer counts from the
        moment at which the agent sent it.
    :param epoch: highest epoch the agent obeys.
    :param worker: the worker's incarnation, empty while the agent knows none.
    :param losses: earlier incarnations that ended lately.
    :param listed: whether ``running`` and ``ends`` are complete.
    :param leaving_ms: least time left to a draining worker.
    """

    beat: int
    epoch: int
    worker: str
    losses: tuple[WorkerLoss, ...]
    service: str
    listed: bool
    draining: bool
    leaving_ms: int
    cpu_milli: int
    memory_mib: int
    accelerators: int
    labels: tuple[Label, ...]
    running: tuple[RunningTask, ...]
    ends: tuple[EndedTask, ...]
    outcomes: tuple[OrderOutcome, ...]


@dataclass(frozen=True, slots=True)
class RunOrder:
    """A run that the worker shall start, or that the agent shall know about.

    :param serves: tail latency in ms that the task must keep, 0 when it has none.
    :param fills: whether it lives on what others leave and may be paced.
    :param image: what it runs; tasks of one image behave alike.
    :param cpu_milli: processor time that it asks for, thousandths of a core.
    :param memory_mib: memory that it reserves, MiB.
    :param accelerators: whole accelerators that it reserves.
    """

    task: str
    run: int
    checkpoint: str
    ticket: str
    fills: bool
    serves_ms: int
    image: str = ""
    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class PairPress:
    """What one filling task at full speed takes from a serving neighbour.

    :param press_milli: thousandths of slack, the aim over the tail latency.
    """

    filling: str
    serving: str
    press_milli: int


@dataclass(frozen=True, slots=True)
class RunRef:
    """Names one run of a task."""

    task: str
    run: int


@dataclass(frozen=True, slots=True)
class JobText:
    """What the runner needs to know of a job; sent once for all its tasks."""

    job: str
    text: str


TOKENS_GRANTED = 1_024
"""Fencing tokens that a directive grants, from the one that it names."""


@dataclass(frozen=True, slots=True)
class Directive:
    """Leader to agent: the answer to a report, or new orders.

    :param beat: the report that it answers.
    :param grant_ms: leases may run until this long after that report was sent.
    :param token: the lowest of the fencing tokens for calls to the runner.
    :param worker: the incarnation that the orders are for.
    :param ends_noted: ends up to this number are durable.
    :param known: runs that are at work already, described for a new agent.
    :param presses: news of which images disturb each other on this worker.
    :param starts_ms: starts may begin until this long after that report was sent;
        -1 of a leader of a version that knows no such limit.
    """

    epoch: int
    beat: int
    grant_ms: int
    token: int
    worker: str
    ends_noted: int
    texts: tuple[JobText, ...]
    starts: tuple[RunOrder, ...]
    stops: tuple[RunRef, ...]
    known: tuple[RunOrder, ...]
    presses: tuple[PairPress, ...] = ()
    starts_ms: int = -1


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Entry to a dialler: who leads, as far as this entry knows.

    :param store_age_ms: time since the leader last wrote to or read from the store.
    :param entries: addresses of all entries that the sender knows.
    :param heard_ms: time since the sender, or whoever told it, heard the leader.
    """

    epoch: int
    address: str
    store_age_ms: int
    entries: tuple[Label, ...]
    heard_ms: int


@dataclass(frozen=True, slots=True)
class EntryState:
    """Entry to leader: how fit it is to lead.

    :param address: where it accepts links, ``ip:port``.
    :param fitness_milli: in thousandths of the least that a leader needs; 0 once the
        entry is stopping.
    """

    address: str
    fitness_milli: int


@dataclass(frozen=True, slots=True)
class Appointment:
    """Leader to an entry: the leader's row names you from now on.

    :param epoch: of that row.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class JobNotice:
    """Entry to leader: a row of the jobs table is durable.

    :param key: the row's key.
    """

    key: str


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Entry to leader: a job's state, or how many jobs of a queue have not begun."""

    request_id: int
    job: str
    queue: str


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The answer to a :class:`JobQuery`; ``state`` is empty for an unknown job."""

    request_id: int
    state: str
    pending: int
