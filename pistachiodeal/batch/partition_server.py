"""Serves one owned partition: its state, its journal and its messages to agents."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import curio
from logbook import Logger

from pistachiodeal.batch.append_request import AppendRequest, JournalPosition
from pistachiodeal.batch.checkpoints import CheckpointCleaner
from pistachiodeal.batch.completion_waiters import CompletionWaiters
from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.events import Event, Placed, RequeueCause, Requeued
from pistachiodeal.batch.journal import Journal
from pistachiodeal.batch.partition import PartitionState
from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.batch.rows import OwnerRow
from pistachiodeal.batch.runs import RunTable
from pistachiodeal.batch.sender import Sender
from pistachiodeal.batch.snapshots import SnapshotManager, try_write_snapshot
from pistachiodeal.exceptions import Outcome
from pistachiodeal.model.tasks import TaskRecord
from pistachiodeal.task_groups import run_until_first_exit

log = Logger("batch")

SNAPSHOT_CHECK_S = 1.0
FLUSH_POLL_S = 0.01
PAUSE_S = 1.0


class PartitionServer:
    """Serves a partition from the take-over until it is fenced or released."""

    def __init__(self, context: BatchContext, owner: OwnerRow) -> None:
        batch = context.settings.batch
        self._context = context
        self._owner = owner
        self._snapshot_manager = SnapshotManager(
            context.table, context.objects, owner.partition
        )
        self._cleaner = CheckpointCleaner(context.objects)
        self._sender = Sender()
        self._journal: Journal | None = None
        self._locked: set[str] = set()
        self._closing = False
        self._paused_until = float("-inf")
        self.state = PartitionState(lambda name: context.find_profile(name).urgency)
        self.waiters = CompletionWaiters()
        self.runs = RunTable(
            owner.partition,
            owner.epoch,
            context.workers,
            safety_s=batch.owner_lease_s + 2 * batch.margin_s,
            clock=context.clock,
        )

    @property
    def owner(self) -> OwnerRow:
        """Return the row that names this entry the owner of the partition."""
        return self._owner

    @property
    def serving(self) -> bool:
        """Return whether the journal is loaded and new work is accepted."""
        return self._journal is not None and not self._closing

    @property
    def stalled(self) -> bool:
        """Return whether appends would wait for an unsettled one or be rejected."""
        return self._journal is None or self._journal.stalled or self._journal.full

    @property
    def has_authority(self) -> bool:
        """Return whether leases may be granted and starts may be sent now."""
        return self.serving and self._context.membership.has_authority(
            self._owner.partition, self._owner.epoch
        )

    @property
    def may_propose(self) -> bool:
        """Return whether a placement round may propose events now."""
        paused = self._context.clock() < self._paused_until
        return self.serving and not self.stalled and not paused

    def is_locked(self, task_id: str) -> bool:
        """Return whether an event of this task is being appended to the journal."""
        return task_id in self._locked

    def prepare(
        self,
        events: Sequence[Event],
        on_settled: Callable[[Outcome], Sequence[OutgoingMessage]] | None = None,
        payload: int = 0,
    ) -> AppendRequest | None:
        """Lock the tasks of the events; return None if one of them is already locked.

        The lock prevents two decisions about one task from both reaching the journal.
        Pass the result to :meth:`submit` without an await in between.

        :param on_settled: see :class:`AppendRequest`.
        :param payload: see :class:`AppendRequest`.
        """
        names = [event.task_id for event in events]
        if not self.serving or not self._locked.isdisjoint(names):
            return None
        self._locked.update(names)

        def finish(outcome: Outcome) -> Sequence[OutgoingMessage]:
            self._locked.difference_update(names)
            if outcome is Outcome.NOT_RUN:
                self._pause()
            return on_settled(outcome) if on_settled is not None else ()

        return AppendRequest(tuple(events), payload, finish)

    async def submit(self, append: AppendRequest) -> None:
        """Submit prepared events to the journal."""
        assert self._journal is not None
        await self._journal.submit(append)

    async def propose(
        self,
        events: Sequence[Event],
        on_settled: Callable[[Outcome], Sequence[OutgoingMessage]] | None = None,
        payload: int = 0,
    ) -> AppendRequest | None:
        """Prepare and submit events; return None if one of their tasks is locked."""
        append = self.prepare(events, on_settled, payload)
        if append is not None:
            await self.submit(append)
        return append

    async def enqueue_message(self, outgoing: OutgoingMessage) -> None:
        """Queue a message for sending."""
        await self._sender.put(outgoing)

    async def withdraw(self, append: AppendRequest) -> bool:
        """Withdraw an append that has not been sent to the table yet."""
        return self._journal is not None and await self._journal.withdraw(append)

    async def run(self) -> None:
        """Load the partition, then serve it.

        :raises FencedError: another entry owns the partition.
        :raises StoreError: the partition could not be loaded.
        """
        try:
            seq = await self._snapshot_manager.load(self.state)
            self._restore_runs()
            self._journal = self._create_journal(seq)
            log.notice(
                "batch: partition {} acquired at epoch {}, {} tasks",
                self._owner.partition,
                self._owner.epoch,
                len(self.state),
            )
            await run_until_first_exit(
                self._journal.run, self._sender.run, self._write_snapshots
            )
        finally:
            self._closing = True
            self.runs.clear()
            await self.waiters.wake_all()

    def stop_accepting(self) -> None:
        """Accept no new work."""
        self._closing = True

    async def close(self, deadline: float) -> bool:
        """Accept no new work and wait until all appends are settled.

        :param deadline: on the context's clock, seconds.
        :returns: False if an append is still unsettled at the deadline.
        """
        self.stop_accepting()
        while self._journal is not None and not self._journal.idle:
            if self._context.clock() >= deadline:
                return False
            await curio.sleep(FLUSH_POLL_S)
        return True

    def describe(self) -> dict[str, int | bool]:
        """Return the values for the status page."""
        return {
            "epoch": self._owner.epoch,
            "serving": self.serving,
            "authority": self.has_authority,
            **self.state.describe(),
        }

    def _pause(self) -> None:
        # While the store is down, the rounds would otherwise retry at once, and all
        # entries would retry at the same time.
        wait = random.uniform(PAUSE_S / 2, PAUSE_S)
        self._paused_until = self._context.clock() + wait

    def _create_journal(self, seq: int) -> Journal:
        owner = self._owner
        return Journal(
            self._context.table,
            JournalPosition(owner.partition, owner.epoch, owner.version, seq),
            self._apply,
            self._sender.put,
            self.waiters.wake_ended,
            group_s=self._context.settings.store.group_s,
        )

    def _restore_runs(self) -> None:
        for placed in list(self.state.placed.values()):
            record = self.state.find(placed.task_id)
            if record is None:
                continue
            run = self.runs.add(placed, record.spec.team, durable=True)
            run.stopping = record.cancel_asked

    def _apply(self, event: Event) -> None:
        known = self.state.find(event.task_id)
        checkpoint = known.checkpoint if known else ""
        record = self.state.apply(event)
        if record is None:
            return
        self._cleaner.enqueue_superseded(checkpoint, record)
        if isinstance(event, Placed):
            run = self.runs.find(event.task_id)
            if run is not None:
                run.durable = True
            return
        self._remove_run(record, event)
        self.waiters.update(record)

    def _remove_run(self, record: TaskRecord, event: Event) -> None:
        task_id = record.spec.task_id
        if task_id in self.state.placed:
            return
        if isinstance(event, Requeued) and event.cause is RequeueCause.LOST:
            self.runs.remove(task_id)
        else:
            self.runs.record_ended(task_id)

    async def _write_snapshots(self) -> None:
        rows = self._context.settings.batch.snapshot_rows
        while True:
            await curio.sleep(SNAPSHOT_CHECK_S)
            await self._cleaner.clean()
            assert self._journal is not None
            seq = self._journal.seq
            if seq - self._snapshot_manager.snapshot_seq < rows:
                continue
            owner = self._owner
            position = JournalPosition(owner.partition, owner.epoch, owner.version, seq)
            await try_write_snapshot(self._snapshot_manager, self.state, seq, position)
