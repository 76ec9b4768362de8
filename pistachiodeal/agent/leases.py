"""Leases on the agent: heartbeats, epochs, rejected attempts and renewals."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import curio
import logbook

from pistachiodeal.agent.run_records import Phase, RunRecord
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.store.protocols import WorkerRuntime
from pistachiodeal.wire.task_messages import LeaseGrant, Renew

MAX_BEATS = 512
MAX_PARTITIONS = 4096
MAX_LEASE_S = 3600.0
MAX_REJECTED_ATTEMPTS = 10_000

log = logbook.Logger("pistachiodeal.agent")


class LeaseTracker:
    """Computes the ends of leases, and tracks the highest epoch of each partition.

    A lease starts when the agent sent the beat that the grant answers. A grant
    that was delayed in transit, or sent by an owner whose process was suspended,
    therefore yields an end that has already passed.
    """

    def __init__(self, max_beats: int = MAX_BEATS) -> None:
        self._max_beats = max_beats
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._latest_beat = 0
        self._epochs: dict[int, int] = {}

    @property
    def latest_beat(self) -> int:
        """Return the latest recorded beat, 0 before the first."""
        return self._latest_beat

    def record_beat(self, beat: int, sent_at: float) -> None:
        """Record when a beat is sent; called before sending it.

        A beat that is not above the latest is ignored, so that the first time of
        sending counts.

        :param sent_at: monotonic clock, seconds.
        """
        if beat <= self._latest_beat:
            return
        self._latest_beat = beat
        self._sent_at[beat] = sent_at
        if len(self._sent_at) > self._max_beats:
            self._sent_at.popitem(last=False)

    def compute_end(self, beat: int, lease_ms: int) -> float | None:
        """Return the end of a lease granted for a beat, None if the beat is unknown.

        :param lease_ms: length of the lease, milliseconds.
        :returns: monotonic clock, seconds.
        """
        sent_at = self._sent_at.get(beat)
        if sent_at is None:
            return None
        return sent_at + min(max(lease_ms, 0) / 1000, MAX_LEASE_S)

    def epoch(self, partition: int) -> int:
        """Return the highest known epoch of a partition, 0 if none is known."""
        return self._epochs.get(partition, 0)

    def record_epoch(self, partition: int, epoch: int) -> bool:
        """Record an epoch; return False if a higher one is known already."""
        if not 0 <= partition < MAX_PARTITIONS:
            return False
        if epoch < self.epoch(partition):
            return False
        self._epochs[partition] = epoch
        return True


class RejectedAttempts:
    """Attempts that, as their owner was informed, will never run on this worker.

    A Start of such an attempt can still arrive later, on another link. The number
    of attempts is bounded: after one is dropped, every Start whose beat is not
    above the beat recorded with it is refused.
    """

    def __init__(self, limit: int = MAX_REJECTED_ATTEMPTS) -> None:
        self._limit = limit
        self._attempts: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._floor = 0

    def reject(self, task_id: str, attempt: int, beat: int) -> None:
        """Reject this and all lower attempts of a task from now on.

        :param beat: the latest beat.
        """
        known, _ = self._attempts.pop(task_id, (0, 0))
        self._attempts[task_id] = (max(known, attempt), beat)
        if len(self._attempts) > self._limit:
            _, (_, dropped_beat) = self._attempts.popitem(last=False)
            self._floor = max(self._floor, dropped_beat)

    def rejects(self, task_id: str, attempt: int, beat: int) -> bool:
        """Return whether a Start of this attempt with this beat must be refused."""
        rejected, _ = self._attempts.get(task_id, (0, 0))
        return attempt <= rejected or beat <= self._floor


class LeaseRenewer:
    """Renews leases at the worker, all pending ones in a single call.

    :param records: the runs on this worker by task.
    :param retry_s: pause after a failed renewal, seconds.
    """

    def __init__(
        self,
        runtime: WorkerRuntime,
        lease_tracker: LeaseTracker,
        records: Mapping[str, RunRecord],
        *,
        retry_s: float,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._lease_tracker = lease_tracker
        self._records = records
        self._retry_s = retry_s
        self._clock = clock
        self._pending: dict[str, float] = {}
        self._renewal_wanted = curio.Event()

    async def apply_grants(self, renew: Renew) -> None:
        """Compute new lease ends from an owner's grants and queue the renewals."""
        grants = {grant.partition: grant for grant in renew.grants}
        for record in self._records.values():
            grant = grants.get(record.partition)
            if grant is not None and self._lease_tracker.record_epoch(
                grant.partition, grant.epoch
            ):
                self._queue_renewal(record, grant, renew.beat)
        if self._pending:
            await self._renewal_wanted.set()

    async def run(self) -> None:
        """Renew leases until cancelled.

        :raises WorkerFencedError: another agent has attached to this worker.
        """
        while True:
            await self._renewal_wanted.wait()
            self._renewal_wanted.clear()
            await self.renew_pending()

    async def renew_pending(self) -> None:
        """Send the pending renewals once; failed ones stay pending."""
        now = self._clock()
        leases = {task: end for task, end in self._pending.items() if end > now}
        self._pending = {}
        if not leases:
            return
        try:
            await self._runtime.renew(leases)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: renewal failed: {}", error)
            self._pending = {**leases, **self._pending}
            await curio.sleep(self._retry_s)
            await self._renewal_wanted.set()
            return
        for task_id, end in leases.items():
            record = self._records.get(task_id)
            if record is not None and record.phase is Phase.RUNNING:
                record.lease_until = max(record.lease_until, end)

    def _queue_renewal(self, record: RunRecord, grant: LeaseGrant, beat: int) -> None:
        end = self._lease_tracker.compute_end(beat, grant.lease_ms)
        if end is None or end <= self._clock() or not record.accepts(grant, beat):
            return
        record.epoch = max(record.epoch, grant.epoch)
        record.lease_s = grant.lease_ms / 1000
        self._pending[record.task_id] = max(end, self._pending.get(record.task_id, 0.0))
