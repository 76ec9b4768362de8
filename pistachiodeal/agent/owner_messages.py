"""Handling of messages from partition owners, in order for each task."""

from __future__ import annotations

from functools import partial

from pistachiodeal.agent.eviction import RunEnder
from pistachiodeal.agent.held_runs import HeldRunTable
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook, Renewer
from pistachiodeal.agent.outbox import Outbox
from pistachiodeal.agent.serial import Action, SerialWork
from pistachiodeal.agent.starting import RunStarter
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


class OwnerMessages:
    """Handles the starts, stops, renewals and acknowledgements of owners."""

    def __init__(
        self,
        *,
        table: HeldRunTable,
        book: LeaseBook,
        barred: BarredAttempts,
        outbox: Outbox,
        work: SerialWork,
        starter: RunStarter,
        ender: RunEnder,
        renewer: Renewer,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._book = book
        self._barred = barred
        self._outbox = outbox
        self._work = work
        self._starter = starter
        self._ender = ender
        self._renewer = renewer
        self._metrics = metrics

    async def receive(self, message: TaskMessage) -> None:
        """Accept a message from an owner; it is executed in the background."""
        if isinstance(message, Renew):
            await self._renewer.take(message)
            return
        action: Action
        if isinstance(message, Start):
            action = partial(self._starter.start, message)
        elif isinstance(message, Stop):
            action = partial(self._stop, message)
        else:
            action = partial(self._forget_acked, message)
        if await self._work.put(message.task_id, action):
            return
        self._metrics.count("task.overloaded")
        if isinstance(message, Start) and message.task_id not in self._table.runs:
            self._starter.refuse(message, "overloaded")

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
            await self._ender.evict(held)
        else:
            await self._ender.stop(held)

    def _answer_unknown(self, stop: Stop) -> None:
        """Report that an attempt never ran on this worker, and never will.

        Its Start may still be in transit on another link, so it is rejected from
        now on.
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
