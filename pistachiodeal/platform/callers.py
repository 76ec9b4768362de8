"""Decodes callers' requests about jobs and builds the responses."""

from __future__ import annotations

import re
import time
from typing import Any

import orjson

from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobs.checks import check_job
from pistachiodeal.jobs.model import Job, JobState, Queue, Step
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json

READY_PATH = "/api/ready"
DEADLINE_HEADER = "deadline-ms"
DEFAULT_DEADLINE_S = 3.0
DEADLINE_MS = re.compile(r"[0-9]{1,9}")
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")


def read_budget_s(request: WebRequest) -> float:
    """Return the time for which the caller waits for the response, seconds."""
    text = request.header(DEADLINE_HEADER)
    return int(text) / 1000 if DEADLINE_MS.fullmatch(text) else DEFAULT_DEADLINE_S


def read_host(request: WebRequest) -> str:
    """Return the host of the request, without a port."""
    return request.header("host").partition(":")[0]


def is_job_id(text: str) -> bool:
    """Tell whether a job can be submitted under this id."""
    return JOB_ID.match(text) is not None


def parse_job(queue: Queue, job_id: str, body: bytes) -> Job:
    """Decode and check a submitted job.

    :raises RequestError: the id or the body is malformed.
    """
    if not is_job_id(job_id):
        raise _refuse("the job id is not 16 hexadecimal digits")
    try:
        document = orjson.loads(body)
        steps = tuple(_parse_step(step) for step in document["steps"])
        job = Job(
            job_id,
            queue,
            document.get("spec", ""),
            steps,
            time.time(),
            int(document.get("repeat_count", 0)),
            float(document.get("first_run_ms", 0)) / 1000,
            float(document.get("interval_ms", 0)) / 1000,
        )
        check_job(job)
    except MALFORMED as error:
        raise _refuse(describe(error)) from None
    return job


def build_state_response(state: JobState) -> WebResponse:
    """Return the response to a query of a job's state."""
    return build_json(200, {"state": state.value})


def build_pending_response(count: int) -> WebResponse:
    """Return the response with the number of jobs of a queue that have not begun."""
    return build_json(200, {"pending_jobs": count})


def _parse_step(step: dict[str, Any]) -> Step:
    size = Resources(
        int(step.get("cpu", 0)), int(step.get("mem_mb", 0)), int(step.get("gpu", 0))
    )
    return Step(
        int(step["count"]),
        size,
        float(step.get("estimated_ms", 0)) / 1000,
        tuple(int(number) for number in step.get("start_after", ())),
        bool(step.get("checkpointing")),
        bool(step.get("gang")),
        bool(step.get("same_rack")),
        _parse_label(step.get("requirements", "")),
        str(step.get("data_rack", "")),
        int(step.get("anti_affinity", 0)),
        bool(step.get("allow_duplicates")),
        bool(step.get("long_running")),
        str(step.get("image", "")),
        int(step.get("target_ms", 0)),
        bool(step.get("fills")),
        int(step.get("may_miss", 0)),
    )


def _parse_label(value: Any) -> str:
    # Despite its plural name, the field holds one label.
    if isinstance(value, list):
        return str(value[0]) if value else ""
    return str(value)


def _refuse(detail: str) -> RequestError:
    return RequestError(detail, code="malformed_job", status=400, step="jobs.parse")
