"""Whole HTTP requests and answers, and the problem documents of RFC 9457."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from pistachiodeal.exceptions import RequestError

Headers = tuple[tuple[str, str], ...]
PROBLEM_TYPE = "application/problem+json"


@dataclass(frozen=True, slots=True)
class WebRequest:
    """A request that was received whole.

    :param headers: pairs, names in lower case.
    :param peer: the sender's address ``ip:port``.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of this lower-case name."""
        return get_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class WebResponse:
    """A whole answer."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of this lower-case name."""
        return get_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class WebLimits:
    """What one connection may cost.

    :param head_bytes: largest request line and headers together.
    :param body_bytes: largest body.
    :param head_s: seconds for the whole head once its first byte is there.
    :param body_s: seconds for the whole body.
    :param idle_s: seconds that a kept-alive connection may wait.
    :param connections: open connections at once.
    """

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    connections: int = 2_000


@dataclass(slots=True)
class WebCounters:
    """Counts of what a server saw."""

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
    """Return an answer with a JSON body."""
    body = orjson.dumps(document)
    return WebResponse(status, (("content-type", "application/json"), *headers), body)


def build_problem(error: RequestError) -> WebResponse:
    """Return the problem document of an error, with ``Retry-After`` where it helps."""
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
        # Retry-After counts whole seconds (RFC 9110); rounding down would
        # invite a caller back before the time that was worked out.
        headers.append(("retry-after", str(max(1, -int(-error.retry_after // 1)))))
    return WebResponse(error.status, tuple(headers), orjson.dumps(document))
