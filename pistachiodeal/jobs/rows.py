"""How jobs and their progress are kept in the store's rows.

A job's submission and its cancellation are rows that an entry inserts once. Its
progress is one row that only the leader writes.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any
from zlib import crc32

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_job
from pistachiodeal.jobs.model import Job, Queue, Step
from pistachiodeal.model.resources import Resources

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# A partition does its transactions one after another, at 3 ms each, and at 0.3 s each
# on a store that is a hundred times slower. Eight then take 27 submissions a second; a
# single one took three, and refused those of 35 entries for as long as it lasted. Jobs
# are few (220,000 a day are 2.5 a second), and each partition is one more read for
# whoever takes the lead.
SUBMISSION_PARTITIONS = 8
# Where submissions lay before they were divided; rows there still count.
UNDIVIDED_PARTITION = "jobs"
COMMON_PARTITION = ""
# A row that never is there: asking for it shows whether the store answers.
PROBE_KEY = "/probe"
CANCEL_SUFFIX = "/cancel"
CANCEL_VALUE = b"{}"
# The row of a job's submission is followed by that of its cancellation; no other
# key lies between a job's id and this end.
RANGE_END = "0"


def find_partition(table: str, key: str) -> str:
    """Return the partition of a row; see ``RowStore``.

    A job's submission and its cancellation lie in one, whichever entry writes them, so
    that a repeat at another entry finds the row. All else has one writer, the leader,
    whose every write demands the leader's row, so it lies beside that row.
    """
    if table != JOBS_TABLE:
        return COMMON_PARTITION
    job_id, _ = split_key(key)
    return _build_partition(crc32(job_id.encode()) % SUBMISSION_PARTITIONS)


def list_partitions(table: str) -> tuple[str, ...]:
    """Return all partitions in which rows of a table lie."""
    if table != JOBS_TABLE:
        return (COMMON_PARTITION,)
    divided = tuple(_build_partition(one) for one in range(SUBMISSION_PARTITIONS))
    return (*divided, UNDIVIDED_PARTITION)


def _build_partition(number: int) -> str:
    return f"{UNDIVIDED_PARTITION}-{number}"


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
