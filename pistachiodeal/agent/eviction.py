"""How a run ends: checkpoint, then a stop that the worker confirms."""

from __future__ import annotations

import logbook

from pistachiodeal.agent.held_runs import HeldRun, HeldRunTable, Phase
from pistachiodeal.agent.outbox import Outbox
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import StoreError, WorkerError, WorkerFencedError
from pistachiodeal.metrics import Metrics
from pistachiodeal.store.protocols import ObjectStore, Run, RunState, WorkerRuntime
from pistachiodeal.wire.task_messages import TaskEnded

UNSAVED_BYTES = 32 * 1024 * 1024

log = logbook.Logger("pistachiodeal.agent")


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
        table: HeldRunTable,
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
        if held.phase is not Phase.RUNNING:
            return False
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
        """Note the end of a run, as the worker has reported it."""
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
