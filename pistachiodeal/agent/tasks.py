"""Tasks on this worker: starts, renewals, stops, and what became of them."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from functools import partial

import curio
import logbook

from pistachiodeal.agent.eviction import (
    UNKNOWN_RUN,
    OwnerRoute,
    RunEnder,
    create_outbox,
)
from pistachiodeal.agent.guarding import RunWatcher, build_view
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook, Renewer, StartDesk
from pistachiodeal.agent.ledger import (
    Action,
    HeldRun,
    Ledger,
    Phase,
    RunTable,
    SerialWork,
    create_ledger,
)
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.control.views import RunView
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.platform.protocols import ObjectStore, WorkerRuntime
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.wire.messages import Renew, Start, Stop, TaskAck, TaskEnded, TaskRef

POOL = 16
WORK_LIMIT = 4096
SEND_TICK_S = 0.1
DEFAULT = Profile(name="default")

log = logbook.Logger("pistachiodeal.agent")

TaskMessage = Start | Stop | Renew | TaskAck


class TaskKeeper:
    """Decides what runs on this worker and tells the owners what became of it."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        objects: ObjectStore,
        ledger_factory: Callable[[Resources], Ledger],
        route: OwnerRoute,
        policies: PolicyCache,
        settings: AgentSettings,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._runtime = runtime
        self._ledger_factory = ledger_factory
        self._policies = policies
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._table = RunTable(ledger_factory(Resources()))
        self._book = LeaseBook()
        self._barred = BarredAttempts()
        self._outbox = create_outbox(route, objects, clock)
        self._work = SerialWork(WORK_LIMIT)
        self._ender = RunEnder(
            runtime=runtime,
            objects=objects,
            table=self._table,
            outbox=self._outbox,
            metrics=metrics,
            clock=clock,
        )
        self._desk = StartDesk(
            runtime=runtime,
            objects=objects,
            table=self._table,
            book=self._book,
            barred=self._barred,
            outbox=self._outbox,
            clock=clock,
        )
        self._renewer = Renewer(
            runtime,
            self._book,
            self._table.runs,
            retry_s=settings.runtime.poll_s,
            clock=clock,
        )
        self._watcher = RunWatcher(
            runtime=runtime,
            table=self._table,
            book=self._book,
            barred=self._barred,
            desk=self._desk,
            ender=self._ender,
            work=self._work,
            settings=settings.runtime,
            clock=clock,
        )

    @property
    def ledger(self) -> Ledger:
        """Return the ledger, which runners share; a new one after `attach`."""
        return self._table.ledger

    @property
    def room(self) -> Resources:
        """Return what may be promised to tasks now; nothing while none is accepted."""
        accepts = self._table.accepts(self._clock())
        return self._table.ledger.free if accepts else Resources()

    @property
    def capacity(self) -> Resources:
        """Return what the worker has in all."""
        return self._table.ledger.capacity

    @property
    def held(self) -> Iterable[HeldRun]:
        """Return the runs that are here, or whose end is not acknowledged."""
        return self._table.runs.values()

    async def attach(self) -> None:
        """Fence earlier agents and count what runs, before anything is accepted.

        Runners announce themselves anew to a new agent. Until their words had
        time to come, tasks are refused, or a task would get a runner's room.

        :raises WorkerError: try again; nothing is accepted until then.
        """
        capacity = await self._runtime.attach()
        runs = await self._runtime.list()
        self._table.ledger = self._ledger_factory(capacity)
        self._table.runs.clear()
        now = self._clock()
        for run in sorted(runs, key=lambda run: run.attempt):
            self._watcher.adopt(run, now)
        self._table.accept_from = now + self._settings.announce.expiry_s
        log.notice("agent: worker attached, {} runs found", len(runs))

    async def run(self) -> None:
        """Do the work until cancelled.

        :raises WorkerFencedError: another agent has this worker; stop.
        """
        await self._work.restart()
        for held in self._table.runs.values():
            if held.phase is Phase.STARTING:
                held.enter(Phase.UNCERTAIN, self._clock())
        jobs = [
            self._watcher.poll,
            self._watcher.poll_usage,
            self._renewer.run,
            self._send,
            *[self._work.work] * POOL,
        ]
        async with curio.TaskGroup(wait=any) as group:
            for job in jobs:
                await group.spawn(job)
        failed = group.completed
        if failed is not None and failed.exception is not None:
            raise failed.exception

    def stop_accepting(self) -> None:
        """Refuse every start from now on."""
        self._table.closed = True

    async def drain(self) -> None:
        """Stop all runs at checkpoints, and return when their owners know.

        For a worker that leaves for good; the caller bounds the time.
        """
        self.stop_accepting()
        while True:
            left = [held for held in self._table.runs.values() if not held.ended]
            if not left and self._outbox.empty:
                return
            for held in left:
                await self._work.put_once(held.task_id, partial(self._leave, held))
            await curio.sleep(self._settings.runtime.poll_s)

    def note_beat(self, beat: int, sent_at: float) -> None:
        """Remember when a beat was sent; call it before sending.

        Beats must not start anew at a restart of the agent, or an old beat is
        taken for a fresh one: start from the clock, not from 0.
        """
        self._book.note_beat(beat, sent_at)

    def note_epoch(self, partition: int, epoch: int) -> None:
        """Remember a partition's epoch from a directory."""
        self._book.note_epoch(partition, epoch)

    def refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        """Return the runs of these partitions that run, or may run, here."""
        return tuple(
            TaskRef(held.task_id, held.attempt, held.epoch)
            for held in self._table.runs.values()
            if not held.ended and held.partition in partitions
        )

    def partitions(self) -> set[int]:
        """Return the partitions whose owners this agent has to reach."""
        running = {held.partition for held in self._table.runs.values()}
        return running | self._outbox.partitions()

    def runs(self) -> list[RunView]:
        """Return what runs, as the guard sees it."""
        return [
            build_view(held, self._policies.find_profile(held.profile) or DEFAULT)
            for held in self._table.runs.values()
            if held.phase is Phase.RUNNING
        ]

    async def receive(self, message: TaskMessage) -> None:
        """Take a message from an owner; what it asks for is done in the background."""
        if isinstance(message, Renew):
            await self._renewer.take(message)
            return
        action: Action
        if isinstance(message, Start):
            action = partial(self._desk.start, message)
        elif isinstance(message, Stop):
            action = partial(self._stop, message)
        else:
            action = partial(self._forget_acked, message)
        if await self._work.put(message.task_id, action):
            return
        self._metrics.count("task.overloaded")
        if isinstance(message, Start) and message.task_id not in self._table.runs:
            self._desk.refuse(message, "overloaded")

    async def throttle(self, task_id: str, share: float) -> None:
        """Let a run use this share of its size from now on."""
        await self._work.put(task_id, partial(self._throttle, task_id, share))

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint; without one it goes on running."""
        held = self._table.runs.get(task_id)
        if held is not None:
            await self._work.put_once(held.task_id, partial(self._evict, held))

    async def _evict(self, held: HeldRun) -> None:
        if held.phase is Phase.RUNNING:
            await self._ender.evict(held)

    async def _leave(self, held: HeldRun) -> None:
        await self._ender.stop_lapsing(held, float("inf"))
        await self._ender.stop(held)

    async def _throttle(self, task_id: str, share: float) -> None:
        held = self._table.runs.get(task_id)
        if held is None or held.phase is not Phase.RUNNING:
            return
        try:
            await self._runtime.throttle(task_id, share)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: throttle of {} failed: {}", task_id, error)
        else:
            held.share = share

    async def _stop(self, stop: Stop) -> None:
        if not self._book.note_epoch(stop.partition, stop.epoch):
            self._metrics.count("task.stale_epoch")
            return
        held = self._table.runs.get(stop.task_id)
        if held is None or held.attempt != stop.attempt:
            self._answer_unknown(stop)
        elif held.ended:
            self._outbox.hasten(stop.task_id, stop.attempt)
        elif stop.evict:
            await self._evict(held)
        else:
            await self._ender.stop(held)

    def _answer_unknown(self, stop: Stop) -> None:
        """Say that an attempt never ran here, and never will.

        Its Start may still be on the way by another link; it is barred.
        """
        if self._outbox.hasten(stop.task_id, stop.attempt):
            return
        self._barred.bar(stop.task_id, stop.attempt, self._book.latest_beat)
        ended = TaskEnded(
            stop.task_id, stop.attempt, UNKNOWN_RUN, "", "", Resources(), 0
        )
        self._outbox.put(stop.partition, ended)

    async def _forget_acked(self, ack: TaskAck) -> None:
        held = self._table.runs.get(ack.task_id)
        if held is not None and held.attempt != ack.attempt:
            held = None
        if held is not None and not held.ended:
            return
        self._outbox.drop(ack.task_id, ack.attempt)
        self._barred.bar(ack.task_id, ack.attempt, self._book.latest_beat)
        if held is not None:
            del self._table.runs[ack.task_id]
            await self._ender.forget(ack.task_id, ack.attempt)
            await self._ender.delete_checkpoint(held)

    async def _send(self) -> None:
        while True:
            await self._outbox.send_due()
            await curio.sleep(SEND_TICK_S)


def create_task_keeper(
    runtime: WorkerRuntime,
    objects: ObjectStore,
    route: OwnerRoute,
    policies: PolicyCache,
    *,
    settings: AgentSettings,
    metrics: Metrics,
    ledger_factory: Callable[[Resources], Ledger] = create_ledger,
    clock: Callable[[], float] = time.monotonic,
) -> TaskKeeper:
    """Make a keeper that accepts nothing until it is attached."""
    return TaskKeeper(
        runtime=runtime,
        objects=objects,
        ledger_factory=ledger_factory,
        route=route,
        policies=policies,
        settings=settings,
        metrics=metrics,
        clock=clock,
    )
