"""Handling of messages from partition owners, in order for each task."""

from __future__ import annotations

from functools import partial

from pistachiodeal.agent.keyed_executor import Action, KeyedExecutor
from pistachiodeal.agent.leases import LeaseRenewer, LeaseTracker, RejectedAttempts
from pistachiodeal.agent.outbox import Outbox
from pistachiodeal.agent.run_records import RunRecordTable
from pistachiodeal.agent.starting import RunStarter
from pistachiodeal.agent.termination import RunTerminator
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.task_messages import (
    UNKNOWN_RUN,
    Renew,
    Start,
    Stop,
    TaskAck,
    TaskEnded,
)

TaskMessage = Start | Stop | Renew | TaskAck


class OwnerMessageHandler:
    """Handles the starts, stops, renewals and acknowledgements of owners."""

    def __init__(
        self,
        *,
        table: RunRecordTable,
        lease_tracker: LeaseTracker,
        rejected_attempts: RejectedAttempts,
        outbox: Outbox,
        executor: KeyedExecutor,
        starter: RunStarter,
        terminator: RunTerminator,
        renewer: LeaseRenewer,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._lease_tracker = lease_tracker
        self._rejected_attempts = rejected_attempts
        self._outbox = outbox
        self._executor = executor
        self._starter = starter
        self._terminator = terminator
        self._renewer = renewer
        self._metrics = metrics

    async def receive(self, message: TaskMessage) -> None:
        """Accept a message from an owner; it is executed in the background."""
        if isinstance(message, Renew):
            await self._renewer.apply_grants(message)
            return
        action: Action
        if isinstance(message, Start):
            action = partial(self._starter.start, message)
        elif isinstance(message, Stop):
            action = partial(self._stop, message)
        else:
            action = partial(self._handle_ack, message)
        if await self._executor.submit(message.task_id, action):
            return
        self._metrics.count("task.overloaded")
        if isinstance(message, Start) and message.task_id not in self._table.runs:
            self._starter.refuse(message, "overloaded")

    async def _stop(self, stop: Stop) -> None:
        if not self._lease_tracker.record_epoch(stop.partition, stop.epoch):
            self._metrics.count("task.stale_epoch")
            return
        record = self._table.runs.get(stop.task_id)
        if record is None or record.attempt != stop.attempt:
            self._report_unknown_run(stop)
        elif record.ended:
            self._outbox.expedite(stop.task_id, stop.attempt)
        elif stop.evict:
            await self._terminator.evict(record)
        else:
            await self._terminator.stop(record)

    def _report_unknown_run(self, stop: Stop) -> None:
        """Report that an attempt never ran on this worker, and never will.

        Its Start may still be in transit on another link, so it is rejected from
        now on.
        """
        if self._outbox.expedite(stop.task_id, stop.attempt):
            return
        self._rejected_attempts.reject(
            stop.task_id, stop.attempt, self._lease_tracker.latest_beat
        )
        ended = TaskEnded(
            stop.task_id, stop.attempt, UNKNOWN_RUN, "", "", Resources(), 0
        )
        self._outbox.add(stop.partition, ended)

    async def _handle_ack(self, ack: TaskAck) -> None:
        record = self._table.runs.get(ack.task_id)
        if record is not None and record.attempt != ack.attempt:
            record = None
        if record is not None and not record.ended:
            return
        self._outbox.drop(ack.task_id, ack.attempt)
        self._rejected_attempts.reject(
            ack.task_id, ack.attempt, self._lease_tracker.latest_beat
        )
        if record is not None:
            del self._table.runs[ack.task_id]
            await self._terminator.forget(ack.task_id, ack.attempt)
            await self._terminator.delete_checkpoint(record)
