"""Claims idempotency keys in the table before their requests are forwarded."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable

import curio

from pistachiodeal.claims.answers import (
    build_unavailable,
    resolve_open_claim,
    resolve_row,
)
from pistachiodeal.claims.liveness import create_claimant_liveness
from pistachiodeal.claims.model import Claimed, OpenClaim, Replayed
from pistachiodeal.claims.outcomes import OutcomeWriter
from pistachiodeal.claims.rows import ClaimRow, ClaimState, build_row_key, encode_row
from pistachiodeal.exceptions import Outcome, StoreError, StoreUnavailableError
from pistachiodeal.store.group import GroupCommitter, create_group_committer
from pistachiodeal.store.protocols import ABSENT, Table, Write
from pistachiodeal.task_groups import run_until_first_exit
from pistachiodeal.web.messages import WebResponse

MAX_OPEN_CLAIMS = 10_000
MAX_PENDING_BYTES = 33_554_432
CLAIM_TTL_S = 120.0
PAUSE_S = 0.05
DAY_S = 86_400


class ClaimManager:
    """Claims keys for one process and records the outcomes of their requests."""

    def __init__(
        self,
        table: Table,
        committer: GroupCommitter,
        *,
        node: str,
        round_rows: int,
        pause_s: float,
        claim_ttl_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._committer = committer
        self._node = node
        self._process = secrets.token_hex(8)
        self._liveness = create_claimant_liveness(node, claim_ttl_s, clock)
        self._open: dict[str, OpenClaim] = {}
        self._outcomes = OutcomeWriter(
            table, committer, round_rows, pause_s, self._remove
        )

    @property
    def open(self) -> int:
        """Return the number of claims that are being made, held or ended."""
        return len(self._open)

    @property
    def pending(self) -> int:
        """Return the number of outcomes that wait to be written."""
        return self._outcomes.pending

    async def run(self) -> None:
        """Write claims and their outcomes until cancelled."""
        await run_until_first_exit(self._committer.run, self._outcomes.run)

    async def flush(self, timeout: float) -> bool:
        """Wait until every outcome is written; return False on a timeout.

        :param timeout: seconds.
        """
        async with curio.ignore_after(timeout):
            await self._outcomes.wait_idle()
        return self._outcomes.pending == 0

    async def claim(
        self, service: str, key: str, fingerprint: str, timeout: float
    ) -> Claimed | Replayed:
        """Claim a key, or return the answer that is recorded for it.

        :param key: unique per caller, so it should contain the caller's name.
        :param fingerprint: hash of everything that identifies the request.
        :param timeout: seconds; the call ends in time even if the table hangs.
        :raises RequestError: 409 ``in_progress``, ``outcome_unknown`` or
            ``answer_not_kept``; 422 ``key_reused``; 503 ``store_unavailable``.
        """
        row_key = build_row_key(service, key)
        earlier = self._open.get(row_key)
        if earlier is not None:
            return Replayed(resolve_open_claim(earlier.row, fingerprint))
        if len(self._open) >= MAX_OPEN_CLAIMS:
            raise build_unavailable("too many claims are open")
        claim = OpenClaim(self._build_row(fingerprint))
        self._open[row_key] = claim
        try:
            async with curio.timeout_after(timeout):
                return await self._claim_row(row_key, claim)
        except curio.TaskTimeout:
            raise self._build_failure(claim, "table did not answer in time") from None
        except StoreError as error:
            raise self._build_failure(claim, error.detail, error) from error
        finally:
            if not claim.confirmed:
                await self._abandon(row_key, claim)

    async def record(self, claim: Claimed, response: WebResponse) -> None:
        """Queue the answer for recording; does not wait for the table."""
        keep_body = self._outcomes.pending_bytes < MAX_PENDING_BYTES
        held = self._find_open(claim)
        if held is not None:
            await self._finish(claim, held, held.row.with_answer(response, keep_body))

    async def mark_unknown(self, claim: Claimed) -> None:
        """Queue a record that the request may have run; does not wait."""
        held = self._find_open(claim)
        if held is not None:
            await self._finish(claim, held, held.row.with_state(ClaimState.UNKNOWN))

    async def release(self, claim: Claimed) -> None:
        """Make the key claimable again, because the request did not run."""
        held = self._find_open(claim)
        if held is not None:
            await self._finish(claim, held, held.row.with_state(ClaimState.RELEASED))

    async def _claim_row(self, row_key: str, claim: OpenClaim) -> Claimed | Replayed:
        """Insert the claim's row, or overwrite a released one."""
        value = encode_row(claim.row)
        while True:
            write = Write(row_key, value, claim.expect)
            claim.transaction = await self._committer.submit([write])
            result = await self._wait_result(claim)
            if result:
                claim.confirmed = True
                return Claimed(row_key, claim.row.nonce, result[row_key])
            claim.key_taken = True
            rows = await self._table.read([row_key])
            row = rows.get(row_key)
            replayed = (
                resolve_row(row, claim.row.fingerprint, self._liveness) if row else None
            )
            if replayed is not None:
                return Replayed(replayed)
            claim.key_taken = False
            claim.expect = row.version if row else ABSENT

    async def _wait_result(self, claim: OpenClaim) -> dict[str, int]:
        """Wait for the claim's commit; return the new versions, none on a conflict.

        After :class:`StoreUnavailableError` the commit has certainly no effect. After
        any other error it may take effect, so ``claim.transaction`` stays set.
        """
        assert claim.transaction is not None
        try:
            result = await claim.transaction.wait()
        except StoreUnavailableError:
            claim.transaction = None
            raise
        claim.transaction = None
        return result.versions if result.committed else {}

    async def _abandon(self, row_key: str, claim: OpenClaim) -> None:
        """Clean up a claim that failed or whose commit has an unknown result.

        The request does not run in either case. If the claim's row may be in the
        table, or may still be written, it has to be released: otherwise the key
        would stay taken forever, and a retry would get ``unknown`` for a request
        that never ran.
        """
        if claim.transaction is None or claim.transaction.withdraw():
            self._remove(row_key)
            return
        claim.row = claim.row.with_state(ClaimState.RELEASED)
        await self._outcomes.add(row_key, claim.row, None, claim.expect)

    async def _finish(self, claim: Claimed, held: OpenClaim, row: ClaimRow) -> None:
        held.row = row
        await self._outcomes.add(claim.row_key, row, claim.version)

    def _find_open(self, claim: Claimed) -> OpenClaim | None:
        """Return the open claim; None when its outcome was already recorded."""
        held = self._open.get(claim.row_key)
        if held is None or held.row.nonce != claim.nonce:
            return None
        return held if held.row.state is ClaimState.CLAIMED else None

    def _remove(self, row_key: str) -> None:
        self._open.pop(row_key, None)

    def _build_row(self, fingerprint: str) -> ClaimRow:
        nonce = secrets.token_hex(8)
        day = int(time.time() // DAY_S)
        return ClaimRow(nonce, fingerprint, self._node, self._process, day)

    def _build_failure(
        self, claim: OpenClaim, detail: str, error: StoreError | None = None
    ) -> Exception:
        # If the key is known to belong to an earlier request, that one may have
        # run. The answer "not run" would invite its caller to submit it again.
        outcome = Outcome.UNKNOWN if claim.key_taken else Outcome.NOT_RUN
        retry_after = error.retry_after if error else 1.0
        return build_unavailable(detail, retry_after, outcome)


def create_claim_manager(
    table: Table,
    *,
    node: str,
    group_s: float,
    group_rows: int,
    pause_s: float = PAUSE_S,
    claim_ttl_s: float = CLAIM_TTL_S,
    clock: Callable[[], float] = time.monotonic,
) -> ClaimManager:
    """Return a manager; :meth:`ClaimManager.run` must run concurrently.

    :param node: this entry's name, unique among entries.
    :param group_s: seconds to wait for more claims before a commit.
    :param group_rows: maximum claims per commit.
    :param pause_s: mean seconds between retries after the table failed.
    :param claim_ttl_s: seconds after which the outcome of another entry's open
        claim counts as unknown; longer than any request may take.
    """
    committer = create_group_committer(
        table, group_s=group_s, group_rows=group_rows, pause_s=pause_s
    )
    return ClaimManager(
        table,
        committer,
        node=node,
        round_rows=group_rows,
        pause_s=pause_s,
        claim_ttl_s=claim_ttl_s,
        clock=clock,
    )
