"""Polls the worker: which runs it lists, and what they use."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import curio
import logbook

from pistachiodeal.agent.eviction import RunEnder
from pistachiodeal.agent.held_runs import HeldRun, HeldRunTable, Phase, adopt_run
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook
from pistachiodeal.agent.serial import SerialWork
from pistachiodeal.agent.starting import RunStarter
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import RuntimeSettings
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.store.protocols import Run, RunState, UsageSample, WorkerRuntime
from pistachiodeal.wire.task_messages import UNKNOWN_RUN

START_MARGIN_S = 1.0
LAPSE_MARGIN_S = 5.0
LAPSE_SHARE = 0.25

log = logbook.Logger("pistachiodeal.agent")


class RunWatcher:
    """Compares the runs that are held here with what the worker shows."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        table: HeldRunTable,
        book: LeaseBook,
        barred: BarredAttempts,
        starter: RunStarter,
        ender: RunEnder,
        work: SerialWork,
        settings: RuntimeSettings,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._table = table
        self._book = book
        self._barred = barred
        self._starter = starter
        self._ender = ender
        self._work = work
        self._settings = settings
        self._clock = clock
        self._unheld: set[tuple[str, int]] = set()

    async def poll(self) -> None:
        """Look at the runs for ever.

        :raises WorkerFencedError: another agent has this worker.
        """
        while True:
            await self.check_runs()
            await curio.sleep(self._settings.poll_s)

    async def poll_usage(self) -> None:
        """Read what the runs use for ever."""
        while True:
            await curio.sleep(self._settings.usage_s)
            try:
                samples = await self._runtime.usage()
            except WorkerFencedError:
                raise
            except WorkerError as error:
                log.debug("agent: reading of usage failed: {}", error)
            else:
                self.note_usage(samples)

    def note_usage(self, samples: Iterable[UsageSample]) -> None:
        """Take over late measurements; one from before a run is another's.

        A run that uses more than was reserved gets the rest counted, too, or
        declared sizes that are far too small would let the worker be overfilled.
        """
        for sample in samples:
            held = self._table.runs.get(sample.subject)
            if held is None or held.ended or sample.at < held.started_at:
                continue
            held.recent = sample.used
            held.used = held.used.elementwise_max(sample.used)
            if self._table.ledger.holds(held.name):
                self._table.ledger.adopt(held.name, held.used)

    def adopt(self, run: Run, now: float) -> HeldRun:
        """Hold a run that was found on the worker, and count what it takes."""
        held = adopt_run(run, now)
        self._book.note_epoch(held.partition, held.epoch)
        self._table.runs[run.task_id] = held
        if run.state is RunState.RUNNING:
            self._table.ledger.adopt(held.name, held.size)
        else:
            self._ender.finish(held, run)
        return held

    def _lose(self, held: HeldRun) -> None:
        """Note that the worker has no trace of a run that it had."""
        log.warning("agent: worker lost {}/{}", held.task_id, held.attempt)
        del self._table.runs[held.task_id]
        self._barred.bar(held.task_id, held.attempt, self._book.latest_beat)
        self._ender.end(held, UNKNOWN_RUN)

    async def check_runs(self) -> None:
        """Compare what is held here with what the worker lists, once."""
        asked_at = self._clock()
        try:
            listed = {
                (run.task_id, run.attempt): run for run in await self._runtime.list()
            }
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: list of runs failed: {}", error)
            return
        for held in list(self._table.runs.values()):
            run = listed.pop((held.task_id, held.attempt), None)
            if held.ended or held.phase is Phase.STARTING:
                continue
            if run is None:
                await self._check_missing(held, asked_at)
            elif run.state is not RunState.RUNNING:
                self._ender.finish(held, run)
            else:
                await self._check_running(held)
        await self._check_unheld(listed)

    async def _check_missing(self, held: HeldRun, asked_at: float) -> None:
        if held.changed_at >= asked_at:
            return
        if held.phase is not Phase.UNCERTAIN:
            self._lose(held)
        elif asked_at > held.lease_until + START_MARGIN_S:
            self._starter.abandon(held, "start_failed")
        elif not held.stop_asked:
            await self._work.put_once(
                held.task_id, partial(self._starter.ask_worker, held)
            )

    async def _check_running(self, held: HeldRun) -> None:
        self._starter.note_started(held)
        margin = min(LAPSE_MARGIN_S, LAPSE_SHARE * held.lease_s)
        if held.stop_asked:
            await self._work.put_once(held.task_id, partial(self._ender.stop, held))
        elif held.lease_until - self._clock() < margin:
            lapse = partial(self._ender.stop_lapsing, held, margin)
            await self._work.put_once(held.task_id, lapse)

    async def _check_unheld(self, listed: dict[tuple[str, int], Run]) -> None:
        """Deal with runs that are listed and not held.

        A list may be older than an end that was acknowledged while it was on its
        way; only what two lists in a row show is taken for real.
        """
        seen_twice = self._unheld & listed.keys()
        self._unheld = set(listed)
        for key in seen_twice:
            run = listed[key]
            if run.state is not RunState.RUNNING:
                await self._work.put(run.task_id, partial(self._ender.forget, *key))
            elif run.task_id not in self._table.runs:
                log.error("agent: unknown run {} found, stopping it", run.task_id)
                self.adopt(run, self._clock()).stop_asked = True
