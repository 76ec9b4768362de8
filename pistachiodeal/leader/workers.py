"""Holds the leader's in-memory state of workers and the orders for their agents."""

from __future__ import annotations

from dataclasses import dataclass, field

from pistachiodeal.jobs.record import Task
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.health import WorkerHealth
from pistachiodeal.scheduling.interference import MIN_REPORTED_CHANGE, Pair
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
    """Return the place name of one incarnation of the worker on a node."""
    return f"{node}{PLACE_SEPARATOR}{worker}"


def split_place(place: str) -> tuple[str, str]:
    """Return the node and the incarnation of a place."""
    node, _, worker = place.partition(PLACE_SEPARATOR)
    return node, worker


@dataclass(slots=True)
class Outbox:
    """Messages for one agent that are not sent yet."""

    texts: dict[str, str] = field(default_factory=dict)
    starts: list[RunOrder] = field(default_factory=list)
    stops: list[RunRef] = field(default_factory=list)
    known: list[RunOrder] = field(default_factory=list)
    presses: list[PairPress] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        """Tell whether nothing has to be sent now; interference can wait."""
        return not (self.starts or self.stops or self.known)


@dataclass(slots=True, eq=False)
class Attachment:
    """The state of one link to an agent: what was sent and received on it.

    The outcome of orders that were sent on an earlier link or by an earlier leader has
    to be determined again, so ``ordered`` and ``stopped`` are empty on each new link.

    :param token: the lowest fencing token of the agent, higher than that of any earlier
        agent.
    :param beat: number of the newest report.
    :param last_report_at: when that report arrived, seconds of the boot clock.
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
    sent_interference: dict[Pair, float] = field(default_factory=dict)

    def order_stop(self, task: str, run: int) -> None:
        """Order the agent once to stop a run, or to make sure it never starts."""
        if (task, run) in self.stopped:
            return
        self.stopped.add((task, run))
        self.outbox.stops.append(RunRef(task, run))

    def forget_stops(self) -> None:
        """Forget the stops that were sent, as the agent has lost its worker.

        It gives up its stops then, and may have lost some that were on their way.
        """
        self.stopped = {(ref.task, ref.run) for ref in self.outbox.stops}

    def order_start(self, order: RunOrder, job_id: str, text: str) -> None:
        """Order the agent to start a run."""
        self.ordered.add((order.task, order.run))
        self.outbox.texts[job_id] = text
        self.outbox.starts.append(order)

    def withdraw_starts(self) -> None:
        """Replace the starts that are not sent yet by stops, which end these runs."""
        starts, self.outbox.starts = self.outbox.starts, []
        for order in starts:
            self.order_stop(order.task, order.run)

    def describe(self, order: RunOrder) -> None:
        """Queue the description of a running run once, for an agent that lacks it."""
        if (order.task, order.run) not in self.described | self.ordered:
            self.described.add((order.task, order.run))
            self.outbox.known.append(order)

    def queue_interference(self, pair: Pair, interference: float) -> None:
        """Queue how much one image disturbs another, if that has changed enough."""
        sent = self.sent_interference.get(pair)
        if sent is None or abs(interference - sent) > MIN_REPORTED_CHANGE:
            self.sent_interference[pair] = interference
            self.outbox.presses.append(PairPress(*pair, int(interference * 1000)))

    def build_directive(
        self,
        epoch: int,
        worker: str,
        ends_noted: int,
        grant_ms: int,
        starts_ms: int,
        *,
        listed: bool = True,
    ) -> Directive:
        """Return a directive with all queued messages, and clear the outbox.

        :param listed: whether the agent knows its worker. One that doesn't drops all
            orders, which therefore wait for its next listing.
        """
        outbox = Outbox()
        if listed:
            outbox, self.outbox = self.outbox, outbox
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
    """The state of the worker on one node.

    :param worker: its newest incarnation, empty before the first report.
    :param attachment: the link to its agent, None while there is none.
    :param granted_until: until when its leases may run, seconds of the boot clock.
    :param ends_noted: all ends up to this number are durable.
    :param closed: whether its data centre is closed, so that nothing is started there.
    :param maybe_overcommitted: whether it may have too little memory for its runs: its
        capacity has shrunk, or this leader has not checked yet.
    :param generation: increases with each report and link, which invalidates values
        cached from this state.
    :param solo_slack: by image, the least slack that its serving tasks would have
        without filling tasks.
    :param speed: relative speed, 1.0 unless it is slow with certainty.
    :param on_probation: whether one task at a time has to show its speed.
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
    solo_slack: dict[str, float] = field(default_factory=dict)
    health: WorkerHealth = field(default_factory=WorkerHealth)
    closed: bool = False
    maybe_overcommitted: bool = True
    generation: int = 0
    speed: float = 1.0
    on_probation: bool = False

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
        """Tell whether new tasks may be placed on the worker."""
        present = bool(self.worker and self.listed and self.attachment)
        return present and not self.draining and not self.closed

    def attach(self, attachment: Attachment) -> None:
        """Set a new link to the agent; nothing is placed before its first listing.

        A restarted agent knows neither its runner's clock nor the runs on it, so it
        would have to refuse every order.
        """
        self.attachment = attachment
        self.listed = False
        self.generation += 1

    def apply_report(self, report: WorkerReport) -> None:
        """Apply what a report says about the worker itself."""
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
        """Set the incarnation, empty for none, and reset the state bound to it."""
        self.worker = worker
        self.ends_noted = 0
        self.ends_durable.clear()
        self.ends_applied.clear()
        self.health = WorkerHealth()
        self.speed, self.on_probation = 1.0, False

    def mark_end_durable(self, number: int) -> None:
        """Record that an end is durable or belongs to no current run."""
        self.ends_durable.add(number)

    def advance_ends_noted(self, ends: tuple[EndedTask, ...]) -> None:
        """Advance ``ends_noted`` over the listed ends, up to the first not durable."""
        for end in sorted(ends, key=lambda one: one.number):
            if end.number <= self.ends_noted:
                continue
            if end.number not in self.ends_durable:
                return
            self.ends_noted = end.number


class Fleet:
    """The workers of all nodes."""

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
        """Close exactly these data centres; all others are open."""
        self._closed = data_centres
        for worker in self._workers.values():
            self._apply_closing(worker)

    def set_data_centre(self, worker: WorkerState, data_centre: str) -> None:
        """Set the data centre of a worker."""
        worker.data_centre = data_centre
        self._apply_closing(worker)

    def get(self, node: str) -> WorkerState:
        """Return the worker of a node, created if the node is new."""
        if node not in self._workers:
            self._workers[node] = WorkerState(node)
        return self._workers[node]

    def find_by_place(self, place: str) -> WorkerState | None:
        """Return the worker whose newest incarnation is at a place, if any."""
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
