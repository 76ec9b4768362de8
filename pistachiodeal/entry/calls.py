"""Parses and validates callers' requests."""

from __future__ import annotations

import re
from dataclasses import dataclass

import xxhash

from pistachiodeal.config.entry import RequestSettings
from pistachiodeal.exceptions import RequestError
from pistachiodeal.model.policies import Profile
from pistachiodeal.web.messages import Headers, WebRequest, get_header

DEADLINE_HEADER = "pistachiodeal-deadline-ms"
CALLER_HEADER = "pistachiodeal-caller"
KEY_HEADER = "idempotency-key"
DEFAULT_CALLER = "anonymous"
# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"))
# RFC 9110, section 7.6.1, and headers that each hop sets itself.
NOT_FORWARDED = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
        "content-length",
    )
)
NOT_FOR_RUNNERS = NOT_FORWARDED | {DEADLINE_HEADER, CALLER_HEADER}
NOT_FOR_HEAD = NOT_FORWARDED - {"content-length"}
_CALLER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DEADLINE = re.compile(r"[0-9]{1,9}")
_KEY = re.compile(r"[\x21-\x7e]{1,255}")
STEP = "entry.parse"
NO_OPTIONS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's validated interactive request.

    :param deadline: monotonic time at which the caller stops waiting.
    :param key: idempotency key, empty for none.
    """

    service: str
    caller: str
    request: WebRequest
    deadline: float
    key: str

    @property
    def claim_key(self) -> str:
        """Return the key scoped by caller, as two callers may choose the same."""
        return f"{self.caller}/{self.key}"

    def is_repeatable(self, profile: Profile) -> bool:
        """Return whether this request may safely run more than once."""
        return self.request.method in IDEMPOTENT_METHODS or profile.repeat_unsafe

    def compute_fingerprint(self) -> str:
        """Return a hash of the request, which detects a reused key."""
        digest = xxhash.xxh3_128()
        for part in (self.request.method, self.request.target):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.request.body)
        return digest.hexdigest()


def parse_call(
    service: str, request: WebRequest, settings: RequestSettings, now: float
) -> Call:
    """Return the validated call.

    :param now: monotonic time at which the request arrived.
    :raises RequestError: 400 with the code of the first error.
    """
    deadline_ms = _parse_deadline(request, settings)
    return Call(
        service=service,
        caller=_parse_caller(request),
        request=request,
        deadline=now + deadline_ms / 1000.0,
        key=_parse_key(request),
    )


def strip_request_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to a runner."""
    return _strip(headers, NOT_FOR_RUNNERS)


def strip_response_headers(headers: Headers, method: str) -> Headers:
    """Return the headers that are returned to a caller.

    An answer to HEAD keeps its content-length, which doesn't describe its body.
    """
    return _strip(headers, NOT_FOR_HEAD if method == "HEAD" else NOT_FORWARDED)


def _strip(headers: Headers, names: frozenset[str]) -> Headers:
    drop = names | _list_connection_options(headers)
    return tuple(pair for pair in headers if pair[0] not in drop)


def _list_connection_options(headers: Headers) -> frozenset[str]:
    listed = get_header(headers, "connection")
    if not listed:
        return NO_OPTIONS
    return frozenset(option.strip().lower() for option in listed.split(","))


def _parse_deadline(request: WebRequest, settings: RequestSettings) -> int:
    text = request.header(DEADLINE_HEADER)
    if not text:
        return settings.deadline_ms
    if not _DEADLINE.fullmatch(text) or int(text) == 0:
        raise _refuse("bad_deadline", f"{DEADLINE_HEADER} is a number of ms, from 1")
    return min(int(text), settings.max_deadline_ms)


def _parse_caller(request: WebRequest) -> str:
    text = request.header(CALLER_HEADER, DEFAULT_CALLER)
    if not _CALLER.fullmatch(text):
        raise _refuse("bad_caller", f"{CALLER_HEADER} is not a name")
    return text


def _parse_key(request: WebRequest) -> str:
    text = request.header(KEY_HEADER)
    if text and not _KEY.fullmatch(text):
        raise _refuse("bad_idempotency_key", f"{KEY_HEADER} is not 1 to 255 characters")
    return text


def _refuse(code: str, detail: str) -> RequestError:
    return RequestError(detail, code=code, status=400, step=STEP)
