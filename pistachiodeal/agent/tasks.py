"""Management of the batch tasks on this worker: starts, renewals, stops and ends."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from functools import partial

import curio
import logbook

from pistachiodeal.agent.guard_loop import build_view
from pistachiodeal.agent.ledger import Ledger, create_ledger
from pistachiodeal.agent.outbox import OwnerRoute
from pistachiodeal.agent.owner_messages import TaskMessage
from pistachiodeal.agent.run_records import Phase, RunRecord
from pistachiodeal.agent.task_components import TaskComponents, create_task_components
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.control.views import RunView
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.store.protocols import ObjectStore, WorkerRuntime
from pistachiodeal.task_groups import run_until_first_exit
from pistachiodeal.wire.task_messages import TaskRef

EXECUTOR_TASKS = 16
SEND_TICK_S = 0.1
DEFAULT_PROFILE = Profile(name="default")

log = logbook.Logger("pistachiodeal.agent")


class TaskManager:
    """Decides which batch tasks run on this worker, and reports their ends."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        components: TaskComponents,
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
        self._table = components.table
        self._lease_tracker = components.lease_tracker
        self._outbox = components.outbox
        self._executor = components.executor
        self._terminator = components.terminator
        self._renewer = components.renewer
        self._watcher = components.watcher
        self._messages = components.messages

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
    def records(self) -> Iterable[RunRecord]:
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
        await self._executor.restart()
        for record in self._table.runs.values():
            if record.phase is Phase.STARTING:
                record.enter(Phase.UNCERTAIN, self._clock())
        await run_until_first_exit(
            self._watcher.poll,
            self._watcher.poll_usage,
            self._renewer.run,
            self._send_outbox,
            *[self._executor.run_actions] * EXECUTOR_TASKS,
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
            remaining = [
                record for record in self._table.runs.values() if not record.ended
            ]
            if not remaining and self._outbox.empty:
                return
            for record in remaining:
                stop = partial(self._drain_run, record, try_until)
                await self._executor.submit_if_idle(record.task_id, stop)
            await curio.sleep(self._settings.runtime.poll_s)

    def record_beat(self, beat: int, sent_at: float) -> None:
        """Record when a beat is sent; call it before sending.

        Beats must keep increasing across restarts of the agent, or an old beat is
        mistaken for a new one; so they start from the clock, not from 0.
        """
        self._lease_tracker.record_beat(beat, sent_at)

    def record_epoch(self, partition: int, epoch: int) -> None:
        """Record a partition's epoch from a directory."""
        self._lease_tracker.record_epoch(partition, epoch)

    def list_refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        """Return references to the runs of these partitions that may be running."""
        return tuple(
            TaskRef(record.task_id, record.attempt, record.epoch)
            for record in self._table.runs.values()
            if not record.ended and record.partition in partitions
        )

    def partitions(self) -> set[int]:
        """Return the partitions whose owners this agent needs links to."""
        running = {record.partition for record in self._table.runs.values()}
        return running | self._outbox.partitions()

    def runs(self) -> list[RunView]:
        """Return the running runs as input for the guard."""
        return [
            build_view(
                record, self._policies.find_profile(record.profile) or DEFAULT_PROFILE
            )
            for record in self._table.runs.values()
            if record.phase is Phase.RUNNING
        ]

    async def receive(self, message: TaskMessage) -> None:
        """Accept a message from an owner; it is executed in the background."""
        await self._messages.receive(message)

    async def throttle(self, task_id: str, share: float) -> None:
        """Limit a run to this share of its size from now on."""
        await self._executor.submit(task_id, partial(self._throttle, task_id, share))

    async def evict(self, task_id: str) -> None:
        """Stop a run at a checkpoint; if that fails, the run continues."""
        record = self._table.runs.get(task_id)
        if record is not None:
            await self._executor.submit_if_idle(
                record.task_id, partial(self._terminator.evict, record)
            )

    async def _drain_run(self, record: RunRecord, try_until: float) -> None:
        """Stop a run at a checkpoint; after ``try_until``, stop it without one."""
        await self._terminator.stop_before_expiry(record, float("inf"))
        # The checkpoint is retried, because a single refused or lost one would
        # discard all completed work: the task would restart from nothing elsewhere.
        if record.phase is Phase.RUNNING and self._clock() < try_until:
            return
        await self._terminator.stop(record)

    async def _throttle(self, task_id: str, share: float) -> None:
        record = self._table.runs.get(task_id)
        if record is None or record.phase is not Phase.RUNNING:
            return
        try:
            await self._runtime.throttle(task_id, share)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: throttle of {} failed: {}", task_id, error)
        else:
            record.share = share

    async def _send_outbox(self) -> None:
        while True:
            await self._outbox.send_due()
            await curio.sleep(SEND_TICK_S)


def create_task_manager(
    runtime: WorkerRuntime,
    objects: ObjectStore,
    route: OwnerRoute,
    policies: PolicyCache,
    *,
    settings: AgentSettings,
    metrics: Metrics,
    ledger_factory: Callable[[Resources], Ledger] = create_ledger,
    clock: Clock = time.monotonic,
) -> TaskManager:
    """Create a task manager, which accepts nothing until it is attached."""
    components = create_task_components(
        runtime,
        objects,
        route,
        ledger_factory(Resources()),
        settings=settings.runtime,
        metrics=metrics,
        clock=clock,
    )
    return TaskManager(
        runtime=runtime,
        components=components,
        ledger_factory=ledger_factory,
        policies=policies,
        settings=settings,
        clock=clock,
    )
