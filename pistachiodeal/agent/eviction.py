"""How a run ends: checkpoint, confirmed stop, and word to its owner until acked."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import logbook

from pistachiodeal.agent.ledger import HeldRun, Phase, RunTable
from pistachiodeal.exceptions import (
    LinkClosedError,
    StoreError,
    WorkerError,
    WorkerFencedError,
)
from pistachiodeal.metrics import Metrics
from pistachiodeal.platform.protocols import ObjectStore, Run, RunState, WorkerRuntime
from pistachiodeal.wire.messages import StartRefused, TaskEnded

UNKNOWN_RUN = "unknown_run"
RESEND_S = 0.5
MAX_RESEND_S = 8.0
SEND_BATCH = 64
NOTICES_KEPT = 10_000
UNSAVED_BYTES = 32 * 1024 * 1024
SAVE_WITHIN_S = 600.0

log = logbook.Logger("pistachiodeal.agent")

Clock = Callable[[], float]
Notification = TaskEnded | StartRefused


class OwnerRoute(Protocol):
    """A way to the owner of a partition."""

    async def send_to_owner(self, partition: int, message: Notification) -> bool:
        """Send a message; False when there is no link to the owner now."""


@dataclass(slots=True)
class Notice:
    """A message that an owner has to get.

    :param pause: time until it is sent again, seconds.
    :param unsaved: checkpoint that the object store hasn't taken yet.
    """

    partition: int
    message: Notification
    next_at: float
    save_until: float
    pause: float = RESEND_S
    unsaved: bytes | None = None
    unsaved_key: str = ""

    @property
    def droppable(self) -> bool:
        """Tell whether an owner that misses it asks again and gets the same."""
        if isinstance(self.message, StartRefused):
            return True
        return self.message.state == UNKNOWN_RUN


class Outbox:
    """Sends each end of a run to its owner until it is acknowledged.

    A refusal has no acknowledgement; it is sent until a link has taken it.
    """

    def __init__(
        self, route: OwnerRoute, objects: ObjectStore, clock: Clock, kept: int
    ) -> None:
        self._route = route
        self._objects = objects
        self._clock = clock
        self._kept = kept
        self._notices: dict[tuple[str, int], Notice] = {}

    @property
    def empty(self) -> bool:
        """Tell whether every owner knows all it has to."""
        return not self._notices

    @property
    def unsaved_bytes(self) -> int:
        """Return the size of the checkpoints that wait for the object store."""
        return sum(len(notice.unsaved or b"") for notice in self._notices.values())

    def partitions(self) -> set[int]:
        """Return the partitions whose owners have something to be told."""
        return {notice.partition for notice in self._notices.values()}

    def put(
        self,
        partition: int,
        message: Notification,
        unsaved: bytes | None = None,
        unsaved_key: str = "",
    ) -> None:
        """Add a message, in place of an earlier one of the same attempt."""
        now = self._clock()
        key = (message.task_id, message.attempt)
        if key not in self._notices and len(self._notices) >= self._kept:
            self._drop_one()
        until = now + SAVE_WITHIN_S
        self._notices[key] = Notice(
            partition, message, now, until, unsaved=unsaved, unsaved_key=unsaved_key
        )

    def hasten(self, task_id: str, attempt: int) -> bool:
        """Send the end of an attempt again now; False when there is none."""
        notice = self._notices.get((task_id, attempt))
        if notice is None:
            return False
        notice.next_at = self._clock()
        return True

    def drop(self, task_id: str, attempt: int) -> None:
        """Send this no more: it was acknowledged, or superseded."""
        self._notices.pop((task_id, attempt), None)

    async def send_due(self) -> None:
        """Send what is due, a bounded number at a time."""
        now = self._clock()
        due = [pair for pair in self._notices.items() if pair[1].next_at <= now]
        for key, notice in due[:SEND_BATCH]:
            if await self._save(notice):
                await self._send(key, notice)

    async def _save(self, notice: Notice) -> bool:
        if notice.unsaved is None:
            return True
        assert isinstance(notice.message, TaskEnded)
        try:
            await self._objects.put(notice.unsaved_key, notice.unsaved)
            notice.message = replace(notice.message, checkpoint=notice.unsaved_key)
        except StoreError:
            if self._clock() < notice.save_until:
                self._postpone(notice)
                return False
            log.warning("agent: checkpoint of {} lost", notice.message.task_id)
        notice.unsaved = None
        return True

    async def _send(self, key: tuple[str, int], notice: Notice) -> None:
        try:
            sent = await self._route.send_to_owner(notice.partition, notice.message)
        except LinkClosedError:
            sent = False
        if not sent:
            notice.next_at = self._clock() + RESEND_S
        elif isinstance(notice.message, StartRefused):
            if self._notices.get(key) is notice:
                del self._notices[key]
        else:
            self._postpone(notice)

    def _postpone(self, notice: Notice) -> None:
        notice.next_at = self._clock() + notice.pause
        notice.pause = min(2 * notice.pause, MAX_RESEND_S)

    def _drop_one(self) -> None:
        for key, notice in self._notices.items():
            if notice.droppable:
                del self._notices[key]
                return


class RunEnder:
    """Stops runs, with a checkpoint or without, step by step.

    Each step may fail or its answer may be lost. A run counts as ended only when
    the worker said so; until then it stays in phase ``stopping``, and the keeper
    asks again.

    """

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        objects: ObjectStore,
        table: RunTable,
        outbox: Outbox,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._objects = objects
        self._table = table
        self._outbox = outbox
        self._metrics = metrics
        self._clock = clock

    async def evict(self, held: HeldRun) -> bool:
        """Make a checkpoint, store it, then stop; False when it goes on running.

        Without a stored checkpoint the work done would be lost, so the run is
        left alone.
        """
        data = await self._take_checkpoint(held)
        if data is None or not await self._store_checkpoint(held, data):
            self._metrics.count("task.eviction_given_up")
            return False
        if held.phase is Phase.RUNNING:
            self._metrics.count("task.evicted")
            await self.stop(held)
        return True

    async def stop_lapsing(self, held: HeldRun, margin: float) -> None:
        """Stop a run at a checkpoint because its lease is about to end.

        No renewals mean a store outage or a lost owner. The object store may be
        out too: then the checkpoint waits in memory and is stored later. A
        renewal that came meanwhile, or a failed checkpoint, leaves it running.

        :param margin: time before the end of the lease, seconds.
        """
        data = await self._take_checkpoint(held)
        if data is None:
            return
        stored = await self._store_checkpoint(held, data)
        if held.lease_until - self._clock() > margin:
            return
        if not stored:
            if self._outbox.unsaved_bytes + len(data) > UNSAVED_BYTES:
                return
            held.checkpoint = data
        log.notice("agent: lease of {} ends, stopped at a checkpoint", held.task_id)
        self._metrics.count("task.lapsed")
        await self.stop(held)

    async def stop(self, held: HeldRun) -> None:
        """Ask the worker to stop it; the answer says how it truly ended."""
        if held.ended:
            return
        held.stop_asked = True
        if held.phase is Phase.RUNNING:
            held.enter(Phase.STOPPING, self._clock())
        try:
            run = await self._runtime.stop(held.task_id)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: stop of {} failed: {}", held.task_id, error)
            return
        if run.attempt == held.attempt and run.state is not RunState.RUNNING:
            self.finish(held, run)

    def finish(self, held: HeldRun, run: Run) -> None:
        """Note the end of a run, which the worker has told."""
        if held.ended:
            return
        if run.state not in (RunState.STOPPED, RunState.EXPIRED):
            held.checkpoint = None
        self.end(held, run.state, run.result)

    def end(self, held: HeldRun, state: str, result: str = "") -> None:
        """Give a run's room back and tell its owner; it is over for certain."""
        now = self._clock()
        held.resumes = state not in (RunState.FINISHED, RunState.FAILED)
        self._table.end(held, now)
        self._metrics.count(f"task.{state}")
        ended = build_ended(held, state, result, now)
        key = build_checkpoint_key(held)
        self._outbox.put(held.partition, ended, held.checkpoint, key)
        held.checkpoint = None

    async def forget(self, task_id: str, attempt: int) -> None:
        """Let the worker drop an attempt; a later look at its runs tries again."""
        try:
            await self._runtime.forget(task_id, attempt)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: {}/{} not forgotten: {}", task_id, attempt, error)

    async def delete_checkpoint(self, held: HeldRun) -> None:
        """Remove the checkpoint of a run that ended by itself after it was made.

        Its owner was not told of it, and so would leave it behind for ever.
        """
        if not held.resumes and held.resume_key == build_checkpoint_key(held):
            try:
                await self._objects.delete(held.resume_key)
            except StoreError as error:
                log.debug("agent: {} left behind: {}", held.resume_key, error)

    async def _take_checkpoint(self, held: HeldRun) -> bytes | None:
        if held.phase is not Phase.RUNNING:
            return None
        try:
            data = await self._runtime.checkpoint(held.task_id)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.info("agent: no checkpoint of {}: {}", held.task_id, error)
            return None
        return None if held.phase is not Phase.RUNNING else data

    async def _store_checkpoint(self, held: HeldRun, data: bytes) -> bool:
        key = build_checkpoint_key(held)
        try:
            await self._objects.put(key, data)
        except StoreError as error:
            log.info("agent: checkpoint of {} not stored: {}", held.task_id, error)
            return False
        held.resume_key = key
        return True


def build_checkpoint_key(held: HeldRun) -> str:
    """Return the object key of an attempt's checkpoint."""
    return f"checkpoint/{held.task_id}/{held.attempt}"


def build_ended(held: HeldRun, state: str, result: str, now: float) -> TaskEnded:
    """Return the message that tells an owner how a run ended.

    Its checkpoint is the latest stored one, which for a run that made none is
    the one it was started from.
    """
    run_s = max(0.0, now - held.started_at) if held.started_at else 0.0
    return TaskEnded(
        held.task_id,
        held.attempt,
        str(state),
        result,
        held.resume_key if held.resumes else "",
        held.used,
        int(run_s * 1000),
    )


def create_outbox(
    route: OwnerRoute, objects: ObjectStore, clock: Clock, kept: int = NOTICES_KEPT
) -> Outbox:
    """Make an empty outbox."""
    return Outbox(route, objects, clock, kept)
