"""Maps failed HTTP calls to the platform to the exceptions of this project."""

from __future__ import annotations

import orjson

from pistachiodeal.exceptions import (
    Outcome,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerError,
    WorkerFencedError,
    WorkerRefusedError,
)
from pistachiodeal.web.client import CallError
from pistachiodeal.web.messages import WebResponse

SERVER_ERROR = 500
UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


def map_call_error(
    error: CallError, step: str, peer: str, *, changes: bool
) -> StoreError:
    """Return the store error for a call without a complete answer.

    :param changes: whether the call may change anything; one that cannot has
        taken no effect, even if its answer was lost.
    """
    if not changes or error.outcome is Outcome.NOT_RUN:
        return StoreUnavailableError(error.detail, step=step, peer=peer)
    return StoreUncertainError(error.detail, step=step, peer=peer)


def map_status(
    response: WebResponse, step: str, peer: str, *, changes: bool
) -> StoreError | None:
    """Return the store error for an answer, or None if it was successful."""
    status = response.status
    if status < 400:
        return None
    detail = f"status {status} {read_code(response)}".strip()
    if status == UNAVAILABLE or (status >= SERVER_ERROR and not changes):
        wait = read_retry_after(response)
        return StoreUnavailableError(detail, step=step, peer=peer, retry_after=wait)
    if status >= SERVER_ERROR:
        return StoreUncertainError(detail, step=step, peer=peer)
    return StoreError(detail, step=step, peer=peer)


def map_worker_status(
    response: WebResponse, step: str, peer: str
) -> WorkerError | None:
    """Return the worker error for an answer, or None if it was successful."""
    if response.status < 400:
        return None
    code = read_code(response)
    detail = f"status {response.status} {code}".strip()
    if code == WorkerFencedError.code:
        return WorkerFencedError(detail, step=step, peer=peer)
    if response.status < SERVER_ERROR:
        return WorkerRefusedError(code or detail, step=step, peer=peer)
    return WorkerError(detail, step=step, peer=peer)


def read_code(response: WebResponse) -> str:
    """Return the ``code`` of an error's JSON body, or an empty string."""
    try:
        document = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return ""
    return str(document.get("code", "")) if isinstance(document, dict) else ""


def read_retry_after(response: WebResponse) -> float:
    """Return the seconds of ``Retry-After``, or a default."""
    try:
        return max(0.0, float(response.header("retry-after")))
    except ValueError:
        return RETRY_AFTER_S
