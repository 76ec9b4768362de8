"""Rows of claims in the table."""

from __future__ import annotations

import base64
from dataclasses import dataclass, replace
from enum import StrEnum

import orjson
import xxhash

from pistachiodeal.malformed import MALFORMED
from pistachiodeal.web.messages import Headers, WebResponse

REPLAY_BODY_BYTES = 65_536


class ClaimState(StrEnum):
    """States of a claim."""

    CLAIMED = "claimed"  # the request may be forwarded, or has been
    ANSWERED = "answered"  # the request ran, and the row holds its answer
    UNKNOWN = "unknown"  # the request may have run; this state is final
    RELEASED = "released"  # the request did not run; the key may be claimed again


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """The claim on one idempotency key as it is stored.

    :param nonce: random per claim; identifies the claim that wrote the row.
    :param fingerprint: of the request; a different request with the same key is
        refused.
    :param node: entry that made the claim.
    :param process: random per start of that entry's process.
    :param day: days since the Unix epoch at the claim; only for deleting old rows.
    :param body: None when the answer was too large to keep.
    """

    nonce: str
    fingerprint: str
    node: str
    process: str
    day: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    headers: Headers = ()
    body: bytes | None = b""

    def with_answer(self, response: WebResponse, keep_body: bool) -> ClaimRow:
        """Return the row with an answer recorded; large bodies are left out."""
        fits = keep_body and len(response.body) <= REPLAY_BODY_BYTES
        return replace(
            self,
            state=ClaimState.ANSWERED,
            status=response.status,
            headers=response.headers if fits else (),
            body=response.body if fits else None,
        )

    def with_state(self, state: ClaimState) -> ClaimRow:
        """Return the row in another state."""
        return replace(self, state=state)


def build_row_key(service: str, key: str) -> str:
    """Return the row's key; the fingerprint catches keys whose hashes collide."""
    return f"claim/{service}/{xxhash.xxh128_hexdigest(key.encode())}"


def encode_row(row: ClaimRow) -> bytes:
    """Return the encoded value of a row."""
    body = None if row.body is None else base64.b64encode(row.body).decode()
    return orjson.dumps(
        {
            "nonce": row.nonce,
            "fingerprint": row.fingerprint,
            "node": row.node,
            "process": row.process,
            "day": row.day,
            "state": row.state,
            "status": row.status,
            "headers": row.headers,
            "body": body,
        }
    )


def decode_row(value: bytes) -> ClaimRow | None:
    """Return the claim in a row's value; None when it cannot be decoded."""
    try:
        data = orjson.loads(value)
        body = data["body"]
        return ClaimRow(
            nonce=data["nonce"],
            fingerprint=data["fingerprint"],
            node=data["node"],
            process=data["process"],
            day=data["day"],
            state=ClaimState(data["state"]),
            status=data["status"],
            headers=tuple((name, text) for name, text in data["headers"]),
            body=None if body is None else base64.b64decode(body, validate=True),
        )
    except MALFORMED:
        return None
