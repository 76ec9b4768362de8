"""HTTP calls by the standard library, so that tests don't depend on our own client."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return the ``outcome`` of a problem document, or ``ran`` for other bodies."""
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
    """Send one request on a new connection.

    :param timeout: longest wait in seconds for the next byte from the peer.
    :raises OSError: the connection failed, or no response arrived in time.
    :raises http.client.HTTPException: the response was incomplete.
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
    """Send one request with a JSON body, or with none if ``document`` is None."""
    body = None if document is None else json.dumps(document)
    kind = {} if body is None else {"content-type": "application/json"}
    return call(address, method, target, {**kind, **(headers or {})}, body)
