"""Watches the worker: how its runs go, what they use, whom they slow down."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Protocol

import curio
import logbook

from pistachiodeal.agent.eviction import UNKNOWN_RUN, Clock, RunEnder
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook, StartDesk
from pistachiodeal.agent.ledger import (
    HeldRun,
    Phase,
    RunTable,
    SerialWork,
    adopt_run,
)
from pistachiodeal.config.agent import GuardSettings, RuntimeSettings
from pistachiodeal.control.guard import Guard
from pistachiodeal.control.views import Evict, RunView, ServiceReading, Throttle
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.learning.timeline import Timeline
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.platform.protocols import Run, RunState, UsageSample, WorkerRuntime
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.wire.messages import ServiceLoad

START_MARGIN_S = 1.0
LAPSE_MARGIN_S = 5.0
LAPSE_SHARE = 0.25

log = logbook.Logger("pistachiodeal.agent")


class RunWatcher:
    """Compares the runs that are held here with what the worker shows."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        table: RunTable,
        book: LeaseBook,
        barred: BarredAttempts,
        desk: StartDesk,
        ender: RunEnder,
        work: SerialWork,
        settings: RuntimeSettings,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._table = table
        self._book = book
        self._barred = barred
        self._desk = desk
        self._ender = ender
        self._work = work
        self._settings = settings
        self._clock = clock
        self._strangers: set[tuple[str, int]] = set()

    async def poll(self) -> None:
        """Look at the runs for ever.

        :raises WorkerFencedError: another agent has this worker.
        """
        while True:
            await self.check_runs()
            await curio.sleep(self._settings.poll_s)

    async def poll_usage(self) -> None:
        """Read what the runs use for ever."""
        while True:
            await curio.sleep(self._settings.usage_s)
            try:
                samples = await self._runtime.usage()
            except WorkerFencedError:
                raise
            except WorkerError as error:
                log.debug("agent: reading of usage failed: {}", error)
            else:
                self.note_usage(samples)

    def note_usage(self, samples: Iterable[UsageSample]) -> None:
        """Take over late measurements; one from before a run is another's.

        A run that uses more than was reserved gets the rest counted, too, or
        declared sizes that are far too small would let the worker be overfilled.
        """
        for sample in samples:
            held = self._table.runs.get(sample.subject)
            if held is None or held.ended or sample.at < held.started_at:
                continue
            held.recent = sample.used
            held.used = held.used.enlarge(sample.used)
            if self._table.ledger.holds(held.name):
                self._table.ledger.adopt(held.name, held.used)

    def adopt(self, run: Run, now: float) -> HeldRun:
        """Hold a run that was found on the worker, and count what it takes."""
        held = adopt_run(run, now)
        self._book.note_epoch(held.partition, held.epoch)
        self._table.runs[run.task_id] = held
        if run.state is RunState.RUNNING:
            self._table.ledger.adopt(held.name, held.size)
        else:
            self._ender.finish(held, run)
        return held

    def _lose(self, held: HeldRun) -> None:
        """Note that the worker has no trace of a run that it had."""
        log.warning("agent: worker lost {}/{}", held.task_id, held.attempt)
        del self._table.runs[held.task_id]
        self._barred.bar(held.task_id, held.attempt, self._book.latest_beat)
        self._ender.end(held, UNKNOWN_RUN)

    async def check_runs(self) -> None:
        """Compare what is held here with what the worker lists, once."""
        asked_at = self._clock()
        try:
            listed = {
                (run.task_id, run.attempt): run for run in await self._runtime.list()
            }
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: list of runs failed: {}", error)
            return
        for held in list(self._table.runs.values()):
            run = listed.pop((held.task_id, held.attempt), None)
            if held.ended or held.phase is Phase.STARTING:
                continue
            if run is None:
                await self._check_missing(held, asked_at)
            elif run.state is not RunState.RUNNING:
                self._ender.finish(held, run)
            else:
                await self._check_running(held)
        await self._check_strangers(listed)

    async def _check_missing(self, held: HeldRun, asked_at: float) -> None:
        if held.changed_at >= asked_at:
            return
        if held.phase is not Phase.UNCERTAIN:
            self._lose(held)
        elif asked_at > held.lease_until + START_MARGIN_S:
            self._desk.abandon(held, "start_failed")
        elif not held.stop_asked:
            await self._work.put_once(
                held.task_id, partial(self._desk.ask_worker, held)
            )

    async def _check_running(self, held: HeldRun) -> None:
        self._desk.note_started(held)
        margin = min(LAPSE_MARGIN_S, LAPSE_SHARE * held.lease_s)
        if held.stop_asked:
            await self._work.put_once(held.task_id, partial(self._ender.stop, held))
        elif held.lease_until - self._clock() < margin:
            lapse = partial(self._ender.stop_lapsing, held, margin)
            await self._work.put_once(held.task_id, lapse)

    async def _check_strangers(self, listed: dict[tuple[str, int], Run]) -> None:
        """Deal with runs that are listed and not held.

        A list may be older than an end that was acknowledged while it was on its
        way; only what two lists in a row show is taken for real.
        """
        seen_twice = self._strangers & listed.keys()
        self._strangers = set(listed)
        for key in seen_twice:
            run = listed[key]
            if run.state is not RunState.RUNNING:
                await self._work.put(run.task_id, partial(self._ender.forget, *key))
            elif run.task_id not in self._table.runs:
                log.error("agent: unknown run {} found, stopping it", run.task_id)
                self.adopt(run, self._clock()).stop_asked = True


