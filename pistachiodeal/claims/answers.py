"""What a repeat of a claimed key is told."""

from __future__ import annotations

import logbook

from pistachiodeal.claims.claimants import ClaimantWatch
from pistachiodeal.claims.rows import ClaimRow, ClaimState, decode_row
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.store.protocols import Row
from pistachiodeal.web.messages import WebResponse

REPLAYED_HEADER = ("pistachiodeal-replayed", "1")
RETRY_AFTER_S = 1.0
STEP = "claim"

log = logbook.Logger("pistachiodeal.claims")


def check_fingerprint(row: ClaimRow, fingerprint: str) -> None:
    """Refuse a key that belongs to another request.

    :raises RequestError: 422.
    """
    if row.fingerprint != fingerprint:
        raise RequestError(
            "idempotency key was used for another request",
            code="key_reused",
            status=422,
            outcome=Outcome.NOT_RUN,
            step=STEP,
        )


def build_replay(row: ClaimRow) -> WebResponse:
    """Return the recorded answer.

    :raises RequestError: 409, it ran and the answer was not kept.
    """
    if row.body is None:
        raise RequestError(
            f"ran with status {row.status}; its answer was too large to keep",
            code="answer_not_kept",
            status=409,
            outcome=Outcome.RAN,
            step=STEP,
            peer=row.node,
        )
    return WebResponse(row.status, (*row.headers, REPLAYED_HEADER), row.body)


def build_in_progress(node: str) -> RequestError:
    """Return the error of a repeat while the first request is in flight."""
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
    """Return the error of a repeat when nobody knows whether the first one ran."""
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
    """Return the error of a request that the table did not let through."""
    return RequestError(
        detail,
        code="store_unavailable",
        status=503,
        outcome=outcome,
        retry_after=retry_after,
        step=STEP,
    )


def answer_open(row: ClaimRow, fingerprint: str) -> WebResponse:
    """Return the answer to a repeat of a key that this process holds.

    :raises RequestError: there is no recorded answer.
    """
    if row.state is ClaimState.RELEASED:
        raise build_unavailable("an earlier claim of this key is being released")
    check_fingerprint(row, fingerprint)
    if row.state is ClaimState.ANSWERED:
        return build_replay(row)
    if row.state is ClaimState.UNKNOWN:
        raise build_unknown(row.node)
    raise build_in_progress(row.node)


def answer_row(
    found: Row, fingerprint: str, watch: ClaimantWatch
) -> WebResponse | None:
    """Return the recorded answer of a row; None when its key may be claimed anew.

    :raises RequestError: the key is taken and there is no answer.
    """
    row = decode_row(found.value)
    if row is None:
        log.error("claims: row {} is broken", found.key)
        raise build_unknown("")
    if row.state is ClaimState.RELEASED:
        return None
    check_fingerprint(row, fingerprint)
    if row.state is ClaimState.ANSWERED:
        return build_replay(row)
    if row.state is ClaimState.CLAIMED and watch.may_be_alive(row):
        raise build_in_progress(row.node)
    raise build_unknown(row.node)
