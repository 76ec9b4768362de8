"""Termination of runs: a checkpoint, then a stop that the worker confirms."""

from __future__ import annotations

import logbook

from pistachiodeal.agent.outbox import Outbox
from pistachiodeal.agent.run_records import Phase, RunRecord, RunRecordTable
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import StoreError, WorkerError, WorkerFencedError
from pistachiodeal.metrics import Metrics
from pistachiodeal.store.protocols import ObjectStore, Run, RunState, WorkerRuntime
from pistachiodeal.wire.task_messages import TaskEnded

MAX_UNSAVED_BYTES = 32 * 1024 * 1024

log = logbook.Logger("pistachiodeal.agent")


class RunTerminator:
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
        table: RunRecordTable,
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

    async def evict(self, record: RunRecord) -> bool:
        """Take and store a checkpoint, then stop; False if the run continues.

        Without a stored checkpoint the completed work would be lost, so the run
        is not stopped then.
        """
        if record.phase is not Phase.RUNNING:
            return False
        data = await self._take_checkpoint(record)
        if data is None or not await self._store_checkpoint(record, data):
            self._metrics.count("task.eviction_given_up")
            return False
        if record.phase is Phase.RUNNING:
            self._metrics.count("task.evicted")
            await self.stop(record)
        return True

    async def stop_before_expiry(self, record: RunRecord, margin: float) -> None:
        """Stop a run at a checkpoint because its lease is about to expire.

        Missing renewals mean a store outage or a lost owner. If the object store
        is down too, the checkpoint is kept in memory and stored later. The run
        continues if its lease was renewed meanwhile or the checkpoint failed.

        :param margin: time before the end of the lease, seconds.
        """
        data = await self._take_checkpoint(record)
        if data is None:
            return
        stored = await self._store_checkpoint(record, data)
        if record.lease_until - self._clock() > margin:
            return
        if not stored:
            if self._outbox.unsaved_bytes + len(data) > MAX_UNSAVED_BYTES:
                return
            record.checkpoint = data
        log.notice(
            "agent: lease of {} expires, stopping it at a checkpoint", record.task_id
        )
        self._metrics.count("task.lapsed")
        await self.stop(record)

    async def stop(self, record: RunRecord) -> None:
        """Ask the worker to stop a run; the response says how the run ended."""
        if record.ended:
            return
        record.stop_requested = True
        if record.phase is Phase.RUNNING:
            record.enter(Phase.STOPPING, self._clock())
        try:
            run = await self._runtime.stop(record.task_id)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: stop of {} failed: {}", record.task_id, error)
            return
        if run.attempt == record.attempt and run.state is not RunState.RUNNING:
            self.apply_end(record, run)

    def apply_end(self, record: RunRecord, run: Run) -> None:
        """Apply the end of a run that the worker has reported."""
        if record.ended:
            return
        if run.state not in (RunState.STOPPED, RunState.EXPIRED):
            record.checkpoint = None
        self.finalize(record, run.state, run.result)

    def finalize(self, record: RunRecord, state: str, result: str = "") -> None:
        """Release the reservation of a run that has ended, and notify its owner."""
        now = self._clock()
        record.resumable = state not in (RunState.FINISHED, RunState.FAILED)
        self._table.mark_ended(record, now)
        self._metrics.count(f"task.{state}")
        ended = build_ended(record, state, result, now)
        key = build_checkpoint_key(record)
        self._outbox.add(record.partition, ended, record.checkpoint, key)
        record.checkpoint = None

    async def forget(self, task_id: str, attempt: int) -> None:
        """Ask the worker to drop an attempt; a later poll retries a failure."""
        try:
            await self._runtime.forget(task_id, attempt)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: forget of {}/{} failed: {}", task_id, attempt, error)

    async def delete_checkpoint(self, record: RunRecord) -> None:
        """Delete the checkpoint of a run that finished after taking it.

        Its owner does not know of that checkpoint, so nothing else deletes it.
        """
        if not record.resumable and record.resume_key == build_checkpoint_key(record):
            try:
                await self._objects.delete(record.resume_key)
            except StoreError as error:
                log.debug("agent: delete of {} failed: {}", record.resume_key, error)

    async def _take_checkpoint(self, record: RunRecord) -> bytes | None:
        if record.phase is not Phase.RUNNING:
            return None
        try:
            data = await self._runtime.checkpoint(record.task_id)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.info("agent: checkpoint of {} failed: {}", record.task_id, error)
            return None
        return None if record.phase is not Phase.RUNNING else data

    async def _store_checkpoint(self, record: RunRecord, data: bytes) -> bool:
        key = build_checkpoint_key(record)
        try:
            await self._objects.put(key, data)
        except StoreError as error:
            log.info("agent: checkpoint of {} not stored: {}", record.task_id, error)
            return False
        record.resume_key = key
        return True


def build_checkpoint_key(record: RunRecord) -> str:
    """Return the object key of an attempt's checkpoint."""
    return f"checkpoint/{record.task_id}/{record.attempt}"


def build_ended(record: RunRecord, state: str, result: str, now: float) -> TaskEnded:
    """Return the message that reports the end of a run to its owner.

    It names the latest stored checkpoint; for a run that stored none, that is
    the checkpoint from which it was started.
    """
    run_s = max(0.0, now - record.started_at) if record.started_at else 0.0
    return TaskEnded(
        record.task_id,
        record.attempt,
        str(state),
        result,
        record.resume_key if record.resumable else "",
        record.used,
        int(run_s * 1000),
    )
