"""The table of limits, and requests at and above each of them."""

from __future__ import annotations

import re
from importlib import import_module
from pathlib import Path
from typing import Any

import curio
import orjson
import pytest

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobentry.api import CallerApi
from pistachiodeal.jobs.checks import (
    MAX_ACCELERATORS,
    MAX_NAME_BYTES,
    MAX_NUMBER,
    MAX_OCCURRENCES,
    MAX_STEPS,
    MAX_TASKS,
    MAX_TEXT_BYTES,
)
from pistachiodeal.web.messages import WebRequest
from tests.standins.job_cluster import create_quiet_log, run_cluster
from tests.unit.test_jobentry_api import (
    HEADERS,
    ROUTE,
    build_configuration,
    watch_alone,
    write_configuration,
)

PAGE = Path(__file__).parents[2] / "docs" / "design" / "limits.md"
ROW = re.compile(r"^\|[^|]*\| `([a-z_.]+)\.([A-Z_]+)` \| (\d+) \|", re.MULTILINE)
ROW_BYTES = 9_000


def build(**fields: Any) -> dict[str, Any]:
    """Return a job of one step with these fields."""
    return {"spec": "", "steps": [{"count": 1, "cpu": 10, "mem_mb": 10, **fields}]}


REQUESTS = {
    "tasks": (MAX_TASKS, lambda n: build(count=n), 400),
    "gang": (MAX_TASKS, lambda n: build(count=n, gang=True), 400),
    "steps": (MAX_STEPS, lambda n: {"steps": [{"count": 1}] * n}, 400),
    "occurrences": (MAX_OCCURRENCES, lambda n: {**build(), "repeat_count": n}, 400),
    "text": (MAX_TEXT_BYTES, lambda n: {**build(), "spec": "x" * n}, 400),
    "name": (MAX_NAME_BYTES, lambda n: build(image="x" * n), 400),
    "number": (MAX_NUMBER, lambda n: build(mem_mb=n), 400),
    "accelerators": (MAX_ACCELERATORS, lambda n: build(gpu=n), 400),
}


def test_the_table_of_limits_is_that_of_the_code():
    """Guards against operators and callers who are told another limit."""
    rows = ROW.findall(PAGE.read_text())
    assert len(rows) >= 14
    for module, name, value in rows:
        assert getattr(import_module(f"pistachiodeal.{module}"), name) == int(value)


async def send(document: dict[str, Any]) -> tuple[int, str]:
    """Return the status and the message that the caller of a request gets."""
    async with run_cluster(entries=1, agents=0) as cluster:
        entry, events = cluster.entries[0], create_quiet_log()
        write_configuration(cluster.state, build_configuration(3, [ROUTE]))
        configuration = await watch_alone(entry.store, events)
        api = CallerApi(
            configuration,
            entry.acceptance,
            entry.states,
            events,
            row_bytes=ROW_BYTES,
            limits=LimitSettings(),
        )
        while configuration.current is None:
            await curio.sleep(0.01)
        body = orjson.dumps(document)
        path = "/q/00000000000000aa"
        try:
            response = await api.handle(WebRequest("POST", path, HEADERS, body))
        except RequestError as error:
            assert ("jobs", "00000000000000aa") not in cluster.state.rows
            return error.status, error.detail
        assert ("jobs", "00000000000000aa") in cluster.state.rows
        return response.status, ""


@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_is_accepted_at_a_limit_and_refused_above_it(name):
    """Guards against a refusal that doesn't say which limit was exceeded."""
    limit, build_document, refused = REQUESTS[name]
    assert curio.run(send, build_document(limit))[0] == 200
    status, detail = curio.run(send, build_document(limit + 1))
    assert (status, str(limit) in detail) == (refused, True)


def test_a_job_whose_row_is_too_large_is_refused_with_the_limit():
    """Guards against a refusal that doesn't say which limit was exceeded."""
    steps = [{"count": 1, "image": "x" * 900}] * 9
    status, detail = curio.run(send, {"spec": "", "steps": steps})
    assert (status, str(ROW_BYTES) in detail) == (413, True)
