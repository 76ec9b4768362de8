"""HTTP calls by the standard library, so that tests do not rest on our client."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return the outcome that a problem document tells, ``ran`` without one."""
        if self.headers.get("content-type") != "application/problem+json":
            return "ran"
        return str(self.document()["outcome"])


def call(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str] | None = None,
    body: bytes | str | None = None,
    *,
    timeout: float = TIMEOUT_S,
) -> Reply:
    """Make one call on a connection of its own.

    :param timeout: seconds without a byte from the peer.
    :raises OSError: no connection, or no answer in time.
    :raises http.client.HTTPException: the answer was not whole.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body, dict(headers or {}))
        response = connection.getresponse()
        body_read = response.read()
    finally:
        connection.close()
    names = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, names, body_read)


def call_json(
    address: str,
    method: str,
    target: str,
    document: Any = None,
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Make one call with a JSON body, or with none where ``document`` is None."""
    body = None if document is None else json.dumps(document)
    kind = {} if body is None else {"content-type": "application/json"}
    return call(address, method, target, {**kind, **(headers or {})}, body)
