"""State of an agent's worker: incarnation, lease, runs, ends and orders."""

from __future__ import annotations

from collections import deque

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.authority import LEASE_S, Authority, Lease
from pistachiodeal.jobagent.figures import FigureSampler, RunKey
from pistachiodeal.jobagent.losses import LossHistory, RunAgeTracker
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

# The lease of a runner that has not answered for this long is not extended. Each call
# may still take effect, and the next runs of its tasks wait for the end of its last
# lease.
SILENT_S = 1.5
# A runner lists this many ends in one answer, those with the lowest numbers first.
MAX_LISTED_ENDS = 500
# Ended incarnations that are remembered. A sender that names an older one is adopted,
# and dropped as soon as the runner answers for another incarnation.
MAX_ENDED = 64
# Pairs of images; a worker runs about a dozen images of either kind at once.
MAX_PRESSES = 1_000


class AgentLedger:
    """The agent's in-memory state; a restarted agent rebuilds it from its peers.

    :param longest_lease_s: the runner shortens longer leases to this, seconds.
    :ivar beat: the newest heartbeat of the worker, None while no worker is known.
    :ivar listed: whether the worker has listed its runs since its adoption.
    :ivar run_specs: specifications of runs, as the leader sent them.
    :ivar acked_end: number of the last end that the leader has acknowledged.
    :ivar presses: latency slack that one task of a filling image takes from tasks of a
        serving image, by pair, as the leader sent it.
    """

    def __init__(self, events: EventLog, longest_lease_s: float = LEASE_S) -> None:
        self._events = events
        self._longest_lease_s = longest_lease_s
        self.authority = Authority()
        self.lease = Lease(longest_lease_s)
        self.beat: WorkerHeartbeat | None = None
        self.listed = False
        self.loss_history = LossHistory()
        self.running: dict[RunKey, RunningTask] = {}
        self.ends: tuple[EndedTask, ...] = ()
        self.orders: dict[RunKey, Order] = {}
        self.run_specs: dict[RunKey, RunOrder] = {}
        self.acked_end = 0
        self.answered_at = 0.0
        self.presses: dict[Pair, float] = {}
        self.figures = FigureSampler()
        self.run_ages = RunAgeTracker()
        self._listing_ms = 0
        self._other_service = ""
        self._adopted = False
        self._gone: deque[str] = deque(maxlen=MAX_ENDED)

    @property
    def worker(self) -> str:
        """Return the worker's incarnation, empty while none is known."""
        return self.beat.worker if self.beat is not None else ""

    @property
    def draining(self) -> bool:
        """Return whether the worker is draining."""
        return self.beat is not None and self.beat.draining

    def is_gone(self, worker: str) -> bool:
        """Return whether an incarnation is known to have ended."""
        return worker in self._gone

    def adopt(self, beat: WorkerHeartbeat) -> None:
        """Adopt a runner's incarnation as the worker."""
        if self.worker and self.worker != beat.worker:
            self.drop_worker("another incarnation answers at its address")
        self.loss_history.discard(beat.worker)
        self.beat = beat
        # Each incarnation numbers its ends from one: the number of the previous one
        # would acknowledge ends that the leader has not received, and their tasks would
        # run again.
        self.acked_end = 0
        self.authority.token_increments += 1
        # The first listing under the higher token settles orders that got no answer:
        # the runner refuses to start any run that this listing doesn't hold.
        now = read_boot_clock()
        if not self._adopted:
            # The agent's former process may have granted leases until it ended.
            self._adopted = True
            self.lease.until = now + self.lease.span_s
        unsettled = self.loss_history.pop_unsettled()
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
        """Apply a heartbeat of the same incarnation; return whether it has news."""
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
            # An incarnation never changes its service, so this heartbeat is from
            # another sender that uses the same id. Accepted, it would hide the worker
            # from the leader. If the next heartbeat names this service too, the first
            # one was the foreign one.
            self._other_service = beat.service
            self._events.emit(
                "heartbeat.foreign", worker=beat.worker, service=beat.service
            )
            return False
        self._other_service = ""
        self.beat = beat
        return (beat.draining, beat.capacity) != (known.draining, known.capacity)

    def is_silent(self, now: float) -> bool:
        """Return whether the runner has not answered lately.

        The reason may be this agent, when it was suspended.
        """
        return now - self.answered_at >= SILENT_S

    def has_room(self, order: RunOrder) -> bool:
        """Return whether the runner has room for one more run, by its last heartbeat.

        A run that is being stopped counts until its end is listed. Resources that the
        new run doesn't use may be overcommitted: a worker whose capacity has shrunk may
        have less than its runs reserve.
        """
        if self.beat is None:
            return False
        used = Resources()
        for key in self._list_active():
            if key in self.run_specs and key != (order.task, order.run):
                used = used + _measure(self.run_specs[key])
        return _measure(order).fits_beside(used, self.beat.capacity)

    def drop_worker(self, why: str, cause: LossCause = LossCause.CRASHED) -> None:
        """Drop the worker: none of its runs is running any more.

        Only an incarnation that was silent may be adopted again.
        """
        worker = self.worker
        if cause is LossCause.CRASHED and self.draining:
            cause = LossCause.LEFT
        if cause is not LossCause.SILENT:
            self._gone.append(worker)
        now = read_boot_clock()
        loss = self.run_ages.build_loss(worker, cause, self._list_active(), now)
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
                if order.is_unsettled(listed=self.listed) and key not in self.running
            )
        loss.ends = self.ends
        self.loss_history.add(loss)
        self.beat = None
        self.listed = False
        # If the incarnation answers again, its runs may still have their leases.
        self.lease = Lease(self._longest_lease_s, self.lease.until)
        self.running, self.ends = {}, ()
        self.figures, self.run_ages = FigureSampler(), RunAgeTracker()
        self.orders, self.run_specs = {}, {}
        self.acked_end = self._listing_ms = 0

    def apply_listing(self, listing: Listing, sent_at: float, now: float) -> bool:
        """Apply a listing of the runner; return whether it has news for the leader.

        News are the worker's first listing, a new end or a settled order. Listings on
        different connections may overtake each other, so the runner's clock decides
        which is newer.

        :param sent_at: when the listing was requested, seconds of the boot clock.
        :param now: when it arrived, seconds of the boot clock.
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
        listed = {(task.task, task.run): task for task in listing.running}
        self.running = self.figures.sample(listed, self.run_specs, self.orders, now)
        self.run_ages.record_listing(self._list_active())
        known = {end.number for end in self.ends}
        self.ends = tuple(end for end in listing.ends if end.number > self.acked_end)
        news |= any(end.number not in known for end in self.ends)
        # With a full list of ends, a missing run may be among the ends that follow.
        complete = len(listing.ends) < MAX_LISTED_ENDS
        return self._settle(sent_at, complete=complete) or news

    def apply_directive(self, directive: Directive, sent_at: float | None) -> bool:
        """Apply a directive; return False if its leader has been replaced.

        :param sent_at: when the report that the directive answers was sent, seconds of
            the boot clock, None if unknown.
        """
        authority = self.authority
        if directive.epoch < authority.epoch:
            return False
        authority.epoch = directive.epoch
        authority.set_token(directive.token)
        if sent_at is not None:
            until = sent_at + directive.grant_ms / 1000
            authority.granted_until = max(authority.granted_until, until)
            authority.set_start_limit(sent_at, directive.starts_ms)
        self._drop_reported(directive.beat)
        self.loss_history.acknowledge(directive.beat)
        if self.worker and directive.worker == self.worker:
            self.acked_end = max(self.acked_end, directive.ends_noted)
            self.ends = tuple(end for end in self.ends if end.number > self.acked_end)
        for pair in directive.presses:
            self.presses[pair.filling, pair.serving] = pair.press_milli / 1000
        while len(self.presses) > MAX_PRESSES:
            del self.presses[next(iter(self.presses))]
        return True

    def reset_reports(self) -> None:
        """Forget which reports were sent; a new link numbers them from one again."""
        for order in self.orders.values():
            order.reported_in = 0
        self.loss_history.reset_reports()

    def build_report(self, beat: int) -> WorkerReport:
        """Return a report of the worker's present state."""
        known = self.beat
        for order in self.orders.values():
            settled = order.state is not OrderState.PENDING
            # The leader ignores outcomes in a report without a listing. If they were
            # dropped after such a report, their tasks would wait for ever.
            if settled and self.listed and not order.reported_in:
                order.reported_in = beat
        now = read_boot_clock()
        self.loss_history.expire_unsettled(now)
        unsettled = [Order(*key) for key in self.loss_history.list_unsettled()]
        capacity = known.capacity if known else None
        return WorkerReport(
            beat,
            self.authority.epoch,
            self.worker,
            self.loss_history.report(beat, now),
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

    def _list_active(self) -> list[RunKey]:
        """Return the runs that are listed as running, or may have started since."""
        pending = (
            key
            for key, order in self.orders.items()
            if order.sent
            and order.state is OrderState.PENDING
            and key not in self.running
        )
        return [*self.running, *pending]

    def _settle(self, sent_at: float, *, complete: bool) -> bool:
        """Settle orders by a listing; return whether one of them became void.

        :param complete: whether the listing holds all ends.
        """
        ended = {(end.task, end.run) for end in self.ends}
        news = False
        for key, order in list(self.orders.items()):
            if key in self.running or key in ended:
                del self.orders[key]
                continue
            if order.state is not OrderState.PENDING or order.started:
                continue
            if complete and order.settled_at and order.settled_at < sent_at:
                order.state = OrderState.VOID
                news = True
        return news

    def _drop_reported(self, beat: int) -> None:
        for key, order in list(self.orders.items()):
            if order.reported_in and order.reported_in <= beat:
                del self.orders[key]


def _measure(order: RunOrder) -> Resources:
    """Return the resources that a run reserves; a filling run reserves no processor."""
    cpu_milli = 0 if order.fills else order.cpu_milli
    return Resources(cpu_milli, order.memory_mib, order.accelerators)
