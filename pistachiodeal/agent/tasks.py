"""Management of the batch tasks on this worker: starts, renewals, stops and ends."""

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
    """Decides which batch tasks run on this worker, and reports their ends."""

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
        """Return the ledger, shared with the runners; `attach` replaces it."""
        return self._table.ledger

    @property
    def room(self) -> Resources:
        """Return the resources available to new tasks, none if none are accepted."""
        accepts = self._table.accepts(self._clock())
        return self._table.ledger.free if accepts else Resources()

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""
        return self._table.ledger.capacity

    @property
    def held(self) -> Iterable[HeldRun]:
        """Return the records of current runs and of ends not yet acknowledged."""
        return self._table.runs.values()

    async def attach(self) -> None:
        """Fence earlier agents, and adopt the runs found on the worker.

        Runners have to announce themselves again to a new agent. Tasks are refused
        until the runners have had the time for it; otherwise a task could get the
        resources that a running runner uses.

        :raises WorkerError: attaching failed; nothing is accepted until a retry
            succeeds.
        """
        capacity = await self._runtime.attach()
        runs = await self._runtime.list()
        self._table.ledger = self._ledger_factory(capacity)
        self._table.runs.clear()
        now = self._clock()
        for run in sorted(runs, key=lambda run: run.attempt):
            self._watcher.adopt(run, now)
        self._table.accept_from = now + self._settings.announce.expiry_s
        log.notice("agent: attached to the worker, {} runs found", len(runs))

    async def run(self) -> None:
        """Manage tasks until cancelled.

        :raises WorkerFencedError: another agent has attached to this worker; this
            agent must stop.
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
        """Refuse all starts from now on."""
        self._table.closed = True

    async def drain(self) -> None:
        """Stop all runs at checkpoints; return when their owners have acknowledged.

        Used if the worker is decommissioned. The caller limits the total time;
        failed checkpoints are retried during the first half of ``drain_s``.
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
        """Record when a beat is sent; call it before sending.

        Beats must keep increasing across restarts of the agent, or an old beat is
        mistaken for a new one; so they start from the clock, not from 0.
        """
        self._book.note_beat(beat, sent_at)

    def note_epoch(self, partition: int, epoch: int) -> None:
        """Record a partition's epoch from a directory."""
        self._book.note_epoch(partition, epoch)

    def refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        """Return references to the runs of these partitions that may be running."""
        return tuple(
            TaskRef(held.task_id, held.attempt, held.epoch)
            for held in self._table.runs.values()
            if not held.ended and held.partition in partitions
        )

    def partitions(self) -> set[int]:
        """Return the partitions whose owners this agent needs links to."""
        running = {held.partition for held in self._table.runs.values()}
        return running | self._outbox.partitions()

    def runs(self) -> list[RunView]:
        """Return the running runs as input for the guard."""
        return [
            build_view(held, self._policies.find_profile(held.profile) or DEFAULT)
            for held in self._table.runs.values()
            if held.phase is Phase.RUNNING
        ]

    async def receive(self, message: TaskMessage) -> None:
        """Accept a message from an owner; it is executed in the background."""
        await self._messages.receive(message)

    async def throttle(self, task_id: str, share: float) -> None:
        """Limit a run to this share of its size from now on."""
        await self._work.put(task_id, partial(self._throttle, task_id, share))

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint; if that fails, the run continues."""
        held = self._table.runs.get(task_id)
        if held is not None:
            await self._work.put_once(held.task_id, partial(self._ender.evict, held))

    async def _leave(self, held: HeldRun, try_until: float) -> None:
        """Stop a run at a checkpoint; after ``try_until``, stop it without one."""
        await self._ender.stop_lapsing(held, float("inf"))
        # The checkpoint is retried, because a single refused or lost one would
        # discard all completed work: the task would restart from nothing elsewhere.
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
    """Create a task manager, which accepts nothing until it is attached."""
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
