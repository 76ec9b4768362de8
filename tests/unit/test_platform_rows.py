"""The client of the platform's rows, with scripted answers."""

from __future__ import annotations

import curio
import orjson
import pytest

from pistachiodeal.exceptions import (
    StoreError,
    StoreRejectedError,
    StoreUncertainError,
)
from pistachiodeal.platform.rows import PlatformRows
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowCondition,
    RowWrite,
    Transaction,
)
from pistachiodeal.web.messages import WebResponse

TABLE = "jobs"
WRITE = Transaction((RowCondition(TABLE, "k", 0),), (RowWrite(TABLE, "k", b"v"),))
ROW = {"table": TABLE, "key": "k", "value": "dg==", "schema_version": 3}
PAGE = {"rows": [ROW], "schema_version": 3}
CALLS = {
    "commit": lambda rows: rows.commit(WRITE),
    "read": lambda rows: rows.read(TABLE),
    "follow": lambda rows: rows.follow(TABLE, 2, 0.0),
}


class FakeClient:
    """A web client that gives one answer to each call."""

    address = "127.0.0.1:1"

    def __init__(self, status: int, document: object) -> None:
        self._response = WebResponse(status, (), orjson.dumps(document))

    async def call(self, *_: object, **__: object) -> WebResponse:
        return self._response


def call(name: str, status: int, document: object):
    """Make one call that gets the given answer; return its result."""
    rows = PlatformRows(FakeClient(status, document), lambda table, key: "p")
    return curio.run(CALLS[name], rows)


def test_valid_answers_are_decoded():
    assert call("commit", 200, {"schema_version": 7}).version == 7
    conflict = call("commit", 412, {"rows": [ROW]})
    assert not conflict.committed
    assert conflict.found[TABLE, "k"].version == 3
    for name in ("read", "follow"):
        page = call(name, 200, PAGE)
        assert page.rows[0].value == b"v"
        assert page.version == 3
    with pytest.raises(HistoryLostError):
        call("follow", 410, {})


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize(
    "document",
    [
        [],
        None,
        {},
        {"schema_version": "7", "rows": []},
        {"schema_version": 7, "rows": [None]},
        {"schema_version": 7, "rows": [{"key": "k"}]},
    ],
)
def test_an_answer_that_cannot_be_decoded_is_uncertain(name, document):
    """Guards against an answer without a field that ends the task which reads it.

    The task that writes the leader's decisions would end, and nothing be placed.
    """
    conflict = name == "commit" and document and document["rows"]
    status = 412 if conflict else 200
    with pytest.raises(StoreUncertainError):
        call(name, status, document)


def test_a_write_that_failed_inside_the_store_is_uncertain():
    """Guards against telling a caller that its job was not accepted when it was.

    The store may have applied the write before it failed.
    """
    with pytest.raises(StoreUncertainError):
        call("commit", 500, {})


@pytest.mark.parametrize(
    ("name", "status"),
    [("commit", 403), ("commit", 410), ("read", 410), ("read", 412), ("follow", 412)],
)
def test_a_status_that_the_call_does_not_have_is_an_error_without_effect(name, status):
    with pytest.raises(StoreError) as caught:
        call(name, status, PAGE)
    assert type(caught.value) is StoreError


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize(
    ("status", "permanent"), [(400, True), (413, True), (403, False), (404, False)]
)
def test_a_call_that_can_never_succeed_is_told_from_others(name, status, permanent):
    """Guards against a call that is repeated without end, and one that never is."""
    with pytest.raises(StoreError) as caught:
        call(name, status, {})
    assert isinstance(caught.value, StoreRejectedError) == permanent
