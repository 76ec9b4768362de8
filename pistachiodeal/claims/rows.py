"""A claim's row in the table."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass, replace
from enum import StrEnum

import orjson
import xxhash

from pistachiodeal.web.messages import Headers, WebResponse

REPLAY_BODY_BYTES = 65_536


class ClaimState(StrEnum):
    """States of a claim."""

    CLAIMED = "claimed"  # its holder may hand the request on, or has done so
    ANSWERED = "answered"  # it ran, and the answer is in the row
    UNKNOWN = "unknown"  # it may have run; nobody will ever know more
    RELEASED = "released"  # it did not run; the key may be claimed anew


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """What the table holds for one idempotency key.

    :param nonce: random for each claim; proves whose a row is.
    :param fingerprint: of the request, so that a key is not used for another one.
    :param node: entry that claimed.
    :param process: random for each start of that entry's process.
    :param day: days since the epoch at the claim, for a sweep of old rows only.
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

    def answer(self, response: WebResponse, keep_body: bool) -> ClaimRow:
        """Return the row that records an answer."""
        fits = keep_body and len(response.body) <= REPLAY_BODY_BYTES
        return replace(
            self,
            state=ClaimState.ANSWERED,
            status=response.status,
            headers=response.headers if fits else (),
            body=response.body if fits else None,
        )

    def become(self, state: ClaimState) -> ClaimRow:
        """Return the row in another state."""
        return replace(self, state=state)


def build_row_key(service: str, key: str) -> str:
    """Return the row's key; two keys of one hash are told apart by fingerprint."""
    return f"claim/{service}/{xxhash.xxh128_hexdigest(key.encode())}"


def encode_row(row: ClaimRow) -> bytes:
    """Return the row's value."""
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
    """Return the claim of a row's value; None when it is broken."""
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
    except (ValueError, KeyError, TypeError, binascii.Error):
        return None
