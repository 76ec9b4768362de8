"""HTTP requests, responses, limits and counters; RFC 9457 problem documents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from pistachiodeal.exceptions import RequestError

Headers = tuple[tuple[str, str], ...]
PROBLEM_TYPE = "application/problem+json"


@dataclass(frozen=True, slots=True)
class WebRequest:
    """A completely received request.

    :param headers: pairs of name and value, names in lower case.
    :param peer: the sender's address ``ip:port``.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of this lower-case name."""
        return get_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class WebResponse:
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of this lower-case name."""
        return get_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class WebLimits:
    """Limits of a server and of each of its connections.

    :param head_bytes: maximum size of request line and headers together.
    :param body_bytes: maximum size of a body.
    :param head_s: seconds to receive the whole head, from its first byte on.
    :param body_s: seconds to receive the whole body, and to send a response.
    :param idle_s: seconds that a connection may wait for its next request.
    :param connections: maximum number of open connections.
    """

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    connections: int = 2_000


@dataclass(slots=True)
class WebCounters:
    """Counters of a server.

    :ivar connections: accepted connections, including those closed over the limit.
    :ivar requests: requests passed to the handler.
    :ivar rejected: connections over the limit, and requests that could not be read.
    :ivar open_now: open connections.
    """

    connections: int = 0
    requests: int = 0
    rejected: int = 0
    open_now: int = field(default=0)


def get_header(headers: Headers, name: str, default: str = "") -> str:
    """Return the first value of a lower-case header name."""
    for key, value in headers:
        if key == name:
            return value
    return default


def build_json(status: int, document: Any, headers: Headers = ()) -> WebResponse:
    """Return a response with a JSON body."""
    body = orjson.dumps(document)
    return WebResponse(status, (("content-type", "application/json"), *headers), body)


def build_problem(error: RequestError) -> WebResponse:
    """Return an error's problem document, with ``Retry-After`` if a delay is given."""
    document: dict[str, Any] = {
        "type": f"urn:pistachiodeal:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
        "outcome": str(error.outcome),
        "step": error.step,
        "peer": error.peer,
    }
    headers: list[tuple[str, str]] = [("content-type", PROBLEM_TYPE)]
    if error.retry_after is not None:
        document["retry_after_ms"] = int(error.retry_after * 1000)
        # Retry-After is in whole seconds (RFC 9110). Rounding down would make a caller
        # retry before the computed delay is over.
        headers.append(("retry-after", str(max(1, -int(-error.retry_after // 1)))))
    return WebResponse(error.status, tuple(headers), orjson.dumps(document))
