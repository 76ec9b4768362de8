"""Tasks on this worker: starts, renewals, stops, and what became of them."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from functools import partial

import curio
import logbook

from pistachiodeal.agent.guarding import build_view
from pistachiodeal.agent.held_runs import HeldRun, Phase
from pistachiodeal.agent.ledger import Ledger, create_ledger
from pistachiodeal.agent.outbox import OwnerRoute
from pistachiodeal.agent.owner_messages import TaskMessage
from pistachiodeal.agent.task_parts import TaskParts, create_task_parts
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.control.views import RunView
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.store.protocols import ObjectStore, WorkerRuntime
from pistachiodeal.task_groups import run_until_one_ends
from pistachiodeal.wire.task_messages import TaskRef

POOL = 16
SEND_TICK_S = 0.1
DEFAULT = Profile(name="default")

log = logbook.Logger("pistachiodeal.agent")


class TaskKeeper:
    """Decides what runs on this worker and tells the owners what became of it."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        parts: TaskParts,
        ledger_factory: Callable[[Resources], Ledger],
        policies: PolicyCache,
        settings: AgentSettings,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._ledger_factory = ledger_factory
        self._policies = policies
        self._settings = settings
        self._clock = clock
        self._table = parts.table
        self._book = parts.book
        self._outbox = parts.outbox
        self._work = parts.work
        self._ender = parts.ender
        self._renewer = parts.renewer
        self._watcher = parts.watcher
        self._messages = parts.messages

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

        Runners announce themselves anew to a new agent. Until they had the time
        for it, tasks are refused, or a task would get a runner's room.

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
        await run_until_one_ends(
            self._watcher.poll,
            self._watcher.poll_usage,
            self._renewer.run,
            self._send,
            *[self._work.work] * POOL,
        )

    def stop_accepting(self) -> None:
        """Refuse every start from now on."""
        self._table.closed = True

    async def drain(self) -> None:
        """Stop all runs at checkpoints, and return when their owners know.

        For a worker that leaves for good; the caller bounds the time, half of
        which is for checkpoints that fail at first.
        """
        self.stop_accepting()
        try_until = self._clock() + self._settings.drain_s / 2
        while True:
            left = [held for held in self._table.runs.values() if not held.ended]
            if not left and self._outbox.empty:
                return
            for held in left:
                leave = partial(self._leave, held, try_until)
                await self._work.put_once(held.task_id, leave)
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
        await self._messages.receive(message)

    async def throttle(self, task_id: str, share: float) -> None:
        """Let a run use this share of its size from now on."""
        await self._work.put(task_id, partial(self._throttle, task_id, share))

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint; without one it goes on running."""
        held = self._table.runs.get(task_id)
        if held is not None:
            await self._work.put_once(held.task_id, partial(self._ender.evict, held))

    async def _leave(self, held: HeldRun, try_until: float) -> None:
        """Stop a run at a checkpoint, or without one after ``try_until``."""
        await self._ender.stop_lapsing(held, float("inf"))
        # One refused or lost checkpoint would otherwise cost all the work done: the
        # task would be seen to start from nothing elsewhere. It is tried again.
        if held.phase is Phase.RUNNING and self._clock() < try_until:
            return
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
    clock: Clock = time.monotonic,
) -> TaskKeeper:
    """Make a keeper that accepts nothing until it is attached."""
    parts = create_task_parts(
        runtime,
        objects,
        route,
        ledger_factory(Resources()),
        settings=settings.runtime,
        metrics=metrics,
        clock=clock,
    )
    return TaskKeeper(
        runtime=runtime,
        parts=parts,
        ledger_factory=ledger_factory,
        policies=policies,
        settings=settings,
        clock=clock,
    )
