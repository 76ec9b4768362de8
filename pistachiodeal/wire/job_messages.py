"""Messages about jobs between the leader and agents, and between entries.

An agent reports everything that its worker runs, and the leader answers with a
directive. Both messages carry the complete state that the receiver needs: after a lost
connection one new report restores it, and no message needs a retry of its own.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Label:
    """A list item that holds one text, such as a label or an address."""

    text: str


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running task on a worker.

    :param checkpoint: latest checkpoint, empty if there is none.
    :param percent: share of its work that is done; for a long-running task, 100 while
        it serves.
    :param figure: tail latency in ms of a serving task; processor usage in thousandths
        of a core for any other task.
    :param worked_milli: pace at which a filling task ran while the figures were
        measured, in thousandths of full speed.
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

    :param number: sequence number on this worker.
    :param how: the kind of end, a value of ``EndKind``.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The outcome of a start order that has started no run on the worker.

    :param outcome: ``pending``, ``refused``, or ``void`` if the worker will never run
        it.
    """

    task: str
    run: int
    outcome: str
    detail: str


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended because its worker was lost.

    :param age_ms: time from the run's start until the worker first failed to respond,
        -1 if the agent did not observe the start.
    """

    task: str
    run: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """A lost incarnation of a worker, whose runs have certainly ended.

    :param worker: the lost incarnation.
    :param cause: a value of ``LossCause``.
    :param ago_ms: time since the worker first failed to respond.
    :param runs: runs that were, or may have been, active on it.
    :param ends: ends that it had listed and that no leader has acknowledged.
    """

    worker: str
    cause: str
    ago_ms: int
    runs: tuple[LostRun, ...]
    ends: tuple[EndedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Agent to leader: the current state of the worker.

    :param beat: sequence number of the report on this link; the grant in the answer
        counts from when the agent sent the report.
    :param epoch: highest leader epoch that the agent has accepted.
    :param worker: the worker's incarnation, empty while the agent knows none.
    :param losses: earlier incarnations that were lost recently.
    :param listed: whether ``running`` and ``ends`` are complete.
    :param leaving_ms: minimum time that a draining worker has left.
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
    """A run that the worker has to start, or the description of one that is running.

    :param fills: whether it is a filling task: it uses capacity that other tasks leave
        idle, and its pace may be reduced.
    :param serves_ms: tail latency in ms that the task must keep, 0 if it has no such
        limit.
    :param image: the image that it runs; tasks of one image behave alike.
    :param cpu_milli: requested processor time, thousandths of a core.
    :param memory_mib: reserved memory, MiB.
    :param accelerators: number of reserved accelerators.
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
    """The interference of one filling task at full speed with a serving task.

    :param filling: image of the filling task.
    :param serving: image of the serving task on the same worker.
    :param press_milli: reduction of the serving task's slack, in thousandths. Slack is
        the task's latency limit divided by its tail latency.
    """

    filling: str
    serving: str
    press_milli: int


@dataclass(frozen=True, slots=True)
class RunRef:
    """Identifies one run of a task."""

    task: str
    run: int


@dataclass(frozen=True, slots=True)
class JobText:
    """The text of a job, which the runner needs to start each of its tasks.

    Sent once in a directive for all tasks of the job that it starts.
    """

    job: str
    text: str


TOKENS_GRANTED = 1_024
"""Number of consecutive fencing tokens that a directive grants, from ``token`` on."""


@dataclass(frozen=True, slots=True)
class Directive:
    """Leader to agent: the answer to a report, or new orders.

    :param beat: sequence number of the answered report.
    :param grant_ms: leases may last until this long after that report was sent; 0 if
        the report had no listing.
    :param token: the lowest of the fencing tokens for calls to the runner.
    :param worker: the incarnation that the orders are for.
    :param ends_noted: ends up to this number are stored durably.
    :param texts: texts of all jobs that the runs to start belong to.
    :param known: descriptions of runs that are active already, for an agent that lacks
        them.
    :param presses: new estimates of how much images on this worker interfere.
    :param starts_ms: runs may be started until this long after that report was sent;
        -1 if the leader's version does not have this limit.
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
class LoadLevelRow:
    """The work ahead of a new job with a certain share, in core-milliseconds."""

    timely_work: int
    waiting_work: int


@dataclass(frozen=True, slots=True)
class QueueLoadRow:
    """The work ahead of new jobs of one queue.

    See :class:`pistachiodeal.scheduling.backlog.QueueLoad`. Work is in
    core-milliseconds, rates are in thousandths of a core.
    """

    queue: str
    demand: str
    waiting_jobs: int
    drain_milli: int
    drain_high_milli: int
    oldest_wait_ms: int
    usual_path_ms: int
    usual_work: int
    returning_work: int
    levels: tuple[LoadLevelRow, ...]


@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Entry to the process that dialled it: the leader, as far as this entry knows.

    :param address: the leader's address, empty if unknown.
    :param store_age_ms: time since the leader last wrote to or read from the store.
    :param entries: addresses of all entries that the sender knows.
    :param heard_ms: time since the last message from the leader, received by the sender
        or by the entry that informed it.
    :param load: the queues with the most waiting work, from the leader only.
    :param invited: ids of rejected jobs that may enter now.
    :param load_age_ms: time since ``load`` was computed, -1 if this notice has none.
    :param loading: whether the sender leads and doesn't know all jobs yet.
    """

    epoch: int
    address: str
    store_age_ms: int
    entries: tuple[Label, ...]
    heard_ms: int
    load: tuple[QueueLoadRow, ...] = ()
    invited: tuple[Label, ...] = ()
    load_age_ms: int = -1
    loading: bool = False


@dataclass(frozen=True, slots=True)
class EntryState:
    """Entry to leader: how suitable the entry is as leader.

    :param address: address ``ip:port`` at which the entry accepts links.
    :param fitness_milli: in thousandths of the minimum that a leader needs; 0 once the
        entry is stopping.
    """

    address: str
    fitness_milli: int


@dataclass(frozen=True, slots=True)
class Appointment:
    """Leader to an entry: the leader row now names the receiver as the leader.

    :param epoch: epoch of that row.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class JobNotice:
    """Entry to leader: a row of the jobs table is stored durably, or it is not.

    :param key: key of that row.
    :param rejected: whether the job was rejected; the fields that follow describe it.
    :param uncertain: whether an insert of the job got no answer.
    :param work: core-milliseconds.
    :param path_ms: critical path.
    :param retry_ms: time after which the caller was asked to return.
    """

    key: str
    rejected: bool = False
    uncertain: bool = False
    queue: str = ""
    demand: str = ""
    work: int = 0
    path_ms: int = 0
    stretch_milli: int = 0
    aim_ms: int = 0
    retry_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Entry to leader: asks for a job's state or a queue's number of pending jobs."""

    request_id: int
    job: str
    queue: str


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Leader to entry: the answer to a :class:`JobQuery`.

    :param state: state of the job, empty if it is unknown.
    :param pending: number of jobs in the queue that have not started yet.
    """

    request_id: int
    state: str
    pending: int
