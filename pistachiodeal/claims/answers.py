"""Answers and errors for requests that repeat a claimed idempotency key."""

from __future__ import annotations

import logbook

from pistachiodeal.claims.liveness import ClaimantLiveness
from pistachiodeal.claims.rows import ClaimRow, ClaimState, decode_row
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.store.protocols import Row
from pistachiodeal.web.messages import WebResponse

REPLAYED_HEADER = ("pistachiodeal-replayed", "1")
RETRY_AFTER_S = 1.0
STEP = "claim"

log = logbook.Logger("pistachiodeal.claims")


def check_fingerprint(row: ClaimRow, fingerprint: str) -> None:
    """Refuse an idempotency key that was used for a different request.

    :raises RequestError: 422, the fingerprints differ.
    """
    if row.fingerprint != fingerprint:
        raise RequestError(
            "idempotency key was already used for a different request",
            code="key_reused",
            status=422,
            outcome=Outcome.NOT_RUN,
            step=STEP,
        )


def build_replay(row: ClaimRow) -> WebResponse:
    """Return the recorded answer, marked as replayed.

    :raises RequestError: 409, the request ran but its answer was not kept.
    """
    if row.body is None:
        raise RequestError(
            f"request ran with status {row.status}; its answer was too large to keep",
            code="answer_not_kept",
            status=409,
            outcome=Outcome.RAN,
            step=STEP,
            peer=row.node,
        )
    return WebResponse(row.status, (*row.headers, REPLAYED_HEADER), row.body)


def build_in_progress(node: str) -> RequestError:
    """Return the error for a repeat while the first request is in flight."""
    return RequestError(
        "a request with this key is in flight",
        code="in_progress",
        status=409,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER_S,
        step=STEP,
        peer=node,
    )


def build_unknown(node: str) -> RequestError:
    """Return the error for a repeat when it is unknown whether the first one ran."""
    return RequestError(
        "a request with this key may have run; it is not run again",
        code="outcome_unknown",
        status=409,
        outcome=Outcome.UNKNOWN,
        step=STEP,
        peer=node,
    )


def build_unavailable(
    detail: str, retry_after: float = RETRY_AFTER_S, outcome: Outcome = Outcome.NOT_RUN
) -> RequestError:
    """Return the error for a request whose key could not be claimed in the table."""
    return RequestError(
        detail,
        code="store_unavailable",
        status=503,
        outcome=outcome,
        retry_after=retry_after,
        step=STEP,
    )


def resolve_open_claim(row: ClaimRow, fingerprint: str) -> WebResponse:
    """Return the recorded answer for a key that has an open claim in this process.

    :raises RequestError: no answer is recorded, or the key is another request's.
    """
    if row.state is ClaimState.RELEASED:
        raise build_unavailable("an earlier claim on this key is being released")
    check_fingerprint(row, fingerprint)
    if row.state is ClaimState.ANSWERED:
        return build_replay(row)
    if row.state is ClaimState.UNKNOWN:
        raise build_unknown(row.node)
    raise build_in_progress(row.node)


def resolve_row(
    found: Row, fingerprint: str, liveness: ClaimantLiveness
) -> WebResponse | None:
    """Return the answer recorded in a row, or None if its key may be claimed again.

    :raises RequestError: the key is taken and no answer is recorded.
    """
    row = decode_row(found.value)
    if row is None:
        log.error("claims: row {} cannot be decoded", found.key)
        raise build_unknown("")
    if row.state is ClaimState.RELEASED:
        return None
    check_fingerprint(row, fingerprint)
    if row.state is ClaimState.ANSWERED:
        return build_replay(row)
    if row.state is ClaimState.CLAIMED and liveness.may_be_alive(row):
        raise build_in_progress(row.node)
    raise build_unknown(row.node)
