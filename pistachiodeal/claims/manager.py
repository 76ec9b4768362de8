"""Claims idempotency keys in the table before their requests are handed on."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable

import curio

from pistachiodeal.claims.answers import answer_open, answer_row, build_unavailable
from pistachiodeal.claims.claimants import create_claimant_watch
from pistachiodeal.claims.model import Claimed, OpenClaim, Replayed
from pistachiodeal.claims.outcomes import OutcomeWriter
from pistachiodeal.claims.rows import ClaimRow, ClaimState, build_row_key, encode_row
from pistachiodeal.exceptions import Outcome, StoreError, StoreUnavailableError
from pistachiodeal.store.group import GroupCommitter, create_group_committer
from pistachiodeal.store.protocols import ABSENT, Table, Write
from pistachiodeal.task_groups import run_until_one_ends
from pistachiodeal.web.messages import WebResponse

OPEN_LIMIT = 10_000
PENDING_BYTES = 33_554_432
CLAIM_LIFE_S = 120.0
PAUSE_S = 0.05
DAY_S = 86_400


class ClaimManager:
    """One process's claims."""

    def __init__(
        self,
        table: Table,
        committer: GroupCommitter,
        *,
        node: str,
        round_rows: int,
        pause_s: float,
        claim_life_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._committer = committer
        self._node = node
        self._process = secrets.token_hex(8)
        self._watch = create_claimant_watch(node, claim_life_s, clock)
        self._open: dict[str, OpenClaim] = {}
        self._outcomes = OutcomeWriter(
            table, committer, round_rows, pause_s, self._forget
        )

    @property
    def open(self) -> int:
        """Return how many keys this process is concerned with."""
        return len(self._open)

    @property
    def pending(self) -> int:
        """Return how many ends of claims wait to be written."""
        return self._outcomes.pending

    async def run(self) -> None:
        """Write claims and what became of them, until cancelled."""
        await run_until_one_ends(self._committer.run, self._outcomes.run)

    async def flush(self, timeout: float) -> bool:
        """Wait until every end of a claim is written; False when time ran out.

        :param timeout: seconds.
        """
        async with curio.ignore_after(timeout):
            await self._outcomes.wait_idle()
        return self._outcomes.pending == 0

    async def claim(
        self, service: str, key: str, fingerprint: str, timeout: float
    ) -> Claimed | Replayed:
        """Claim a key, or return the answer that was recorded for it.

        :param key: unique to the caller; a caller's name should be part of it.
        :param fingerprint: of all that makes the request this one.
        :param timeout: seconds; however the table fares, this ends in time.
        :raises RequestError: 409 ``in_progress``, ``outcome_unknown`` or
            ``answer_not_kept``; 422 ``key_reused``; 503 ``store_unavailable``.
        """
        row_key = build_row_key(service, key)
        earlier = self._open.get(row_key)
        if earlier is not None:
            return Replayed(answer_open(earlier.row, fingerprint))
        if len(self._open) >= OPEN_LIMIT:
            raise build_unavailable("too many claims are open")
        claim = OpenClaim(self._build_row(fingerprint))
        self._open[row_key] = claim
        try:
            async with curio.timeout_after(timeout):
                return await self._claim_row(row_key, claim)
        except curio.TaskTimeout:
            raise self._build_failure(claim, "table is slow") from None
        except StoreError as error:
            raise self._build_failure(claim, error.detail, error) from error
        finally:
            if not claim.held:
                await self._give_up(row_key, claim)

    async def record(self, claim: Claimed, response: WebResponse) -> None:
        """Keep the answer for repeats; returns at once, also in an outage."""
        keep_body = self._outcomes.pending_bytes < PENDING_BYTES
        held = self._find(claim)
        if held is not None:
            await self._end(claim, held, held.row.answer(response, keep_body))

    async def mark_unknown(self, claim: Claimed) -> None:
        """Keep that the request may have run; returns at once."""
        held = self._find(claim)
        if held is not None:
            await self._end(claim, held, held.row.become(ClaimState.UNKNOWN))

    async def release(self, claim: Claimed) -> None:
        """Let the key be claimed anew, for the request surely did not run."""
        held = self._find(claim)
        if held is not None:
            await self._end(claim, held, held.row.become(ClaimState.RELEASED))

    async def _claim_row(self, row_key: str, claim: OpenClaim) -> Claimed | Replayed:
        """Insert the row, or take over a released one."""
        value = encode_row(claim.row)
        while True:
            write = Write(row_key, value, claim.expect)
            claim.ticket = await self._committer.submit([write])
            result = await self._wait_certain(claim)
            if result:
                claim.held = True
                return Claimed(row_key, claim.row.nonce, result[row_key])
            claim.taken = True
            rows = await self._table.read([row_key])
            row = rows.get(row_key)
            replayed = (
                answer_row(row, claim.row.fingerprint, self._watch) if row else None
            )
            if replayed is not None:
                return Replayed(replayed)
            claim.taken = False
            claim.expect = row.version if row else ABSENT

    async def _wait_certain(self, claim: OpenClaim) -> dict[str, int]:
        """Return the new versions, empty after a conflict."""
        assert claim.ticket is not None
        try:
            result = await claim.ticket.wait()
        except StoreUnavailableError:
            claim.ticket = None
            raise
        claim.ticket = None
        return result.versions if result.committed else {}

    async def _give_up(self, row_key: str, claim: OpenClaim) -> None:
        """End a claim that was not made, or of which nobody can tell.

        The request is not run in any case. Where the claim may be in force, or
        may yet land, the key would look taken for good, and the caller's retry
        would be told ``unknown`` of a request that never ran.
        """
        if claim.ticket is None or claim.ticket.withdraw():
            self._forget(row_key)
            return
        claim.row = claim.row.become(ClaimState.RELEASED)
        await self._outcomes.add(row_key, claim.row, None, claim.expect)

    async def _end(self, claim: Claimed, held: OpenClaim, row: ClaimRow) -> None:
        held.row = row
        await self._outcomes.add(claim.row_key, row, claim.version)

    def _find(self, claim: Claimed) -> OpenClaim | None:
        """Return the open claim, None when its end was told before."""
        held = self._open.get(claim.row_key)
        if held is None or held.row.nonce != claim.nonce:
            return None
        return held if held.row.state is ClaimState.CLAIMED else None

    def _forget(self, row_key: str) -> None:
        self._open.pop(row_key, None)

    def _build_row(self, fingerprint: str) -> ClaimRow:
        nonce = secrets.token_hex(8)
        day = int(time.time() // DAY_S)
        return ClaimRow(nonce, fingerprint, self._node, self._process, day)

    def _build_failure(
        self, claim: OpenClaim, detail: str, error: StoreError | None = None
    ) -> Exception:
        # Where the key is known to be an earlier request's, that one may have
        # run: "not run" would invite its caller to order the same thing twice.
        outcome = Outcome.UNKNOWN if claim.taken else Outcome.NOT_RUN
        retry_after = error.retry_after if error else 1.0
        return build_unavailable(detail, retry_after, outcome)


def create_claim_manager(
    table: Table,
    *,
    node: str,
    group_s: float,
    group_rows: int,
    pause_s: float = PAUSE_S,
    claim_life_s: float = CLAIM_LIFE_S,
    clock: Callable[[], float] = time.monotonic,
) -> ClaimManager:
    """Return a keeper; :meth:`ClaimManager.run` must run beside it.

    :param node: this entry's name, unique among entries.
    :param group_s: seconds to wait for more claims before a commit.
    :param group_rows: most claims of one commit.
    :param pause_s: mean seconds between tries after the table failed.
    :param claim_life_s: seconds after which another entry's claim without an
        end counts as never to be known; longer than any request may take.
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
        claim_life_s=claim_life_s,
        clock=clock,
    )
