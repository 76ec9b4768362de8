"""Writes the outcomes of claims in the background, with retries."""

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

NO_PENDING_CLAIM = -1

log = logbook.Logger("pistachiodeal.claims")


@dataclass(slots=True)
class PendingOutcome:
    """A claim's final row that has to be written to the table.

    :param expect: version that the row must have; None to read it first.
    :param claim_expect: version that the claim's own write expects while that may
        still take effect; :data:`NO_PENDING_CLAIM` once the claim is committed.
    """

    row_key: str
    row: ClaimRow
    expect: int | None
    claim_expect: int
    value: bytes


class OutcomeWriter:
    """Queues outcomes and writes them in rounds."""

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
        self._outcomes: dict[str, PendingOutcome] = {}
        self._bytes = 0
        self._filled = curio.Event()
        self._idle = curio.Event()

    @property
    def pending(self) -> int:
        """Return the number of rows that wait to be written."""
        return len(self._outcomes)

    @property
    def pending_bytes(self) -> int:
        """Return the size of the rows that wait to be written, in bytes."""
        return self._bytes

    async def add(
        self,
        row_key: str,
        row: ClaimRow,
        expect: int | None,
        claim_expect: int = NO_PENDING_CLAIM,
    ) -> None:
        """Queue a final row."""
        outcome = PendingOutcome(row_key, row, expect, claim_expect, encode_row(row))
        self._outcomes[row_key] = outcome
        self._bytes += len(outcome.value)
        self._idle.clear()
        await self._filled.set()

    async def wait_idle(self) -> None:
        """Wait until everything is written."""
        if self._outcomes:
            await self._idle.wait()

    async def run(self) -> None:
        """Write queued rows until cancelled."""
        while True:
            await self._filled.wait()
            outcomes = list(islice(self._outcomes.values(), self._round_rows))
            error = await self._write_round(outcomes)
            if not self._outcomes:
                self._filled.clear()
                await self._idle.set()
            elif error is not None:
                await self._pause(error)

    async def _write_round(self, outcomes: list[PendingOutcome]) -> StoreError | None:
        """Try to write each outcome once; return the error if the table failed."""
        try:
            await self._read_versions(
                [outcome for outcome in outcomes if outcome.expect is None]
            )
        except StoreError as error:
            return error
        submitted = []
        failure: StoreError | None = None
        for outcome in outcomes:
            if outcome.row_key not in self._outcomes or outcome.expect is None:
                continue
            write = Write(outcome.row_key, outcome.value, outcome.expect)
            try:
                submitted.append((outcome, await self._committer.submit([write])))
            except StoreUnavailableError as error:
                failure = error
                break
        for outcome, transaction in submitted:
            try:
                result = await transaction.wait()
            except StoreError as error:
                failure = error
                outcome.expect = None
                continue
            if result.committed:
                self._finish(outcome)
            else:
                outcome.expect = None
        return failure

    async def _read_versions(self, outcomes: list[PendingOutcome]) -> None:
        """Set the version that each outcome's write expects; drop finished ones."""
        if not outcomes:
            return
        rows = await self._table.read([outcome.row_key for outcome in outcomes])
        for outcome in outcomes:
            row = rows.get(outcome.row_key)
            if row is not None and row.value == outcome.value:
                self._finish(outcome)
            elif (
                row is None
                or belongs_to_claim(row, outcome)
                or row.version == outcome.claim_expect
            ):
                # With a pending claim, the claim's own write may take effect after
                # this read, and its key would stay taken though nothing ran.
                # Writing on the version that the claim expects makes it fail.
                outcome.expect = row.version if row else 0
            else:
                if outcome.claim_expect == NO_PENDING_CLAIM:
                    log.error("claims: row {} is of another claim", outcome.row_key)
                self._finish(outcome)

    def _finish(self, outcome: PendingOutcome) -> None:
        del self._outcomes[outcome.row_key]
        self._bytes -= len(outcome.value)
        self._on_written(outcome.row_key)

    async def _pause(self, error: StoreError) -> None:
        # The jitter keeps entries from all retrying a recovered table at once.
        longest = max(self._pause_s, min(error.retry_after, 20 * self._pause_s))
        await curio.sleep(longest * random.uniform(0.5, 1.0))


def belongs_to_claim(row: Row, outcome: PendingOutcome) -> bool:
    """Return whether a row holds the claim that an outcome ends."""
    found = decode_row(row.value)
    return found is not None and found.nonce == outcome.row.nonce
