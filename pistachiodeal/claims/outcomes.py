"""Writes what became of claims, in the background, until it is in the table."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

import curio
import logbook

from pistachiodeal.claims.rows import ClaimRow, decode_row, encode_row
from pistachiodeal.exceptions import StoreError, StoreUnavailableError
from pistachiodeal.store.group import GroupCommitter
from pistachiodeal.store.protocols import Row, Table, Write

NO_BASE = -1

log = logbook.Logger("pistachiodeal.claims")


@dataclass(slots=True)
class OutcomeJob:
    """A final row that has to get into the table.

    :param expect: version the row must have; None: read it first.
    :param base: version that a claim, which may still land, expects;
        :data:`NO_BASE` when the claim is known to be in.
    """

    row_key: str
    row: ClaimRow
    expect: int | None
    base: int
    value: bytes


class OutcomeWriter:
    """Holds the jobs and writes them in rounds."""

    def __init__(
        self,
        table: Table,
        committer: GroupCommitter,
        round_rows: int,
        pause_s: float,
        on_written: Callable[[str], None],
    ) -> None:
        self._table = table
        self._committer = committer
        self._round_rows = round_rows
        self._pause_s = pause_s
        self._on_written = on_written
        self._jobs: dict[str, OutcomeJob] = {}
        self._bytes = 0
        self._filled = curio.Event()
        self._idle = curio.Event()

    @property
    def pending(self) -> int:
        """Return how many rows wait to be written."""
        return len(self._jobs)

    @property
    def pending_bytes(self) -> int:
        """Return the size of the rows that wait to be written."""
        return self._bytes

    async def add(
        self, row_key: str, row: ClaimRow, expect: int | None, base: int = NO_BASE
    ) -> None:
        """Queue a final row."""
        job = OutcomeJob(row_key, row, expect, base, encode_row(row))
        self._jobs[row_key] = job
        self._bytes += len(job.value)
        self._idle.clear()
        await self._filled.set()

    async def wait_idle(self) -> None:
        """Wait until everything is written."""
        if self._jobs:
            await self._idle.wait()

    async def run(self) -> None:
        """Write what is queued, until cancelled."""
        while True:
            await self._filled.wait()
            jobs = list(islice(self._jobs.values(), self._round_rows))
            error = await self._write_round(jobs)
            if not self._jobs:
                self._filled.clear()
                await self._idle.set()
            elif error is not None:
                await self._pause(error)

    async def _write_round(self, jobs: list[OutcomeJob]) -> StoreError | None:
        """Try each job once; return an error when the table failed."""
        try:
            await self._read_versions([job for job in jobs if job.expect is None])
        except StoreError as error:
            return error
        tickets = []
        failure: StoreError | None = None
        for job in jobs:
            if job.row_key not in self._jobs or job.expect is None:
                continue
            write = Write(job.row_key, job.value, job.expect)
            try:
                tickets.append((job, await self._committer.submit([write])))
            except StoreUnavailableError as error:
                failure = error
                break
        for job, ticket in tickets:
            try:
                result = await ticket.wait()
            except StoreError as error:
                failure = error
                job.expect = None
                continue
            if result.committed:
                self._finish(job)
            else:
                job.expect = None
        return failure

    async def _read_versions(self, jobs: list[OutcomeJob]) -> None:
        """Find out on which version each job has to be written, if at all."""
        if not jobs:
            return
        rows = await self._table.read([job.row_key for job in jobs])
        for job in jobs:
            row = rows.get(job.row_key)
            if row is not None and row.value == job.value:
                self._finish(job)
            elif row is None or is_own(row, job) or row.version == job.base:
                # With a base the claim itself may not be there yet, and land after
                # this read: its key would then look taken for good, though nothing
                # ran. Writing on the version that the claim expects shuts it out.
                job.expect = row.version if row else 0
            else:
                if job.base == NO_BASE:
                    log.error("claims: row {} is not ours any more", job.row_key)
                self._finish(job)

    def _finish(self, job: OutcomeJob) -> None:
        del self._jobs[job.row_key]
        self._bytes -= len(job.value)
        self._on_written(job.row_key)

    async def _pause(self, error: StoreError) -> None:
        # Jittered, or all entries would come back to a recovered table at once.
        longest = max(self._pause_s, min(error.retry_after, 20 * self._pause_s))
        await curio.sleep(longest * random.uniform(0.5, 1.0))


def is_own(row: Row, job: OutcomeJob) -> bool:
    """Tell whether a row is of the claim that a job ends."""
    found = decode_row(row.value)
    return found is not None and found.nonce == job.row.nonce
