"""Polls the worker for its runs and their resource use."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import curio
import logbook

from pistachiodeal.agent.keyed_executor import KeyedExecutor
from pistachiodeal.agent.leases import LeaseTracker, RejectedAttempts
from pistachiodeal.agent.run_records import Phase, RunRecord, RunRecordTable, adopt_run
from pistachiodeal.agent.starting import RunStarter
from pistachiodeal.agent.termination import RunTerminator
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import RuntimeSettings
from pistachiodeal.exceptions import WorkerError, WorkerFencedError
from pistachiodeal.store.protocols import Run, RunState, UsageSample, WorkerRuntime
from pistachiodeal.wire.task_messages import UNKNOWN_RUN

START_MARGIN_S = 1.0
EXPIRY_MARGIN_S = 5.0
EXPIRY_SHARE = 0.25

log = logbook.Logger("pistachiodeal.agent")


class RunWatcher:
    """Reconciles the agent's records of runs with the runs that the worker lists."""

    def __init__(
        self,
        *,
        runtime: WorkerRuntime,
        table: RunRecordTable,
        lease_tracker: LeaseTracker,
        rejected_attempts: RejectedAttempts,
        starter: RunStarter,
        terminator: RunTerminator,
        executor: KeyedExecutor,
        settings: RuntimeSettings,
        clock: Clock,
    ) -> None:
        self._runtime = runtime
        self._table = table
        self._lease_tracker = lease_tracker
        self._rejected_attempts = rejected_attempts
        self._starter = starter
        self._terminator = terminator
        self._executor = executor
        self._settings = settings
        self._clock = clock
        self._unrecorded: set[tuple[str, int]] = set()

    async def poll(self) -> None:
        """Poll the list of runs until cancelled.

        :raises WorkerFencedError: another agent has attached to this worker.
        """
        while True:
            await self.check_runs()
            await curio.sleep(self._settings.poll_s)

    async def poll_usage(self) -> None:
        """Poll the resource use of the runs until cancelled."""
        while True:
            await curio.sleep(self._settings.usage_s)
            try:
                samples = await self._runtime.usage()
            except WorkerFencedError:
                raise
            except WorkerError as error:
                log.debug("agent: reading the resource use failed: {}", error)
            else:
                self.apply_usage(samples)

    def apply_usage(self, samples: Iterable[UsageSample]) -> None:
        """Apply measurements of resource use.

        A measurement from before a run's start belongs to an earlier run and is
        ignored. If a run uses more than its reservation, the reservation grows;
        otherwise declared sizes that are far too small would overcommit the worker.
        """
        for sample in samples:
            record = self._table.runs.get(sample.subject)
            if record is None or record.ended or sample.at < record.started_at:
                continue
            record.recent = sample.used
            record.used = record.used.elementwise_max(sample.used)
            if self._table.ledger.holds(record.name):
                self._table.ledger.reserve_unchecked(record.name, record.used)

    def adopt(self, run: Run, now: float) -> RunRecord:
        """Add a run that was found on the worker, and reserve its resources."""
        record = adopt_run(run, now)
        self._lease_tracker.record_epoch(record.partition, record.epoch)
        self._table.runs[run.task_id] = record
        if run.state is RunState.RUNNING:
            self._table.ledger.reserve_unchecked(record.name, record.size)
        else:
            self._terminator.apply_end(record, run)
        return record

    def _handle_lost_run(self, record: RunRecord) -> None:
        """Handle a run that the worker no longer lists."""
        log.warning(
            "agent: worker no longer lists {}/{}", record.task_id, record.attempt
        )
        del self._table.runs[record.task_id]
        self._rejected_attempts.reject(
            record.task_id, record.attempt, self._lease_tracker.latest_beat
        )
        self._terminator.finalize(record, UNKNOWN_RUN)

    async def check_runs(self) -> None:
        """Reconcile the records with the worker's list of runs, once."""
        requested_at = self._clock()
        try:
            listed = {
                (run.task_id, run.attempt): run for run in await self._runtime.list()
            }
        except WorkerFencedError:
            raise
        except WorkerError as error:
            log.debug("agent: listing the runs failed: {}", error)
            return
        for record in list(self._table.runs.values()):
            run = listed.pop((record.task_id, record.attempt), None)
            if record.ended or record.phase is Phase.STARTING:
                continue
            if run is None:
                await self._check_missing(record, requested_at)
            elif run.state is not RunState.RUNNING:
                self._terminator.apply_end(record, run)
            else:
                await self._check_running(record)
        await self._check_unrecorded(listed)

    async def _check_missing(self, record: RunRecord, requested_at: float) -> None:
        if record.changed_at >= requested_at:
            return
        if record.phase is not Phase.UNCERTAIN:
            self._handle_lost_run(record)
        elif requested_at > record.lease_until + START_MARGIN_S:
            self._starter.abandon(record, "start_failed")
        elif not record.stop_requested:
            await self._executor.submit_if_idle(
                record.task_id, partial(self._starter.request_start, record)
            )

    async def _check_running(self, record: RunRecord) -> None:
        self._starter.mark_running(record)
        margin = min(EXPIRY_MARGIN_S, EXPIRY_SHARE * record.lease_s)
        if record.stop_requested:
            await self._executor.submit_if_idle(
                record.task_id, partial(self._terminator.stop, record)
            )
        elif record.lease_until - self._clock() < margin:
            stop_early = partial(self._terminator.stop_before_expiry, record, margin)
            await self._executor.submit_if_idle(record.task_id, stop_early)

    async def _check_unrecorded(self, listed: dict[tuple[str, int], Run]) -> None:
        """Handle listed runs that the agent has no record of.

        A list may predate an end that was acknowledged while the list was in
        transit, so the agent acts only on runs that two consecutive lists show.
        """
        seen_twice = self._unrecorded & listed.keys()
        self._unrecorded = set(listed)
        for key in seen_twice:
            run = listed[key]
            if run.state is not RunState.RUNNING:
                await self._executor.submit(
                    run.task_id, partial(self._terminator.forget, *key)
                )
            elif run.task_id not in self._table.runs:
                log.error("agent: stopping unknown run {}", run.task_id)
                self.adopt(run, self._clock()).stop_requested = True
