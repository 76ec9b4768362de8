"""What an agent knows of its worker: incarnation, lease, runs, ends and orders."""

from __future__ import annotations

from collections import deque

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.authority import LEASE_S, Authority, Lease
from pistachiodeal.jobagent.figures import FigureSampler, RunKey
from pistachiodeal.jobagent.losses import LossHistory, LossWatch
from pistachiodeal.jobagent.orders import Order, list_outcomes
from pistachiodeal.jobs.incarnations import get_runner
from pistachiodeal.jobs.model import LossCause, OrderState
from pistachiodeal.jobs.runtime import Listing, WorkerHeartbeat
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import Pair
from pistachiodeal.wire.job_messages import (
    Directive,
    EndedTask,
    Label,
    RunningTask,
    RunOrder,
    WorkerReport,
)

# A runner that doesn't answer gets no longer lease: every call may still be carried
# out, and the end of the last lease is what its tasks' next runs wait for.
SILENT_S = 1.5
TEXTS_KEPT = 400
# Incarnations that have ended; whoever answers under an older one is adopted and soon
# found out.
MOST_GONE = 64
# Pairs of images; a worker has a dozen of either kind at once.
PRESSES_KEPT = 1_000


class AgentLedger:
    """The agent's memory; a restarted agent learns everything again.

    :param longest_lease_s: the runner cuts longer leases to this.
    """

    def __init__(self, events: EventLog, longest_lease_s: float = LEASE_S) -> None:
        self._events = events
        self._longest_lease_s = longest_lease_s
        self.authority = Authority()
        self.lease = Lease(longest_lease_s)
        self.beat: WorkerHeartbeat | None = None
        self.listed = False
        self.history = LossHistory()
        self.running: dict[RunKey, RunningTask] = {}
        self.ends: tuple[EndedTask, ...] = ()
        self.orders: dict[RunKey, Order] = {}
        self.run_specs: dict[RunKey, RunOrder] = {}
        self.noted = 0
        self.answered_at = 0.0
        self.presses: dict[Pair, float] = {}
        self.figures = FigureSampler()
        self.losses = LossWatch()
        self._listing_ms = 0
        self._other_service = ""
        self._texts: dict[str, str] = {}
        self._gone: deque[str] = deque(maxlen=MOST_GONE)

    @property
    def worker(self) -> str:
        """Return the worker's incarnation, empty while none is known."""
        return self.beat.worker if self.beat is not None else ""

    @property
    def draining(self) -> bool:
        """Tell whether the worker is leaving."""
        return self.beat is not None and self.beat.draining

    def is_gone(self, worker: str) -> bool:
        """Tell whether an incarnation has ended, as far as is known."""
        return worker in self._gone

    def adopt(self, beat: WorkerHeartbeat) -> None:
        """Take in a runner that has answered under this incarnation."""
        if self.worker and self.worker != beat.worker:
            self.drop_worker("another incarnation answers at its address")
        self.history.take_back(beat.worker)
        self.beat = beat
        # Ends are counted from one by each incarnation: a number of the last one would
        # acknowledge ends that nobody has seen, and their tasks would run again.
        self.noted = 0
        self.authority.starts += 1
        # The first listing under the higher token tells what became of orders that had
        # no answer: what it doesn't hold is refused from then on.
        now = read_boot_clock()
        unsettled = self.history.take_unsettled()
        for task, run in unsettled:
            self.orders[task, run] = Order(task, run, settled_at=now, sent=True)
        self._events.emit(
            "worker.adopted",
            worker=beat.worker,
            draining=beat.draining,
            token=self.authority.token,
            unsettled=sorted(unsettled),
        )

    def update(self, beat: WorkerHeartbeat) -> bool:
        """Take in a heartbeat of the same incarnation; tell whether it says news."""
        known = self.beat
        if known is None:
            return False
        if beat.sequence <= known.sequence:
            self._events.emit(
                "heartbeat.ignored",
                worker=beat.worker,
                sequence=beat.sequence,
                newest=known.sequence,
                why="a later one came before",
            )
            return False
        if beat.service not in (known.service, self._other_service):
            # A runner stays with its service for its whole life. Another writer may
            # use its id; taken at its word, it would hide the worker from the leader.
            # Said twice in a row, the first heartbeat was the foreign one.
            self._other_service = beat.service
            self._events.emit(
                "heartbeat.foreign", worker=beat.worker, service=beat.service
            )
            return False
        self._other_service = ""
        self.beat = beat
        return (beat.draining, beat.capacity) != (known.draining, known.capacity)

    def is_silent(self, now: float) -> bool:
        """Tell whether the runner has not answered lately; this agent may be why."""
        return now - self.answered_at >= SILENT_S

    def has_room(self, order: RunOrder) -> bool:
        """Tell whether the runner has room for one more run, by its newest word.

        What is being stopped counts until its end is listed. What the run itself does
        not take may be short: a worker that shrinks has less than its runs reserve.
        """
        if self.beat is None:
            return False
        used = Resources()
        for key in self._list_begun():
            if key in self.run_specs and key != (order.task, order.run):
                used = used + _measure(self.run_specs[key])
        return _measure(order).fits_beside(used, self.beat.capacity)

    def drop_worker(self, why: str, cause: LossCause = LossCause.CRASHED) -> None:
        """Forget the worker: none of its runs is at work any more.

        A silent incarnation may come back; any other can't.
        """
        worker = self.worker
        if cause is LossCause.CRASHED and self.draining:
            cause = LossCause.LEFT
        if cause is not LossCause.SILENT:
            self._gone.append(worker)
        now = read_boot_clock()
        loss = self.losses.build_loss(worker, cause, self._list_begun(), now)
        self._events.emit(
            "worker.dropped",
            worker=worker,
            why=why,
            cause=cause.value,
            runs=[(run.task, run.run, run.age_ms) for run in loss.runs],
        )
        if get_runner(worker) != worker:
            loss.unsettled = frozenset(
                key
                for key, order in self.orders.items()
                if order.unanswered and key not in self.running
            )
        self.history.add(loss)
        self.beat = None
        self.listed = False
        self.lease = Lease(self._longest_lease_s)
        self.running, self.ends = {}, ()
        self.figures, self.losses = FigureSampler(), LossWatch()
        self.orders, self.run_specs = {}, {}
        self.noted = self._listing_ms = 0

    def apply_listing(self, listing: Listing, sent_at: float, now: float) -> bool:
        """Take in what the runner lists; tell whether an end or order is news.

        Listings on different connections may overtake each other; the runner's clock
        tells which is newer.
        """
        self.answered_at = now
        self.lease.sample(listing.clock_ms, now)
        if listing.clock_ms < self._listing_ms:
            self._events.emit(
                "listing.ignored",
                worker=self.worker,
                clock_ms=listing.clock_ms,
                newest_ms=self._listing_ms,
                why="a later one came before",
            )
            return False
        news = not self.listed
        self.listed = True
        self._listing_ms = listing.clock_ms
        listed = {(one.task, one.run): one for one in listing.running}
        self.running = self.figures.sample(listed, self.run_specs, self.orders, now)
        self.losses.note_answer(self._list_begun())
        known = {end.number for end in self.ends}
        self.ends = tuple(end for end in listing.ends if end.number > self.noted)
        news |= any(end.number not in known for end in self.ends)
        return self._settle(sent_at) or news

    def apply_directive(self, directive: Directive, sent_at: float | None) -> bool:
        """Take in the leader's word; False for a leader that was replaced.

        :param sent_at: when the report that it answers was sent, None if unknown.
        """
        authority = self.authority
        if directive.epoch < authority.epoch:
            return False
        authority.epoch = directive.epoch
        authority.take_token(directive.token)
        if sent_at is not None:
            until = sent_at + directive.grant_ms / 1000
            authority.granted_until = max(authority.granted_until, until)
            authority.set_start_limit(sent_at, directive.starts_ms)
        self._drop_reported(directive.beat)
        self.history.note_answer(directive.beat)
        if self.worker and directive.worker == self.worker:
            self.noted = max(self.noted, directive.ends_noted)
            self.ends = tuple(end for end in self.ends if end.number > self.noted)
        for one in directive.presses:
            self.presses[one.filling, one.serving] = one.press_milli / 1000
        while len(self.presses) > PRESSES_KEPT:
            del self.presses[next(iter(self.presses))]
        for text in directive.texts:
            self._texts[text.job] = text.text
        while len(self._texts) > TEXTS_KEPT:
            del self._texts[next(iter(self._texts))]
        return True

    def forget_reports(self) -> None:
        """Note that reports are numbered from one again, on a new link."""
        for order in self.orders.values():
            order.reported_in = 0
        self.history.forget_reports()

    def find_text(self, task: str) -> str:
        """Return the text of a task's job."""
        return self._texts.get(task.partition(".")[0], "")

    def build_report(self, beat: int) -> WorkerReport:
        """Return the worker as it is now."""
        known = self.beat
        for order in self.orders.values():
            settled = order.state is not OrderState.PENDING
            # The leader leaves a report without a listing aside; an outcome that was
            # dropped after one would leave its task waiting for ever.
            if settled and self.listed and not order.reported_in:
                order.reported_in = beat
        now = read_boot_clock()
        self.history.expire_unsettled(now)
        unsettled = [Order(*key) for key in self.history.list_unsettled()]
        capacity = known.capacity if known else None
        return WorkerReport(
            beat,
            self.authority.epoch,
            self.worker,
            self.history.report(beat, now),
            known.service if known else "",
            self.listed,
            self.draining,
            known.leaving_ms if known else 0,
            capacity.cpu_milli if capacity else 0,
            capacity.memory_mib if capacity else 0,
            capacity.accelerators if capacity else 0,
            tuple(Label(label) for label in known.labels) if known else (),
            tuple(self.running.values()),
            self.ends,
            tuple(list_outcomes([*self.orders.values(), *unsettled])),
        )

    def _list_begun(self) -> list[RunKey]:
        """Return the runs that are at work, or may be by now."""
        pending = (
            key
            for key, order in self.orders.items()
            if order.sent
            and order.state is OrderState.PENDING
            and key not in self.running
        )
        return [*self.running, *pending]

    def _settle(self, sent_at: float) -> bool:
        """Set orders against a listing that was asked for at ``sent_at``."""
        ended = {(end.task, end.run) for end in self.ends}
        news = False
        for key, order in list(self.orders.items()):
            if key in self.running or key in ended:
                del self.orders[key]
                continue
            if order.state is not OrderState.PENDING or order.started:
                continue
            if order.settled_at and order.settled_at < sent_at:
                order.state = OrderState.VOID
                news = True
        return news

    def _drop_reported(self, beat: int) -> None:
        for key, order in list(self.orders.items()):
            if order.reported_in and order.reported_in <= beat:
                del self.orders[key]


def _measure(order: RunOrder) -> Resources:
    """Return what a run reserves; what fills reserves no processor."""
    cpu_milli = 0 if order.fills else order.cpu_milli
    return Resources(cpu_milli, order.memory_mib, order.accelerators)
