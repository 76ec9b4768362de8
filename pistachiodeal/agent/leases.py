"""Leases on the agent: beats, epochs, what starts under a lease, renewals."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import curio
import logbook

from pistachiodeal.agent.eviction import Clock, Outbox
from pistachiodeal.agent.ledger import (
    HeldRun,
    Phase,
    RunTable,
    create_held_run,
    write_tag,
)
from pistachiodeal.exceptions import (
    StoreError,
    WorkerError,
    WorkerFencedError,
    WorkerRefusedError,
)
from pistachiodeal.platform.protocols import ObjectStore, RunRequest, WorkerRuntime
from pistachiodeal.wire.messages import LeaseGrant, Renew, Start, StartRefused

BEATS_KEPT = 512
MAX_PARTITIONS = 4096
MAX_LEASE_S = 3600.0
BARRED_KEPT = 10_000
MAX_RUNS = 4096

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


class StartDesk:
    """Starts runs, each under a lease, or refuses them.

    A refusal says that the attempt runs nowhere and never will, so it is only
    given when that is certain.
    """

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        objects: ObjectStore,
        table: RunTable,
        book: LeaseBook,
        barred: BarredAttempts,
        outbox: Outbox,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._objects = objects
        self._table = table
        self._book = book
        self._barred = barred
        self._outbox = outbox
        self._clock = clock

    async def start(self, start: Start) -> None:
        """Start an attempt; a repeated Start changes nothing."""
        earlier = self._table.runs.get(start.task_id)
        if earlier is not None and earlier.attempt == start.attempt:
            self._outbox.hasten(start.task_id, start.attempt)
            return
        code = self._reserve(start, earlier)
        if code:
            self.refuse(start, code)
            return
        # An attempt above one that has ended shows that its end is journaled.
        if earlier is not None:
            self._outbox.drop(earlier.task_id, earlier.attempt)
        held = create_held_run(start, self._find_end(start), self._book.latest_beat)
        self._table.runs[start.task_id] = held
        code, checkpoint = await self._load_checkpoint(start.checkpoint)
        # The load can outlast the lease, above all when this process is frozen in
        # it; the worker would refuse, but only this frees the room at once.
        if not code and self._clock() >= held.lease_until:
            code = "lease_expired"
        if code:
            self.abandon(held, code)
            return
        held.request = build_request(start, held, checkpoint)
        await self.ask_worker(held)

    async def ask_worker(self, held: HeldRun) -> None:
        """Ask the worker to start a run, or ask again after a lost answer.

        When the answer is lost the start may still be on its way. The phase is
        then ``uncertain`` until the worker lists the run, or lists it not after
        the end of the lease, with which it refuses a start that comes late.
        """
        if held.request is None or held.ended or held.stop_asked:
            return
        certain = held.phase is Phase.STARTING
        held.enter(Phase.UNCERTAIN, self._clock())
        try:
            await self._runtime.start(held.request, write_tag(held))
        except WorkerFencedError:
            raise
        except WorkerRefusedError as error:
            log.info("agent: worker refused {}: {}", held.task_id, error)
            if certain:
                self.abandon(held, "worker_refused")
        except WorkerError as error:
            log.info("agent: start of {} is uncertain: {}", held.task_id, error)
        else:
            self.note_started(held)

    def note_started(self, held: HeldRun) -> None:
        """Note that the worker runs it."""
        if held.phase is Phase.UNCERTAIN:
            held.request = None
            held.started_at = self._clock()
            held.enter(Phase.RUNNING, held.started_at)

    def abandon(self, held: HeldRun, code: str) -> None:
        """Drop a run that certainly was not started, and never will be."""
        self._table.end(held, self._clock())
        if self._table.runs.get(held.task_id) is held:
            del self._table.runs[held.task_id]
        self.refuse(held, code)

    def refuse(self, refused: Start | HeldRun, code: str) -> None:
        """Tell the owner that an attempt never runs here, and hold to it."""
        log.info("agent: {}/{} refused, {}", refused.task_id, refused.attempt, code)
        self._barred.bar(refused.task_id, refused.attempt, self._book.latest_beat)
        message = StartRefused(refused.task_id, refused.attempt, code, "")
        self._outbox.put(refused.partition, message)

    def _reserve(self, start: Start, earlier: HeldRun | None) -> str:
        """Return why a start is refused, or reserve its room and return nothing."""
        code = self._check_owner(start) or self._check_attempt(start, earlier)
        if code:
            return code
        if len(self._table.runs) >= MAX_RUNS:
            return "too_many_runs"
        fits = self._table.ledger.reserve(f"task/{start.task_id}", start.size)
        return "" if fits else "no_room"

    def _check_owner(self, start: Start) -> str:
        if not self._book.note_epoch(start.partition, start.epoch):
            return "stale_epoch"
        if self._table.closed:
            return "draining"
        if not self._table.accepts(self._clock()):
            return "settling"
        return "" if self._find_end(start) > self._clock() else "lease_expired"

    def _check_attempt(self, start: Start, earlier: HeldRun | None) -> str:
        if self._barred.covers(start.task_id, start.attempt, start.beat):
            return "barred"
        if earlier is None:
            return ""
        if earlier.attempt > start.attempt:
            return "stale_attempt"
        return "" if earlier.ended else "busy"

    def _find_end(self, start: Start) -> float:
        """Return the end of the lease; it is past for a beat that is not known."""
        end = self._book.find_end(start.beat, start.lease_ms)
        return float("-inf") if end is None else end

    async def _load_checkpoint(self, key: str) -> tuple[str, bytes | None]:
        if not key:
            return "", None
        try:
            data = await self._objects.get(key)
        except StoreError:
            return "checkpoint_unavailable", None
        return ("", data) if data is not None else ("checkpoint_missing", None)


def build_request(start: Start, held: HeldRun, checkpoint: bytes | None) -> RunRequest:
    """Return what to ask the worker for."""
    return RunRequest(
        start.task_id,
        start.attempt,
        start.kind,
        start.size,
        start.payload,
        held.lease_until,
        checkpoint,
    )


class Renewer:
    """Passes renewed leases on to the worker, all that wait in one call.

    :param held: the runs on this worker by task.
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
