"""Termination of runs: a checkpoint, then a stop that the worker confirms."""

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
    """Stops runs, with or without a checkpoint.

    Each step may fail, or its response may be lost. A run counts as ended only
    when the worker has reported its end; until then it stays in phase
    ``stopping``, and the stop is retried.
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
        """Take and store a checkpoint, then stop; False if the run continues.

        Without a stored checkpoint the completed work would be lost, so the run
        is not stopped then.
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
        """Stop a run at a checkpoint because its lease is about to expire.

        Missing renewals mean a store outage or a lost owner. If the object store
        is down too, the checkpoint is kept in memory and stored later. The run
        continues if its lease was renewed meanwhile or the checkpoint failed.

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
        log.notice(
            "agent: lease of {} expires, stopping it at a checkpoint", held.task_id
        )
        self._metrics.count("task.lapsed")
        await self.stop(held)

    async def stop(self, held: HeldRun) -> None:
        """Ask the worker to stop a run; the response says how the run ended."""
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
        """Apply the end of a run that the worker has reported."""
        if held.ended:
            return
        if run.state not in (RunState.STOPPED, RunState.EXPIRED):
            held.checkpoint = None
        self.end(held, run.state, run.result)

    def end(self, held: HeldRun, state: str, result: str = "") -> None:
        """Release the reservation of a run that has ended, and notify its owner."""
        now = self._clock()
        held.resumes = state not in (RunState.FINISHED, RunState.FAILED)
        self._table.end(held, now)
        self._metrics.count(f"task.{state}")
        ended = build_ended(held, state, result, now)
        key = build_checkpoint_key(held)
        self._outbox.put(held.partition, ended, held.checkpoint, key)
        held.checkpoint = None

    async def forget(self, task_id: str, attempt: int) -> None:
        """Ask the worker to drop an attempt; a later poll retries a failure."""
        try:
            await self._runtime.forget(task_id, attempt)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: forget of {}/{} failed: {}", task_id, attempt, error)

    async def delete_checkpoint(self, held: HeldRun) -> None:
        """Delete the checkpoint of a run that finished after taking it.

        Its owner does not know of that checkpoint, so nothing else deletes it.
        """
        if not held.resumes and held.resume_key == build_checkpoint_key(held):
            try:
                await self._objects.delete(held.resume_key)
            except StoreError as error:
                log.debug("agent: delete of {} failed: {}", held.resume_key, error)

    async def _take_checkpoint(self, held: HeldRun) -> bytes | None:
        if held.phase is not Phase.RUNNING:
            return None
        try:
            data = await self._runtime.checkpoint(held.task_id)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.info("agent: checkpoint of {} failed: {}", held.task_id, error)
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
    """Return the message that reports the end of a run to its owner.

    It names the latest stored checkpoint; for a run that stored none, that is
    the checkpoint from which it was started.
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
