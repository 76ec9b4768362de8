"""Workers as the leader knows them, and what it has to tell their agents."""

from __future__ import annotations

from dataclasses import dataclass, field

from pistachiodeal.jobs.record import Task
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.health import WorkerHealth
from pistachiodeal.scheduling.interference import TOLD_CHANGE, Pair
from pistachiodeal.wire.job_messages import (
    Directive,
    EndedTask,
    JobText,
    PairPress,
    RunOrder,
    RunRef,
    WorkerReport,
)

PLACE_SEPARATOR = "/"


def build_place(node: str, worker: str) -> str:
    """Return the name of one incarnation of the worker on a node."""
    return f"{node}{PLACE_SEPARATOR}{worker}"


def split_place(place: str) -> tuple[str, str]:
    """Return node and incarnation of a place."""
    node, _, worker = place.partition(PLACE_SEPARATOR)
    return node, worker


@dataclass(slots=True)
class Outbox:
    """Orders for one agent that are not yet sent."""

    texts: dict[str, str] = field(default_factory=dict)
    starts: list[RunOrder] = field(default_factory=list)
    stops: list[RunRef] = field(default_factory=list)
    known: list[RunOrder] = field(default_factory=list)
    presses: list[PairPress] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        """Tell whether there is nothing to send by itself; presses can wait."""
        return not (self.starts or self.stops or self.known)


@dataclass(slots=True, eq=False)
class Attachment:
    """One link of one agent: what was sent and received on it.

    Runs whose order was sent on an earlier link, or by an earlier leader, have to be
    settled again: ``ordered`` and ``stopped`` begin empty with each link.

    :param token: the lowest of the agent's fencing tokens, higher than any earlier
        one's.
    :param beat: the newest report's number, received at ``last_report_at`` (boot clock).
    """

    node: str
    token: int
    beat: int = 0
    last_report_at: float = 0.0
    answered: int = 0
    outbox: Outbox = field(default_factory=Outbox)
    ordered: set[tuple[str, int]] = field(default_factory=set)
    stopped: set[tuple[str, int]] = field(default_factory=set)
    described: set[tuple[str, int]] = field(default_factory=set)
    sent_presses: dict[Pair, float] = field(default_factory=dict)

    def order_stop(self, task: str, run: int) -> None:
        """Tell the agent once to stop a run, or to make sure it never starts."""
        if (task, run) in self.stopped:
            return
        self.stopped.add((task, run))
        self.outbox.stops.append(RunRef(task, run))

    def order_start(self, order: RunOrder, job_id: str, text: str) -> None:
        """Tell the agent to start a run."""
        self.ordered.add((order.task, order.run))
        self.outbox.texts[job_id] = text
        self.outbox.starts.append(order)

    def withdraw_starts(self) -> None:
        """Take back the starts that were not sent; a stop settles each of them."""
        starts, self.outbox.starts = self.outbox.starts, []
        for order in starts:
            self.order_stop(order.task, order.run)

    def describe(self, order: RunOrder) -> None:
        """Tell a new agent once what it has to know of a run at work."""
        if (order.task, order.run) not in self.described | self.ordered:
            self.described.add((order.task, order.run))
            self.outbox.known.append(order)

    def queue_press(self, pair: Pair, press: float) -> None:
        """Tell the agent what one image takes from another, if that is news."""
        sent = self.sent_presses.get(pair)
        if sent is None or abs(press - sent) > TOLD_CHANGE:
            self.sent_presses[pair] = press
            self.outbox.presses.append(PairPress(*pair, int(press * 1000)))

    def build_directive(
        self, epoch: int, worker: str, ends_noted: int, grant_ms: int, starts_ms: int
    ) -> Directive:
        """Return everything that the agent has to be told, and clear it."""
        outbox, self.outbox = self.outbox, Outbox()
        self.answered = self.beat
        return Directive(
            epoch,
            self.beat,
            grant_ms,
            self.token,
            worker,
            ends_noted,
            tuple(JobText(job, text) for job, text in outbox.texts.items()),
            tuple(outbox.starts),
            tuple(outbox.stops),
            tuple(outbox.known),
            tuple(outbox.presses),
            starts_ms,
        )


