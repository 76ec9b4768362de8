"""Tracks the placed attempts and until when each of them may be running.

An attempt counts as running until its agent reports its end, or until so long after
the last report that named it that its lease has definitely expired, even a lease that
an earlier owner granted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from pistachiodeal.batch.events import Placed
from pistachiodeal.batch.protocols import WorkerSession
from pistachiodeal.batch.workers import WorkerTable
from pistachiodeal.clock import Clock
from pistachiodeal.wire.task_messages import LeaseGrant, Stop, TaskRef

RESEND_S = 30.0
GRACE_S = 5.0
END_REPEAT_S = 20.0
MAX_ENDED_KEYS = 10_000
NEVER_STARTED = float("-inf")


@dataclass(eq=False, slots=True)
class PlacedRun:
    """An attempt that may be running.

    :param durable: False between the decision and its journal row.
    :param expires_at: when it has definitely stopped running, monotonic clock,
        seconds.
    :param start_sent_on: session on which its start was sent, None if an earlier
        owner placed it.
    :param stop_sent_on: session on which a stop was last sent.
    :param last_sent_at: when the start or the last stop was sent, same clock.
    :param stopping: whether its task was cancelled.
    :param end_reported_at: when its agent last reported its end, which is not
        journaled yet, same clock.
    """

    placed: Placed
    team: str
    expires_at: float
    durable: bool = True
    start_sent_on: WorkerSession | None = None
    stop_sent_on: WorkerSession | None = None
    last_sent_at: float = float("-inf")
    stopping: bool = False
    end_reported_at: float = float("-inf")

    @property
    def key(self) -> tuple[str, int]:
        """Return task id and attempt."""
        return self.placed.task_id, self.placed.attempt

    @property
    def never_started(self) -> bool:
        """Return whether the attempt definitely never ran."""
        return self.expires_at == NEVER_STARTED


class RunTable:
    """The placed attempts of one partition."""

    def __init__(
        self,
        partition: int,
        epoch: int,
        workers: WorkerTable,
        *,
        safety_s: float,
        clock: Clock,
    ) -> None:
        """Create an empty table.

        :param safety_s: seconds added to a task's lease: the owner lease and twice
            the margin.
        """
        self._partition = partition
        self._epoch = epoch
        self._workers = workers
        self._safety_s = safety_s
        self._clock = clock
        self._runs: dict[str, PlacedRun] = {}
        self._by_worker: dict[str, dict[str, PlacedRun]] = {}
        self._ended: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._acquired_at = clock()

    def __iter__(self) -> Iterator[PlacedRun]:
        return iter(list(self._runs.values()))

    def find(self, task_id: str) -> PlacedRun | None:
        """Return the placed attempt of a task."""
        return self._runs.get(task_id)

    def add(self, placed: Placed, team: str, *, durable: bool) -> PlacedRun:
        """Add an attempt, which may be running from now on."""
        run = PlacedRun(placed, team, self._compute_expiry(placed), durable)
        self._runs[placed.task_id] = run
        self._by_worker.setdefault(placed.worker, {})[placed.task_id] = run
        self._workers.add_run(placed.worker, run.key, placed.size, team)
        return run

    def remove(self, task_id: str) -> None:
        """Remove an attempt that has ended."""
        run = self._runs.pop(task_id, None)
        if run is None:
            return
        worker = run.placed.worker
        del self._by_worker[worker][task_id]
        if not self._by_worker[worker]:
            del self._by_worker[worker]
        self._workers.remove_run(worker, run.key, run.team)

    def record_ended(self, task_id: str) -> None:
        """Remove an attempt whose agent reported its end, and remember its key."""
        run = self._runs.get(task_id)
        if run is None:
            return
        self._ended[run.key] = None
        if len(self._ended) > MAX_ENDED_KEYS:
            self._ended.popitem(last=False)
        self.remove(task_id)

    def clear(self) -> None:
        """Remove all attempts because this entry no longer serves the partition."""
        for task_id in list(self._runs):
            self.remove(task_id)

    def overdue(self) -> list[PlacedRun]:
        """Return the attempts whose lease has definitely expired."""
        now = self._clock()
        return [
            run
            for run in self
            if run.durable
            and now >= run.expires_at
            and now >= run.end_reported_at + END_REPEAT_S
        ]

    def record_end_reported(self, run: PlacedRun) -> None:
        """Record that an agent reported the end of a run that is not journaled yet.

        The run is not overdue for a while, because the agent repeats the report until
        it is journaled. Right after a store outage such a run is overdue as well.
        Requeued as lost, it would start from the beginning although its agent holds a
        checkpoint.
        """
        run.end_reported_at = self._clock()

    def answer_report(
        self, session: WorkerSession, refs: Sequence[TaskRef]
    ) -> tuple[LeaseGrant | None, list[Stop]]:
        """Return the lease and the stops to send in response to a report.

        :param refs: the runs of this partition that the report names.
        """
        stops = []
        leases = []
        has_stale_run = False
        for ref in refs:
            run = self._runs.get(ref.task_id)
            if (ref.task_id, ref.attempt) in self._ended:
                continue
            if run is None or run.key != (ref.task_id, ref.attempt):
                has_stale_run = True
                stops.append(self._build_stop(ref.task_id, ref.attempt))
                continue
            if run.placed.worker != session.worker:
                continue
            run.expires_at = self._compute_expiry(run.placed)
            leases.append(run.placed.lease_ms)
            if run.stopping and self._may_send_stop(run, session):
                stops.append(self._record_stop(run, session, evict=False))
        named = {ref.task_id for ref in refs}
        stops.extend(self._stop_missing(session, named))
        # A grant renews every run of the partition that the report named. If one of
        # them is not a current attempt, the grant would keep a run alive that must
        # end, so this report gets no grant.
        if has_stale_run or not leases:
            return None, stops
        return LeaseGrant(self._partition, self._epoch, min(leases)), stops

    def mark_unsent(self, run: PlacedRun) -> None:
        """Record that the start of a run which this owner placed was never sent."""
        run.expires_at = NEVER_STARTED

    def record_start(self, run: PlacedRun, session: WorkerSession) -> None:
        """Record the session on which a start is about to be sent."""
        run.start_sent_on = session
        run.last_sent_at = self._clock()

    def request_stop(self, run: PlacedRun, session: WorkerSession) -> Stop:
        """Return the stop of a run whose task was cancelled."""
        run.stopping = True
        return self._record_stop(run, session, evict=False)

    def _stop_missing(self, session: WorkerSession, named: set[str]) -> list[Stop]:
        """Return stops for runs that are placed on the worker but were not named.

        Their start may have been lost with an older link, or an earlier owner may
        never have sent it. The agent then answers with unknown_run, which frees them
        long before their lease expires. An agent that does not know yet who owns the
        partition also omits its runs from the report. It is therefore given a grace
        period, and the stop requests a checkpoint, so that a wrong guess causes an
        eviction and no lost work.
        """
        recently_acquired = self._clock() < self._acquired_at + GRACE_S
        if recently_acquired or self._workers.session_age(session) < GRACE_S:
            return []
        runs = self._by_worker.get(session.worker, {})
        return [
            self._record_stop(run, session, evict=not run.stopping)
            for task_id, run in runs.items()
            if task_id not in named
            and run.durable
            and self._may_send_stop(run, session)
        ]

    def _may_send_stop(self, run: PlacedRun, session: WorkerSession) -> bool:
        now = self._clock()
        if run.stop_sent_on is session:
            return now - run.last_sent_at >= RESEND_S
        if run.start_sent_on is session and not run.stopping:
            return now - run.last_sent_at >= RESEND_S
        return True

    def _record_stop(
        self, run: PlacedRun, session: WorkerSession, *, evict: bool
    ) -> Stop:
        run.stop_sent_on = session
        run.last_sent_at = self._clock()
        return self._build_stop(*run.key, evict=evict)

    def _build_stop(self, task_id: str, attempt: int, *, evict: bool = False) -> Stop:
        return Stop(task_id, attempt, self._partition, self._epoch, evict)

    def _compute_expiry(self, placed: Placed) -> float:
        return self._clock() + placed.lease_ms / 1000 + self._safety_s
