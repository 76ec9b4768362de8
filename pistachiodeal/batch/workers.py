"""Tracks the workers: sessions, free resources, and the runs placed there."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from pistachiodeal.batch.placement import WorkerCandidate
from pistachiodeal.batch.protocols import WorkerSession
from pistachiodeal.clock import Clock
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.messages import Report

MAX_KNOWN_CAPACITIES = 10_000
STARTUP_WAIT_S = 10.0
REFUSAL_PAUSE_S = 1.0

RunKey = tuple[str, int]


@dataclass(slots=True)
class _Worker:
    session: WorkerSession
    opened_at: float
    report: Report | None = None
    refused_until: float = 0.0


@dataclass(slots=True)
class _Reservations:
    """Runs placed on a worker.

    The sizes of runs that no report has named yet are subtracted from the free
    resources of the last report.
    """

    sizes: dict[RunKey, Resources] = field(default_factory=dict)
    unreported: dict[RunKey, Resources] = field(default_factory=dict)
    teams: Counter[str] = field(default_factory=Counter)


class WorkerTable:
    """The workers linked to this entry, their free resources and placed runs.

    One table serves all partitions of an entry: with a table for each, two partitions
    would assign the same free resources until the worker's next report.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._workers: dict[str, _Worker] = {}
        self._reserved: dict[str, _Reservations] = {}
        self._capacities: OrderedDict[str, Resources] = OrderedDict()
        self._first_report_at: float | None = None
        self._team_cpu: Counter[str] = Counter()

    @property
    def team_cpu(self) -> dict[str, int]:
        """Return the thousandths of cores that each team's runs hold."""
        return dict(self._team_cpu)

    @property
    def startup_complete(self) -> bool:
        """Return whether workers have had enough time to connect and report."""
        first = self._first_report_at
        return first is not None and self._clock() - first >= STARTUP_WAIT_S

    def open_session(self, session: WorkerSession) -> None:
        """Register a link; it replaces any earlier link of the worker."""
        self._workers[session.worker] = _Worker(session, self._clock())

    def close_session(self, session: WorkerSession) -> None:
        """Unregister a closed link."""
        worker = self._workers.get(session.worker)
        if worker is not None and worker.session is session:
            del self._workers[session.worker]

    def find_session(self, worker: str) -> WorkerSession | None:
        """Return the current link of a worker."""
        known = self._workers.get(worker)
        return known.session if known else None

    def session_age(self, session: WorkerSession) -> float:
        """Return how many seconds a link has been the current one of its worker.

        :returns: 0 if it is not the current link.
        """
        worker = self._workers.get(session.worker)
        if worker is None or worker.session is not session:
            return 0.0
        return self._clock() - worker.opened_at

    def update_report(self, session: WorkerSession, report: Report) -> bool:
        """Store a report; return False if its session is not the current one."""
        worker = self._workers.get(session.worker)
        if worker is None or worker.session is not session:
            return False
        worker.report = report
        if self._first_report_at is None:
            self._first_report_at = self._clock()
        self._capacities[session.worker] = report.capacity
        self._capacities.move_to_end(session.worker)
        if len(self._capacities) > MAX_KNOWN_CAPACITIES:
            self._capacities.popitem(last=False)
        reserved = self._reserved.get(session.worker)
        if reserved is not None:
            for ref in report.tasks:
                reserved.unreported.pop((ref.task_id, ref.attempt), None)
        return True

    def record_refusal(self, worker: str) -> None:
        """Exclude a worker from placement briefly after it refused a start."""
        known = self._workers.get(worker)
        if known is not None:
            pause = random.uniform(REFUSAL_PAUSE_S / 2, REFUSAL_PAUSE_S)
            known.refused_until = self._clock() + pause

    def latest_beat(self, session: WorkerSession) -> int | None:
        """Return the heartbeat number of the latest report of a current session.

        :returns: None if the session is not current or has not reported yet.
        """
        worker = self._workers.get(session.worker)
        if worker is None or worker.session is not session or worker.report is None:
            return None
        return worker.report.beat

    def add_run(self, worker: str, key: RunKey, size: Resources, team: str) -> None:
        """Reserve resources for a run, before any await after the decision."""
        reserved = self._reserved.setdefault(worker, _Reservations())
        reserved.sizes[key] = size
        reserved.unreported[key] = size
        reserved.teams[team] += 1
        self._team_cpu[team] += size.cpu_milli

    def remove_run(self, worker: str, key: RunKey, team: str) -> None:
        """Release the resources of a run."""
        reserved = self._reserved.get(worker)
        if reserved is None or key not in reserved.sizes:
            return
        size = reserved.sizes.pop(key)
        reserved.unreported.pop(key, None)
        reserved.teams[team] -= 1
        if not reserved.sizes:
            del self._reserved[worker]
        self._team_cpu[team] -= size.cpu_milli
        if not self._team_cpu[team]:
            del self._team_cpu[team]

    def list_candidates(self) -> list[WorkerCandidate]:
        """Return the workers that may be given tasks now."""
        now = self._clock()
        return [
            self._build_candidate(worker)
            for worker in self._workers.values()
            if worker.report is not None
            and not worker.report.draining
            and now >= worker.refused_until
        ]

    def could_fit(self, size: Resources) -> bool:
        """Return whether any known worker is large enough for this size."""
        return any(size.fits(capacity) for capacity in self._capacities.values())

    def could_start(self, size: Resources) -> bool:
        """Return whether a linked worker could fit this size without its tasks."""
        return any(
            size.fits(self._compute_free_without_tasks(worker))
            for worker in self._workers.values()
        )

    def largest(self) -> Resources:
        """Return the maximum of each resource over all known workers."""
        largest = Resources()
        for capacity in self._capacities.values():
            largest = largest.elementwise_max(capacity)
        return largest

    def explain_misfit(self, size: Resources) -> str:
        """Return why a task of this size can never run."""
        return f"never fits: asks for {size}, the largest worker has {self.largest()}"

    def _compute_free_without_tasks(self, worker: _Worker) -> Resources:
        if worker.report is None:
            return Resources()
        free = worker.report.free
        reserved = self._reserved.get(worker.session.worker)
        if reserved is None:
            return free
        for key, size in reserved.sizes.items():
            if key not in reserved.unreported:
                free = free + size
        return free

    def _build_candidate(self, worker: _Worker) -> WorkerCandidate:
        assert worker.report is not None
        session = worker.session
        free = worker.report.free
        teams: Counter[str] = Counter()
        reserved = self._reserved.get(session.worker)
        if reserved is not None:
            teams = Counter(reserved.teams)
            for size in reserved.unreported.values():
                free = free - size
        return WorkerCandidate(
            worker=session.worker,
            data_centre=session.data_centre,
            rack=session.rack,
            capacity=worker.report.capacity,
            free=free,
            teams=teams,
        )