@dataclass(slots=True, eq=False)
class WorkerState:
    """The worker on one node.

    :param worker: its newest incarnation, empty before the first report.
    :param attachment: the link to its agent, None while there is none.
    :param granted_until: until when its leases may run, boot clock.
    :param ends_noted: ends up to this number are durable.
    :param closed: whether its data centre is closed: nothing is started there.
    :param maybe_overcommitted: whether it may have too little memory for its runs: it has less
        than before, or this leader has not looked yet.
    :param generation: rises with each report and link, so that whoever keeps something
        worked out from this knows that it is old.
    :param baseline_slack: slack that its serving tasks would have without filling work, the
        least by image.
    """

    node: str
    data_centre: str = ""
    worker: str = ""
    service: str = ""
    capacity: Resources = field(default_factory=Resources)
    labels: tuple[str, ...] = ()
    draining: bool = False
    leaving_at: float = 0.0
    listed: bool = False
    attachment: Attachment | None = None
    granted_until: float = 0.0
    ends_noted: int = 0
    ends_durable: set[int] = field(default_factory=set)
    ends_applied: set[int] = field(default_factory=set)
    orphans: dict[str, int] = field(default_factory=dict)
    baseline_slack: dict[str, float] = field(default_factory=dict)
    health: WorkerHealth = field(default_factory=WorkerHealth)
    closed: bool = False
    maybe_overcommitted: bool = True
    generation: int = 0

    @property
    def place(self) -> str:
        """Return the name of the worker's incarnation."""
        return build_place(self.node, self.worker)

    @property
    def rack(self) -> str:
        """Return the worker's rack."""
        return self.labels[-1] if self.labels else ""

    @property
    def schedulable(self) -> bool:
        """Tell whether the worker takes new tasks."""
        present = bool(self.worker and self.listed and self.attachment)
        return present and not self.draining and not self.closed

    def attach(self, attachment: Attachment) -> None:
        """Take in a new link to the agent; nothing is placed before its first listing.

        A restarted agent knows neither its runner's clock nor what runs there, so it
        would have to refuse every order.
        """
        self.attachment = attachment
        self.listed = False
        self.generation += 1

    def apply_report(self, report: WorkerReport) -> None:
        """Take in what a report says of the worker itself."""
        if report.worker != self.worker:
            self.reset_incarnation(report.worker)
        self.service = report.service
        capacity = Resources(report.cpu_milli, report.memory_mib, report.accelerators)
        self.maybe_overcommitted |= not self.capacity.fits(capacity)
        self.capacity = capacity
        self.labels = tuple(label.text for label in report.labels)
        self.listed = report.listed
        self.draining = report.draining

    def reset_incarnation(self, worker: str) -> None:
        """Take in a new incarnation, or that there is none; it starts afresh."""
        self.worker = worker
        self.ends_noted = 0
        self.ends_durable.clear()
        self.ends_applied.clear()
        self.health = WorkerHealth()

    def mark_end_durable(self, number: int) -> None:
        """Note that an end is durable, or of no run that counts."""
        self.ends_durable.add(number)

    def advance_ends_noted(self, ends: tuple[EndedTask, ...]) -> None:
        """Move ``ends_noted`` over all listed ends that are durable."""
        for end in sorted(ends, key=lambda one: one.number):
            if end.number <= self.ends_noted:
                continue
            if end.number not in self.ends_durable:
                return
            self.ends_noted = end.number


class Fleet:
    """All workers by node."""

    def __init__(self) -> None:
        self._workers: dict[str, WorkerState] = {}
        self._closed: frozenset[str] = frozenset()

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Return the workers by node."""
        return self._workers

    @property
    def closed(self) -> frozenset[str]:
        """Return the data centres in which nothing may be started."""
        return self._closed

    def close(self, data_centres: frozenset[str]) -> None:
        """Close these data centres, and open all others."""
        self._closed = data_centres
        for worker in self._workers.values():
            self._apply_closing(worker)

    def set_data_centre(self, worker: WorkerState, data_centre: str) -> None:
        """Note in which data centre a worker is."""
        worker.data_centre = data_centre
        self._apply_closing(worker)

    def get(self, node: str) -> WorkerState:
        """Return a node's worker; makes one for a new node."""
        if node not in self._workers:
            self._workers[node] = WorkerState(node)
        return self._workers[node]

    def find_by_place(self, place: str) -> WorkerState | None:
        """Return the worker whose newest incarnation is a place."""
        worker = self._workers.get(split_place(place)[0])
        return worker if worker is not None and worker.place == place else None

    def _apply_closing(self, worker: WorkerState) -> None:
        closed = worker.data_centre in self._closed
        if closed != worker.closed:
            worker.closed = closed
            worker.generation += 1


def build_order(task: Task) -> RunOrder:
    """Return the order to start a task's newest run."""
    step = task.step
    return RunOrder(
        str(task.name),
        task.run,
        task.checkpoint,
        task.ticket,
        step.fills,
        step.serves_ms,
        step.image,
        step.size.cpu_milli,
        step.size.memory_mib,
        step.size.accelerators,
    )
