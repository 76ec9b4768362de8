"""Leads under one epoch: loads all jobs, then decides until another takes over."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import FencedError, ProtocolError, StoreError
from pistachiodeal.jobs.advice import Adviser
from pistachiodeal.jobs.model import JobState, Queue
from pistachiodeal.jobs.record import apply_progress, build_record
from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    UNDIVIDED_PARTITION,
    decode_job,
    split_key,
)
from pistachiodeal.jobs.tables import read_tables
from pistachiodeal.leader.advice import AdviceKeeper
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.commits import REMOVALS, Authority, CommitLog
from pistachiodeal.leader.feed import JobFeed
from pistachiodeal.leader.lessons import LessonKeeper
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.sessions import AgentSessions
from pistachiodeal.leader.settling import Settling
from pistachiodeal.leader.workers import Fleet, split_place
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.store.row_store import RowStore, StoredRow
from pistachiodeal.task_groups import Child, gather, run_until_one_ends

log = Logger("leader")

# A round takes what has gathered since the last one. It rests for this long, and as
# long as it took: without the rest planning would leave no time for reports.
PLAN_PAUSE_S = 0.01
PLAN_REST = 1.0
TICK_S = 0.25
RETRY_S = 0.2
# Writes on their way at a time, each with jobs of its own, for a store that is slow.
WRITERS = 3
# A write that takes longer than this is of a slow store; usual are 4 to 10 ms.
SLOW_WRITE_S = 0.06
# A final state is kept a little longer than promised.
KEPT_MARGIN_S = 30.0
# A leader that has led for less, or whose store is away, has enough to do.
CALM_S = 2.0


class Leadership:
    """What a leader knows and does."""

    def __init__(
        self,
        store: RowStore,
        authority: Authority,
        find_queue: Callable[[Queue], Queue],
        limits: LimitSettings,
        events: EventLog,
        *,
        adviser: Adviser | None = None,
    ) -> None:
        self._store = store
        self._authority = authority
        self._took_at = authority.taken_by
        self._kept_s = limits.kept_s + KEPT_MARGIN_S
        self._events = events
        self._changed = curio.Event()
        self._unsaved = curio.Event()
        self._superseded = curio.Event()
        self._book = JobBook(events)
        self._fleet = Fleet()
        self._closures = ClosureWatch(
            store, self._fleet, limits.closing_ms / 1000, events
        )
        self._feed = JobFeed(store, self._book, events, self._cancel, self._touch)
        self._commits = CommitLog(store, authority, events)
        interference = InterferenceModel()
        self._advice = None
        if adviser is not None:
            self._advice = AdviceKeeper(adviser, events, self._changed.set)
        self._reconciler = Reconciler(
            self._book, self._fleet, interference, events, advice=self._advice
        )
        self._lessons = LessonKeeper(
            store,
            self._commits,
            interference,
            self._book.expectations.durations,
            events,
        )
        self._planner = Planner(
            self._book,
            self._fleet,
            self._reconciler,
            interference,
            find_queue,
            limits=limits,
            events=events,
            advice=self._advice,
        )
        self._sessions = AgentSessions(
            self._commits,
            self._fleet,
            self._reconciler,
            self._closures,
            events=events,
            changed=self._changed,
        )
        self._loaded = False
        self._loaded_at = 0.0
        self._settling = Settling(self._fleet)
        self._paused = False

    @property
    def epoch(self) -> int:
        """Return the epoch."""
        return self._authority.epoch

    @property
    def loaded(self) -> bool:
        """Tell whether all jobs are known."""
        return self._loaded

    @property
    def store_age_s(self) -> float:
        """Return how long ago the store last confirmed this leader."""
        return read_boot_clock() - self._commits.confirmed_at

    @property
    def sessions(self) -> AgentSessions:
        """Return the agents' sessions."""
        return self._sessions

    @property
    def book(self) -> JobBook:
        """Return the jobs."""
        return self._book

    @property
    def fleet(self) -> Fleet:
        """Return the workers."""
        return self._fleet

    def find_state(self, job_id: str) -> JobState | None:
        """Return the durable state of a job, None when it isn't known (yet)."""
        record = self._book.records.get(job_id) if self._loaded else None
        return record.durable_state if record is not None else None

    def announce(self, key: str) -> None:
        """Note that a row of the jobs table is durable; see :class:`JobFeed`."""
        self._feed.announce(key)

    @property
    def calm(self) -> bool:
        """Tell whether a change of the leader would disturb little now."""
        lasted_s = read_boot_clock() - self._loaded_at
        return (
            self._settling.done
            and lasted_s > CALM_S
            and self._commits.last_write_s < SLOW_WRITE_S
            and self.store_age_s < CALM_S
        )

    def pause(self) -> None:
        """Decide and write nothing more, since the lead is being handed over."""
        self._paused = True

    async def go_on(self) -> None:
        """Decide again: nobody has taken the lead over."""
        self._paused = False
        await self._touch()

    async def step_down(self, epoch: int) -> None:
        """End, since another process leads under a higher epoch.

        A leader that the store turns away can't see for itself that it was replaced.
        While it goes on, its agents and followers stay with it and get no work.
        """
        self._events.emit("leader.superseded", epoch=self.epoch, by=epoch)
        await self._superseded.set()

    async def run(self) -> None:
        """Lead.

        :raises FencedError: another process leads now.
        """
        await run_until_one_ends(self._lead, self._wait_superseded)

    async def _wait_superseded(self) -> None:
        await self._superseded.wait()
        raise FencedError(step="leader.superseded")

    async def _lead(self) -> None:
        await self._load()
        keepers: list[Child] = [
            self._feed.follow,
            *(partial(self._keep_writing, number) for number in range(WRITERS)),
            self._keep_planning,
            self._keep_right,
            self._lessons.run,
            self._closures.run,
        ]
        if self._advice is not None:
            keepers.append(self._advice.run)
        await run_until_one_ends(*keepers)

    async def _load(self) -> None:
        while not self._loaded:
            try:
                await gather(self._closures.look, self._read_everything)
                self._loaded = True
                await self._touch()
            except StoreError as error:
                log.info("leader: cannot read the jobs yet: {}", error)
                await curio.sleep(RETRY_S)
        self._loaded_at = read_boot_clock()
        nodes = {split_place(place)[0] for place in self._book.list_places()}
        self._settling.begin(nodes, self._loaded_at)
        self._events.emit(
            "leader.loaded",
            epoch=self.epoch,
            jobs=len(self._book.records),
            open=len(self._book.open_records),
            took_ms=int((self._loaded_at - self._took_at) * 1000),
        )

    async def _read_everything(self) -> None:
        jobs, progress = await read_tables(self._store)
        values = {row.key: row for row in progress.rows}
        cancelled = []
        for row in jobs.rows:
            job_id, cancels = split_key(row.key)
            if cancels:
                cancelled.append(job_id)
            else:
                self._restore(row, values.get(job_id))
        for job_id in cancelled:
            self._cancel(job_id)
        self._feed.start_after(jobs.version)

    def _restore(self, row: StoredRow, progress: StoredRow | None) -> None:
        known = self._book.records.get(row.key)
        undivided = row.partition == UNDIVIDED_PARTITION
        if known is not None:
            if known.undivided != undivided:
                # Handed in again after submissions were divided; it is one job.
                known.undivided = True
                self._events.emit("row.twofold", key=row.key, partition=row.partition)
            return
        try:
            record = build_record(decode_job(row.key, row.value))
            if progress is not None:
                apply_progress(record, progress.value, progress.version)
        except ProtocolError as error:
            self._events.emit(
                "row.unreadable", table=JOBS_TABLE, key=row.key, cause=str(error)
            )
            return
        record.undivided = undivided
        if record.state.final:
            record.finished_at = read_boot_clock()
        self._book.restore(record)
        if not record.state.final:
            self._book.open_due(record, time.time())

    def _cancel(self, job_id: str) -> None:
        for task in self._book.cancel(job_id):
            self._reconciler.stop(task, "its job is cancelled")

    async def _keep_writing(self, number: int) -> None:
        """Write what is decided; one of several writers that share the work.

        What is decided while a slow store takes a write would wait for that one and
        then for its own. Writers beyond the first only begin where a write takes long:
        a store that answers soon gets no more calls than from one writer.
        """
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            if number:
                await curio.sleep(number * SLOW_WRITE_S)
            while self._book.has_writable and not self._paused:
                await self._commits.write(self._book)
                await self._sessions.send_orders()
                await self._changed.set()
                if self._book.has_unsaved:
                    await self._unsaved.set()

    async def _keep_planning(self) -> None:
        while True:
            await curio.ignore_after(TICK_S, self._changed.wait)
            self._changed.clear()
            began_at = read_boot_clock()
            if self._settling.is_done(began_at) and not self._paused:
                whole = self._planner.plan()
                if not whole:
                    await self._changed.set()
            took_s = read_boot_clock() - began_at
            await self._sessions.send_orders()
            if self._book.has_unsaved:
                await self._unsaved.set()
            await curio.sleep(max(PLAN_PAUSE_S, PLAN_REST * took_s))

    async def _keep_right(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            if self._paused:
                # The row may name the successor already. Ending for that would close
                # the links before everybody has been told who leads.
                continue
            await self._commits.confirm()
            for place in self._book.list_places():
                if self._sessions.is_lost(self._took_at, place):
                    self._reconciler.lose(place, "its leases have run out")
                    await self._touch()
            await self._feed.check_announced()
            await self._remove_old()

    async def _remove_old(self) -> None:
        old = self._book.list_expired(read_boot_clock(), self._kept_s)[:REMOVALS]
        if not old:
            return
        if await self._commits.remove(old):
            for record in old:
                self._book.remove(record)

    async def _touch(self) -> None:
        await self._changed.set()
        if self._book.has_unsaved:
            await self._unsaved.set()


async def lead(leadership: Leadership) -> None:
    """Lead until fenced; the end is no error of the process."""
    try:
        await leadership.run()
    except FencedError as error:
        log.warning("leader: another process leads now: {}", error)
