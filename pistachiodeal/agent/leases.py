"""Leases on the agent: beats, epochs, barred attempts and renewals."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import curio
import logbook

from pistachiodeal.agent.held_runs import HeldRun, Phase
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.store.protocols import WorkerRuntime
from pistachiodeal.wire.task_messages import LeaseGrant, Renew

BEATS_KEPT = 512
MAX_PARTITIONS = 4096
MAX_LEASE_S = 3600.0
BARRED_KEPT = 10_000

log = logbook.Logger("pistachiodeal.agent")


class LeaseBook:
    """Says until when a lease lasts, and which owner of a partition is the latest.

    A lease counts from the moment the agent sent the beat that it answers, so
    that an answer held up on the way, or sent by an owner that was frozen
    between two lines, brings an end that has passed already.
    """

    def __init__(self, beats_kept: int = BEATS_KEPT) -> None:
        self._beats_kept = beats_kept
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._latest_beat = 0
        self._epochs: dict[int, int] = {}

    @property
    def latest_beat(self) -> int:
        """Return the latest beat that was noted, 0 before the first."""
        return self._latest_beat

    def note_beat(self, beat: int, sent_at: float) -> None:
        """Remember when a beat was sent; called before it is sent.

        A beat that isn't above the latest is ignored: the first time counts.

        :param sent_at: monotonic clock, seconds.
        """
        if beat <= self._latest_beat:
            return
        self._latest_beat = beat
        self._sent_at[beat] = sent_at
        if len(self._sent_at) > self._beats_kept:
            self._sent_at.popitem(last=False)

    def find_end(self, beat: int, lease_ms: int) -> float | None:
        """Return the end of a lease granted with a beat; None for an unknown beat.

        :param lease_ms: length, milliseconds.
        :returns: monotonic clock, seconds.
        """
        sent_at = self._sent_at.get(beat)
        if sent_at is None:
            return None
        return sent_at + min(max(lease_ms, 0) / 1000, MAX_LEASE_S)

    def epoch(self, partition: int) -> int:
        """Return the highest epoch seen of a partition, 0 for none."""
        return self._epochs.get(partition, 0)

    def note_epoch(self, partition: int, epoch: int) -> bool:
        """Remember an epoch; False when a higher one was seen before."""
        if not 0 <= partition < MAX_PARTITIONS:
            return False
        if epoch < self.epoch(partition):
            return False
        self._epochs[partition] = epoch
        return True


class BarredAttempts:
    """Attempts of which an owner was told that they never will run here.

    A Start can arrive after that, by another link. Memory is bounded: when an
    entry is dropped, every Start with a beat of its time or before is refused.
    """

    def __init__(self, kept: int = BARRED_KEPT) -> None:
        self._kept = kept
        self._attempts: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._floor = 0

    def bar(self, task_id: str, attempt: int, beat: int) -> None:
        """Refuse this and lower attempts of a task from now on.

        :param beat: the latest beat.
        """
        known, _ = self._attempts.pop(task_id, (0, 0))
        self._attempts[task_id] = (max(known, attempt), beat)
        if len(self._attempts) > self._kept:
            _, (_, dropped_beat) = self._attempts.popitem(last=False)
            self._floor = max(self._floor, dropped_beat)

    def covers(self, task_id: str, attempt: int, beat: int) -> bool:
        """Tell whether a Start of this attempt with this beat is to be refused."""
        barred, _ = self._attempts.get(task_id, (0, 0))
        return attempt <= barred or beat <= self._floor


class Renewer:
    """Passes renewed leases on to the worker, all that wait in one call.

    :param held: the runs on this worker by task.
    :param retry_s: pause after a renewal that failed, seconds.
    """

    def __init__(
        self,
        runtime: WorkerRuntime,
        book: LeaseBook,
        held: Mapping[str, HeldRun],
        *,
        retry_s: float,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._book = book
        self._held = held
        self._retry_s = retry_s
        self._clock = clock
        self._waiting: dict[str, float] = {}
        self._wanted = curio.Event()

    async def take(self, renew: Renew) -> None:
        """Work out the new ends of the leases that an owner has granted."""
        grants = {grant.partition: grant for grant in renew.grants}
        for held in self._held.values():
            grant = grants.get(held.partition)
            if grant is not None and self._book.note_epoch(
                grant.partition, grant.epoch
            ):
                self._note(held, grant, renew.beat)
        if self._waiting:
            await self._wanted.set()

    async def run(self) -> None:
        """Renew for ever.

        :raises WorkerFencedError: another agent has this worker.
        """
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self.pass_on()

    async def pass_on(self) -> None:
        """Renew what waits, once; what fails waits on."""
        now = self._clock()
        leases = {task: end for task, end in self._waiting.items() if end > now}
        self._waiting = {}
        if not leases:
            return
        try:
            await self._runtime.renew(leases)
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: renewal failed: {}", error)
            self._waiting = {**leases, **self._waiting}
            await curio.sleep(self._retry_s)
            await self._wanted.set()
            return
        for task_id, end in leases.items():
            held = self._held.get(task_id)
            if held is not None and held.phase is Phase.RUNNING:
                held.lease_until = max(held.lease_until, end)

    def _note(self, held: HeldRun, grant: LeaseGrant, beat: int) -> None:
        end = self._book.find_end(beat, grant.lease_ms)
        if end is None or end <= self._clock() or not held.accepts(grant, beat):
            return
        held.epoch = max(held.epoch, grant.epoch)
        held.lease_s = grant.lease_ms / 1000
        self._waiting[held.task_id] = max(end, self._waiting.get(held.task_id, 0.0))
