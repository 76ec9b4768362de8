"""How jobs and their progress are kept in the store's rows.

A job's submission and its cancellation are rows that an entry inserts once. Its
progress is one row that only the leader writes.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_job
from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.model.resources import Resources

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# A row that never is there: asking for it shows whether the store answers.
PROBE_KEY = "/probe"
CANCEL_SUFFIX = "/cancel"
CANCEL_VALUE = b"{}"
# The row of a job's submission is followed by that of its cancellation; no other
# key lies between a job's id and this end.
RANGE_END = "0"


def build_cancel_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return job_id + CANCEL_SUFFIX


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a row in the jobs table, and whether it cancels the job."""
    if key.endswith(CANCEL_SUFFIX):
        return key.removesuffix(CANCEL_SUFFIX), True
    return key, False


def encode_job(job: Job) -> bytes:
    """Return the value of a job's row."""
    document = asdict(job)
    document["steps"] = [_drop_defaults(asdict(step)) for step in job.steps]
    return orjson.dumps(document)


def decode_job(key: str, value: bytes) -> Job:
    """Return the job of a row.

    :param key: of the row, which is the job's id.
    :raises ProtocolError: the row was not written by this project.
    """
    try:
        document = orjson.loads(value)
        steps = tuple(_build_step(step) for step in document["steps"])
        queue = Queue(**document["queue"])
        job = Job(**{**document, "steps": steps, "queue": queue})
        check_job(job)
        if job.job_id != key:
            raise ValueError("the row has the key of another job")
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(repr(error), step="jobs.decode_row") from error
    return job


def _build_step(document: dict[str, Any]) -> Step:
    fields = dict(document)
    fields["size"] = Resources(**fields["size"])
    fields["after"] = tuple(fields.get("after", ()))
    return Step(**fields)


def _drop_defaults(document: dict[str, Any]) -> dict[str, Any]:
    kept = {name: value for name, value in document.items() if value}
    for name in ("count", "size", "estimate_s"):
        kept[name] = document[name]
    return kept