class ServiceFigures(Protocol):
    """Late figures of the services on this worker."""

    def figures(self) -> tuple[ServiceLoad, ...]:
        """Return the services that have runners here."""

    def latency(self, service: str) -> float:
        """Return the recent latency at the promised percentile, seconds."""


class TaskControl(Protocol):
    """What the guard may do to tasks."""

    @property
    def held(self) -> Iterable[HeldRun]:
        """Return the runs that are here."""

    @property
    def capacity(self) -> Resources:
        """Return what the worker has in all."""

    def runs(self) -> list[RunView]:
        """Return the runs as the guard sees them."""

    async def throttle(self, task_id: str, share: float) -> None:
        """Let a run use this share of its size."""

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint."""


class Guarding:
    """Tells the guard what goes on, and does what it decides."""

    def __init__(
        self,
        *,
        keeper: TaskControl,
        desk: ServiceFigures,
        guard: Guard,
        timeline: Timeline,
        policies: PolicyCache,
        settings: GuardSettings,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._keeper = keeper
        self._desk = desk
        self._guard = guard
        self._timeline = timeline
        self._policies = policies
        self._settings = settings
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Decide for ever, once in each period."""
        while True:
            await self.act()
            await curio.sleep(self._settings.period_s)

    async def act(self) -> None:
        """Note what runs, let the guard decide, and carry it out."""
        now = self._clock()
        shares = sum_kinds(self._keeper.held, self._keeper.capacity)
        self._timeline.note(now, shares)
        readings = self._read_services(now)
        for action in self._guard.decide(now, readings, self._keeper.runs()):
            if isinstance(action, Throttle):
                self._metrics.count("guard.throttle")
                await self._keeper.throttle(action.task_id, action.share)
            elif isinstance(action, Evict):
                self._metrics.count("guard.evict")
                await self._keeper.evict(action.task_id)

    def _read_services(self, now: float) -> list[ServiceReading]:
        """Return a reading of each service that has a promise and had requests."""
        readings = []
        for load in self._desk.figures():
            policy = self._policies.policy(load.service)
            latency_s = self._desk.latency(load.service)
            if policy is None or policy.profile is None or latency_s <= 0:
                continue
            if policy.profile.latency_critical:
                reading = build_reading(policy.profile, load.service, now, latency_s)
                readings.append(reading)
        return readings


def build_reading(
    profile: Profile, service: str, now: float, latency_s: float
) -> ServiceReading:
    """Return a service's latency beside what its profile promises."""
    return ServiceReading(
        service,
        now,
        latency_s,
        profile.promised_ms / 1000,
        profile.throttle_batch,
        profile.evict_batch,
    )


def build_view(held: HeldRun, profile: Profile) -> RunView:
    """Return a run as the guard sees it, with what its profile says."""
    return RunView(
        held.task_id,
        held.kind,
        held.started_at,
        held.share,
        held.evictions,
        held.min_run_s,
        profile.max_evictions,
        profile.eviction_cost,
        held.size,
    )


def sum_kinds(runs: Iterable[HeldRun], capacity: Resources) -> Mapping[str, float]:
    """Return the share of the worker's processors that each kind of task uses.

    Measured use goes before what was reserved, as declared sizes are often wrong.
    """
    shares: dict[str, float] = {}
    for held in runs:
        if held.phase not in (Phase.RUNNING, Phase.STOPPING):
            continue
        reserved = held.size.cpu_milli * held.share
        used = reserved if held.recent is None else held.recent.cpu_milli
        share = used / max(capacity.cpu_milli, 1)
        shares[held.kind] = shares.get(held.kind, 0.0) + share
    return shares


def create_guarding(
    keeper: TaskControl,
    desk: ServiceFigures,
    guard: Guard,
    timeline: Timeline,
    policies: PolicyCache,
    *,
    settings: GuardSettings,
    metrics: Metrics,
    clock: Callable[[], float] = time.monotonic,
) -> Guarding:
    """Make the child that guards the services of one worker."""
    return Guarding(
        keeper=keeper,
        desk=desk,
        guard=guard,
        timeline=timeline,
        policies=policies,
        settings=settings,
        metrics=metrics,
        clock=clock,
    )
