"""Starts of runs, each under a lease, and refusals of starts."""

from __future__ import annotations

import logbook

from pistachiodeal.agent.leases import LeaseTracker, RejectedAttempts
from pistachiodeal.agent.outbox import Outbox
from pistachiodeal.agent.run_records import (
    Phase,
    RunRecord,
    RunRecordTable,
    create_run_record,
)
from pistachiodeal.agent.run_tags import write_tag
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import (
    StoreError,
    WorkerError,
    WorkerFencedError,
    WorkerRefusedError,
)
from pistachiodeal.store.protocols import ObjectStore, RunRequest, WorkerRuntime
from pistachiodeal.wire.task_messages import Start, StartRefused

MAX_RUNS = 4096

log = logbook.Logger("pistachiodeal.agent")


class RunStarter:
    """Starts runs, each under a lease, or refuses them.

    A refusal states that the attempt is not running and never will, so it is sent
    only when that is certain.
    """

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        objects: ObjectStore,
        table: RunRecordTable,
        lease_tracker: LeaseTracker,
        rejected_attempts: RejectedAttempts,
        outbox: Outbox,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._objects = objects
        self._table = table
        self._lease_tracker = lease_tracker
        self._rejected_attempts = rejected_attempts
        self._outbox = outbox
        self._clock = clock

    async def start(self, start: Start) -> None:
        """Start an attempt; a repeated Start has no further effect."""
        earlier = self._table.runs.get(start.task_id)
        if earlier is not None and earlier.attempt == start.attempt:
            self._outbox.expedite(start.task_id, start.attempt)
            return
        code = self._reserve(start, earlier)
        if code:
            self.refuse(start, code)
            return
        # A higher attempt shows that the owner has journaled the end of the earlier.
        if earlier is not None:
            self._outbox.drop(earlier.task_id, earlier.attempt)
        record = create_run_record(
            start, self._compute_end(start), self._lease_tracker.latest_beat
        )
        self._table.runs[start.task_id] = record
        code, checkpoint = await self._load_checkpoint(start.checkpoint)
        # The load can outlast the lease, above all if this process is suspended
        # meanwhile. The worker would refuse the start, but only this check releases
        # the reservation at once.
        if not code and self._clock() >= record.lease_until:
            code = "lease_expired"
        if code:
            self.abandon(record, code)
            return
        record.request = build_request(start, record, checkpoint)
        await self.request_start(record)

    async def request_start(self, record: RunRecord) -> None:
        """Ask the worker to start a run, or repeat it after a lost response.

        If the response is lost, the start may still be in transit. The phase is
        then ``uncertain`` until the worker lists the run, or does not list it after
        the end of the lease: from then on the worker refuses a late start.
        """
        if record.request is None or record.ended or record.stop_requested:
            return
        certain = record.phase is Phase.STARTING
        record.enter(Phase.UNCERTAIN, self._clock())
        try:
            await self._runtime.start(record.request, write_tag(record.tag))
        except WorkerFencedError:
            raise
        except WorkerRefusedError as error:
            log.info("agent: worker refused start of {}: {}", record.task_id, error)
            if certain:
                self.abandon(record, "worker_refused")
        except WorkerError as error:
            log.info(
                "agent: outcome of start of {} is unknown: {}", record.task_id, error
            )
        else:
            self.mark_running(record)

    def mark_running(self, record: RunRecord) -> None:
        """Mark an uncertain run as running."""
        if record.phase is Phase.UNCERTAIN:
            record.request = None
            record.started_at = self._clock()
            record.enter(Phase.RUNNING, record.started_at)

    def abandon(self, record: RunRecord, code: str) -> None:
        """Drop a run that certainly was not started and never will be."""
        self._table.mark_ended(record, self._clock())
        if self._table.runs.get(record.task_id) is record:
            del self._table.runs[record.task_id]
        self.refuse(record, code)

    def refuse(self, refused: Start | RunRecord, code: str) -> None:
        """Refuse an attempt, and reject any later Start of it."""
        log.info(
            "agent: start of {}/{} refused: {}", refused.task_id, refused.attempt, code
        )
        self._rejected_attempts.reject(
            refused.task_id, refused.attempt, self._lease_tracker.latest_beat
        )
        message = StartRefused(refused.task_id, refused.attempt, code, "")
        self._outbox.add(refused.partition, message)

    def _reserve(self, start: Start, earlier: RunRecord | None) -> str:
        """Return a refusal code, or reserve the resources and return an empty text."""
        code = self._check_owner(start) or self._check_attempt(start, earlier)
        if code:
            return code
        if len(self._table.runs) >= MAX_RUNS:
            return "too_many_runs"
        fits = self._table.ledger.reserve(f"task/{start.task_id}", start.size)
        return "" if fits else "no_room"

    def _check_owner(self, start: Start) -> str:
        if not self._lease_tracker.record_epoch(start.partition, start.epoch):
            return "stale_epoch"
        if self._table.closed:
            return "draining"
        if not self._table.accepts(self._clock()):
            return "settling"
        return "" if self._compute_end(start) > self._clock() else "lease_expired"

    def _check_attempt(self, start: Start, earlier: RunRecord | None) -> str:
        if self._rejected_attempts.rejects(start.task_id, start.attempt, start.beat):
            return "barred"
        if earlier is None:
            return ""
        if earlier.attempt > start.attempt:
            return "stale_attempt"
        return "" if earlier.ended else "busy"

    def _compute_end(self, start: Start) -> float:
        """Return the end of the lease; for an unknown beat it has already passed."""
        end = self._lease_tracker.compute_end(start.beat, start.lease_ms)
        return float("-inf") if end is None else end

    async def _load_checkpoint(self, key: str) -> tuple[str, bytes | None]:
        if not key:
            return "", None
        try:
            data = await self._objects.get(key)
        except StoreError:
            return "checkpoint_unavailable", None
        return ("", data) if data is not None else ("checkpoint_missing", None)


def build_request(
    start: Start, record: RunRecord, checkpoint: bytes | None
) -> RunRequest:
    """Build the start request for the worker."""
    return RunRequest(
        start.task_id,
        start.attempt,
        start.kind,
        start.size,
        start.payload,
        record.lease_until,
        checkpoint,
    )
