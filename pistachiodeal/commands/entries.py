"""Calls entries in turn until one can be reached."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from pistachiodeal import exit_codes
from pistachiodeal.commands.errors import (
    CommandError,
    UsageError,
    create_answer_error,
)
from pistachiodeal.commands.options import Context
from pistachiodeal.exceptions import Outcome
from pistachiodeal.web.client import CallError, create_client
from pistachiodeal.web.messages import Headers, WebResponse


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer.

    :param document: the parsed JSON body, None when empty.
    :param etag: entity tag of the resource, as received.
    """

    status: int
    document: Any
    etag: str
    entry: str


async def call_entries(
    context: Context,
    method: str,
    target: str,
    *,
    document: Any = None,
    headers: Headers = (),
    repeatable: bool = False,
) -> Answer:
    """Call one entry after the other until one answers.

    :param repeatable: the call may be repeated although an entry may already
        have executed it.
    :raises CommandError: no entry answered, or the answer is not a success.
    """
    if not context.entries:
        raise UsageError("no entry: give --entry ip:port")
    error: CommandError | None = None
    for entry in context.entries:
        try:
            return await call_entry(
                context, entry, method, target, document=document, headers=headers
            )
        except CommandError as latest:
            error = latest
            if not _should_try_next(latest, repeatable):
                raise
    assert error is not None
    raise error


async def call_entry(
    context: Context,
    entry: str,
    method: str,
    target: str,
    *,
    document: Any = None,
    headers: Headers = (),
) -> Answer:
    """Call one entry.

    :raises CommandError: no complete answer in time, or not a success.
    """
    body = b"" if document is None else orjson.dumps(document)
    own_headers = (*_create_headers(context, body), *headers)
    response = await _exchange(
        context, entry, method, target, headers=own_headers, body=body
    )
    if not 200 <= response.status < 300:
        raise create_answer_error(response, entry)
    return Answer(
        response.status,
        _read_json(response, entry),
        response.header("etag"),
        entry,
    )


def _should_try_next(error: CommandError, repeatable: bool) -> bool:
    if error.exit_status != exit_codes.UNREACHABLE:
        return False
    # A change whose answer was lost may have taken effect. Repeated with the same
    # If-Match, it would conflict with itself.
    return repeatable or error.outcome is Outcome.NOT_RUN


async def _exchange(
    context: Context,
    entry: str,
    method: str,
    target: str,
    *,
    headers: Headers,
    body: bytes,
) -> WebResponse:
    client = create_client(entry, connections=1)
    try:
        return await client.call(
            method, target, headers=headers, body=body, timeout=context.timeout
        )
    except CallError as error:
        raise CommandError(
            error.detail,
            exit_codes.UNREACHABLE,
            code="unreachable",
            outcome=error.outcome,
            step=error.step,
            peer=entry,
        ) from error
    finally:
        await client.close()


def _create_headers(context: Context, body: bytes) -> Headers:
    headers: list[tuple[str, str]] = [("accept", "application/json")]
    if context.token:
        headers.append(("authorization", f"Bearer {context.token}"))
    if body:
        headers.append(("content-type", "application/json"))
    return tuple(headers)


def _read_json(response: WebResponse, entry: str) -> Any:
    if not response.body:
        return None
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise CommandError(
            "the answer is not JSON; is this an entry's HTTP port?",
            exit_codes.FAILURE,
            code="bad_answer",
            outcome=Outcome.UNKNOWN,
            step="command.read",
            peer=entry,
        ) from error
