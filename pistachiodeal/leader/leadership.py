"""Leads for one epoch: loads all jobs, then plans until another process leads."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import (
    DEFAULT_LINK_MBPS,
    DEFAULT_ROW_BYTES,
    NO_FEATURES,
    FeatureSettings,
    LimitSettings,
)
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import FencedError
from pistachiodeal.jobs.advice import Adviser
from pistachiodeal.jobs.model import JobState, Queue
from pistachiodeal.leader.advice import AdviceCache
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.commits import MAX_REMOVALS, FencedWriter, LeaderTerm
from pistachiodeal.leader.compaction import EndedJobCompactor
from pistachiodeal.leader.feed import JobFeed
from pistachiodeal.leader.filling_work import create_filling_work
from pistachiodeal.leader.learned_state import LearnedStatePersister
from pistachiodeal.leader.load_summary import LoadSummarizer
from pistachiodeal.leader.loader import JobLoader
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.queue_reporter import QueueReporter
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.sessions import AgentSessions
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.startup_wait import StartupWait
from pistachiodeal.leader.takeover import Takeover
from pistachiodeal.leader.tombstone_collector import TombstoneCollector
from pistachiodeal.leader.workers import Fleet, split_place
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.store.row_store import RowStore
from pistachiodeal.task_groups import Child, run_until_first_exit
from pistachiodeal.wire.job_messages import JobNotice

log = Logger("leader")

# A round of planning handles all changes since the last one. The pause after it lasts
# as long as the round took, and at least this long: without it, planning would leave no
# time for reports.
PLAN_PAUSE_S = 0.01
PLAN_REST_FACTOR = 1.0
TICK_S = 0.25
RETRY_S = 0.2
# Concurrent writes to a slow store, each of different jobs.
WRITERS = 3
# A longer write means that the store is slow; 4 to 10 ms are usual.
SLOW_WRITE_S = 0.06
# Final states are kept slightly longer than the configured time.
KEPT_MARGIN_S = 30.0
# A leader that has led for less than this, or that has not reached the store for this
# long, should not hand over.
STABLE_AFTER_S = 2.0


class Leadership:
    """The state and the background loops of a leader, for one epoch."""

    def __init__(
        self,
        store: RowStore,
        term: LeaderTerm,
        find_queue: Callable[[Queue], Queue],
        limits: LimitSettings,
        events: EventLog,
        *,
        adviser: Adviser | None = None,
        features: FeatureSettings = NO_FEATURES,
        link_mbps: float = DEFAULT_LINK_MBPS,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        self._store = store
        self._term = term
        self._acquired_by = term.acquired_by
        self._kept_s = limits.kept_s + KEPT_MARGIN_S
        self._events = events
        self._changed = curio.Event()
        self._unsaved = curio.Event()
        self._superseded = curio.Event()
        self._registry = JobRegistry(events)
        self._fleet = Fleet()
        self._closures = ClosureWatch(
            store, self._fleet, limits.closing_ms / 1000, events
        )
        self._feed = JobFeed(
            store,
            self._registry,
            events,
            self._cancel,
            self._notify_changed,
            link_mbps=link_mbps,
        )
        loader = JobLoader(
            store, self._registry, self._feed, self._cancel, events, link_mbps=link_mbps
        )
        self._writer = FencedWriter(store, term, events, row_bytes)
        self._takeover = Takeover(loader, self._closures, self._writer, term, events)
        self._compactor = EndedJobCompactor(store, self._registry, self._writer, events)
        self._tombstones = TombstoneCollector(
            store, self._registry, self._writer, events
        )
        interference = InterferenceModel()
        filling = create_filling_work(features, interference, events)
        self._advice = None
        if adviser is not None:
            self._advice = AdviceCache(adviser, events, self._changed.set)
        speeds = None
        if features.worker_speeds:
            speeds = SpeedMonitor(
                self._registry, interference, events, limits.remote_factor
            )
        self._reconciler = Reconciler(
            self._registry,
            self._fleet,
            interference,
            events,
            advice=self._advice,
            speeds=speeds,
            filling=filling,
        )
        self._learned_state = LearnedStatePersister(
            store,
            self._writer,
            interference,
            self._registry.estimator.durations,
            events,
            speeds=speeds,
            forecaster=filling.forecaster if filling is not None else None,
        )
        self._planner = Planner(
            self._registry,
            self._fleet,
            self._reconciler,
            interference,
            find_queue,
            limits=limits,
            events=events,
            advice=self._advice,
            features=features,
            filling=filling,
        )
        self._sessions = AgentSessions(
            self._writer,
            self._fleet,
            self._reconciler,
            self._closures,
            events=events,
            changed=self._changed,
        )
        self._load_summary = None
        if features.admission:
            self._load_summary = LoadSummarizer(
                self._registry, self._fleet, find_queue, term.epoch, events
            )
        self._queue_reporter = QueueReporter(
            self._registry,
            self._fleet,
            self._planner,
            self._load_summary,
            knows_speeds=features.worker_speeds,
        )
        self._loaded = False
        self._loaded_at = 0.0
        self._startup_wait = StartupWait(self._fleet)
        self._paused = False

    @property
    def epoch(self) -> int:
        """Return the epoch."""
        return self._term.epoch

    @property
    def loaded(self) -> bool:
        """Tell whether all jobs have been loaded."""
        return self._loaded

    @property
    def store_age_s(self) -> float:
        """Return the time since the store last confirmed this leader, seconds.

        While the jobs are being loaded, it is the time since the load made progress.
        """
        if not self._loaded:
            return self._takeover.progress_age_s
        return self._writer.unconfirmed_s

    @property
    def sessions(self) -> AgentSessions:
        """Return the agents' sessions."""
        return self._sessions

    @property
    def registry(self) -> JobRegistry:
        """Return the jobs."""
        return self._registry

    @property
    def fleet(self) -> Fleet:
        """Return the workers."""
        return self._fleet

    @property
    def load_summary(self) -> LoadSummarizer | None:
        """Return the summary of the backlog, None with the feature off."""
        return self._load_summary

    @property
    def queue_reporter(self) -> QueueReporter:
        """Return what builds the report on queues."""
        return self._queue_reporter

    def find_state(self, job_id: str) -> JobState | None:
        """Return the durable state of a job, None if it is unknown or not loaded."""
        record = self._registry.records.get(job_id) if self._loaded else None
        if record is None:
            return None
        # The cancellation itself is durable before the leader hears of it.
        cancelled = record.state is JobState.CANCELLED
        return record.state if cancelled else record.durable_state

    def handle_notice(self, notice: JobNotice) -> None:
        """Expect the row that a notice names, or note that it doesn't exist."""
        if not notice.rejected and not notice.uncertain:
            self.announce(notice.key)
        elif self._load_summary is not None:
            self._load_summary.record(notice, read_boot_clock())

    def announce(self, key: str) -> None:
        """Expect a durable row of the jobs table; see :meth:`JobFeed.announce`."""
        self._feed.announce(key)

    @property
    def stable(self) -> bool:
        """Tell whether a hand-over would cause little disruption now."""
        lasted_s = read_boot_clock() - self._loaded_at
        return (
            self._startup_wait.done
            and lasted_s > STABLE_AFTER_S
            and self._writer.last_write_s < SLOW_WRITE_S
            and self.store_age_s < STABLE_AFTER_S
        )

    def pause(self) -> None:
        """Stop planning and writing while leadership is being handed over."""
        self._paused = True

    async def resume(self) -> None:
        """Plan and write again, since the hand-over has failed."""
        self._paused = False
        await self._notify_changed()

    async def step_down(self, epoch: int) -> None:
        """Stop leading, since another process leads under a higher epoch.

        A leader that the store refuses can't detect by itself that it was replaced.
        As long as it goes on, its agents and followers stay connected to it and get no
        work.
        """
        self._events.emit("leader.superseded", epoch=self.epoch, by=epoch)
        await self._superseded.set()

    async def run(self) -> None:
        """Lead until another process does.

        :raises FencedError: another process leads now.
        """
        await run_until_first_exit(self._lead, self._wait_superseded)

    async def _wait_superseded(self) -> None:
        await self._superseded.wait()
        raise FencedError(step="leader.superseded")

    async def _lead(self) -> None:
        await self._load()
        loops: list[Child] = [
            self._feed.follow,
            self._feed.reread_lost,
            *(partial(self._run_writer, number) for number in range(WRITERS)),
            self._run_planner,
            self._run_upkeep,
            self._learned_state.run,
            self._closures.run,
            self._compactor.run,
            self._tombstones.run,
        ]
        if self._advice is not None:
            loops.append(self._advice.run)
        if self._load_summary is not None:
            loops.append(self._load_summary.run)
        await run_until_first_exit(*loops)

    async def _load(self) -> None:
        await self._takeover.run()
        self._loaded = True
        await self._notify_changed()
        self._loaded_at = read_boot_clock()
        nodes = {split_place(place)[0] for place in self._registry.list_places()}
        self._startup_wait.begin(nodes, self._loaded_at)
        self._events.emit(
            "leader.loaded",
            epoch=self.epoch,
            jobs=len(self._registry.records),
            open=len(self._registry.open_records),
            took_ms=int((self._loaded_at - self._acquired_by) * 1000),
        )

    def _cancel(self, job_id: str) -> None:
        for task in self._registry.cancel(job_id):
            self._reconciler.stop(task, "its job is cancelled")

    async def _run_writer(self, number: int) -> None:
        """Write decisions, as one of several concurrent writers.

        With a single writer, a decision made during a slow write would wait for that
        write and then for its own. Writers beyond the first start only if a write takes
        long, so that a fast store gets no more calls than from one writer.

        :param number: of the writer, 0 for the first.
        """
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            if number:
                await curio.sleep(number * SLOW_WRITE_S)
            while self._registry.has_writable and not self._paused:
                await self._writer.write(self._registry)
                await self._sessions.send_orders()
                await self._changed.set()
                if self._registry.has_unsaved:
                    await self._unsaved.set()

    async def _run_planner(self) -> None:
        while True:
            await curio.ignore_after(TICK_S, self._changed.wait)
            self._changed.clear()
            began_at = read_boot_clock()
            if self._startup_wait.is_done(began_at) and not self._paused:
                complete = self._planner.plan()
                if not complete:
                    await self._changed.set()
            took_s = read_boot_clock() - began_at
            await self._sessions.send_orders()
            if self._registry.has_unsaved:
                await self._unsaved.set()
            await curio.sleep(max(PLAN_PAUSE_S, PLAN_REST_FACTOR * took_s))

    async def _run_upkeep(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            if self._paused:
                # The row may already name the successor. Stopping because of that would
                # close the links before all peers have been told who leads.
                continue
            await self._writer.confirm()
            for place in self._registry.list_places():
                if self._sessions.is_lost(self._acquired_by, place):
                    self._reconciler.requeue_lost_runs(place, "its leases have run out")
                    await self._notify_changed()
            await self._feed.check_announced()
            await self._remove_old()

    async def _remove_old(self) -> None:
        old = self._registry.list_expired(read_boot_clock(), self._kept_s)[
            :MAX_REMOVALS
        ]
        if not old:
            return
        if await self._writer.remove(old):
            for record in old:
                self._registry.remove(record)

    async def _notify_changed(self) -> None:
        await self._changed.set()
        if self._registry.has_unsaved:
            await self._unsaved.set()


async def lead(leadership: Leadership) -> None:
    """Lead until fenced, which is no error of the process."""
    try:
        await leadership.run()
    except FencedError as error:
        log.warning("leader: another process leads now: {}", error)
