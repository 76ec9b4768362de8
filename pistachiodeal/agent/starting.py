"""Starts of runs, each under a lease, and refusals of starts."""

from __future__ import annotations

import logbook

from pistachiodeal.agent.held_runs import HeldRun, HeldRunTable, Phase, create_held_run
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook
from pistachiodeal.agent.outbox import Outbox
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
        table: HeldRunTable,
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
        """Start an attempt; a repeated Start has no further effect."""
        earlier = self._table.runs.get(start.task_id)
        if earlier is not None and earlier.attempt == start.attempt:
            self._outbox.hasten(start.task_id, start.attempt)
            return
        code = self._reserve(start, earlier)
        if code:
            self.refuse(start, code)
            return
        # A higher attempt shows that the owner has journaled the end of the earlier.
        if earlier is not None:
            self._outbox.drop(earlier.task_id, earlier.attempt)
        held = create_held_run(start, self._find_end(start), self._book.latest_beat)
        self._table.runs[start.task_id] = held
        code, checkpoint = await self._load_checkpoint(start.checkpoint)
        # The load can outlast the lease, above all if this process is suspended
        # meanwhile. The worker would refuse the start, but only this check releases
        # the reservation at once.
        if not code and self._clock() >= held.lease_until:
            code = "lease_expired"
        if code:
            self.abandon(held, code)
            return
        held.request = build_request(start, held, checkpoint)
        await self.ask_worker(held)

    async def ask_worker(self, held: HeldRun) -> None:
        """Ask the worker to start a run, or repeat it after a lost response.

        If the response is lost, the start may still be in transit. The phase is
        then ``uncertain`` until the worker lists the run, or does not list it after
        the end of the lease: from then on the worker refuses a late start.
        """
        if held.request is None or held.ended or held.stop_asked:
            return
        certain = held.phase is Phase.STARTING
        held.enter(Phase.UNCERTAIN, self._clock())
        try:
            await self._runtime.start(held.request, write_tag(held.tag))
        except WorkerFencedError:
            raise
        except WorkerRefusedError as error:
            log.info("agent: worker refused start of {}: {}", held.task_id, error)
            if certain:
                self.abandon(held, "worker_refused")
        except WorkerError as error:
            log.info(
                "agent: outcome of start of {} is unknown: {}", held.task_id, error
            )
        else:
            self.note_started(held)

    def note_started(self, held: HeldRun) -> None:
        """Mark an uncertain run as running."""
        if held.phase is Phase.UNCERTAIN:
            held.request = None
            held.started_at = self._clock()
            held.enter(Phase.RUNNING, held.started_at)

    def abandon(self, held: HeldRun, code: str) -> None:
        """Drop a run that certainly was not started and never will be."""
        self._table.end(held, self._clock())
        if self._table.runs.get(held.task_id) is held:
            del self._table.runs[held.task_id]
        self.refuse(held, code)

    def refuse(self, refused: Start | HeldRun, code: str) -> None:
        """Refuse an attempt, and reject any later Start of it."""
        log.info(
            "agent: start of {}/{} refused: {}", refused.task_id, refused.attempt, code
        )
        self._barred.bar(refused.task_id, refused.attempt, self._book.latest_beat)
        message = StartRefused(refused.task_id, refused.attempt, code, "")
        self._outbox.put(refused.partition, message)

    def _reserve(self, start: Start, earlier: HeldRun | None) -> str:
        """Return a refusal code, or reserve the resources and return an empty text."""
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
        """Return the end of the lease; for an unknown beat it has already passed."""
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
    """Build the start request for the worker."""
    return RunRequest(
        start.task_id,
        start.attempt,
        start.kind,
        start.size,
        start.payload,
        held.lease_until,
        checkpoint,
    )
