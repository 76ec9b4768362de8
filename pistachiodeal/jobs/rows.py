"""Encodes jobs and their progress as rows of the store.

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
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.model.resources import Resources

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# A partition executes its transactions one after another, at 3 ms each, or at 0.3 s
# each on a store that is a hundred times slower. Eight partitions then accept 27
# submissions a second, where a single one accepted three and refused those of 35
# entries for as long as the store was slow. More are not needed: 220,000 jobs a day are
# 2.5 a second, and each partition is one more read for a new leader.
SUBMISSION_PARTITIONS = 8
# Held all submissions before they were partitioned; rows there are still read.
UNDIVIDED_PARTITION = "jobs"
COMMON_PARTITION = ""
# Key of a row that never exists; reading it checks whether the store answers.
PROBE_KEY = "/probe"
# Begins the value of a compacted submission; see :func:`encode_ended_job`.
ENDED_PREFIX = b'{"ended":'
# In place of the steps that a compacted submission no longer has.
NO_STEPS = (Step(1, Resources(0, 0, 0), 0.0),)
CANCEL_SUFFIX = "/cancel"
CANCEL_VALUE = b"{}"
# Appended to a job's id, this is the exclusive end of a range that holds only the rows
# of the job's submission and its cancellation.
RANGE_END = "0"


def find_partition(table: str, key: str) -> str:
    """Return the partition of a row; see ``RowStore``.

    A job's submission and its cancellation share a partition, whichever entry writes
    them, so that a request repeated at another entry finds the row. All other rows are
    written by the leader alone. Each of its writes is conditional on the leader's row,
    so they are in the same partition as that row.
    """
    if table != JOBS_TABLE:
        return COMMON_PARTITION
    job_id, _ = split_key(key)
    return _build_partition(crc32(job_id.encode()) % SUBMISSION_PARTITIONS)


def list_partitions(table: str) -> tuple[str, ...]:
    """Return all partitions that hold rows of a table."""
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
    """Return the job id in a key of the jobs table, and whether it cancels the job."""
    if key.endswith(CANCEL_SUFFIX):
        return key.removesuffix(CANCEL_SUFFIX), True
    return key, False


def encode_job(job: Job) -> bytes:
    """Return the value of a job's row."""
    document = asdict(job)
    document["steps"] = [_drop_defaults(asdict(step)) for step in job.steps]
    return orjson.dumps(document)


def encode_ended_job(job: Job) -> bytes:
    """Return the value of the compacted row of a job that has ended.

    The row has to stay for as long as the job is known, so that its id can't be
    submitted again; a new leader needs none of its steps and texts.
    """
    return orjson.dumps(
        {
            "ended": True,
            "queue": job.queue.name,
            "accepted_s": job.accepted_s,
            "repeats": job.repeats,
        }
    )


def is_ended(value: bytes) -> bool:
    """Tell whether a submission's row was compacted."""
    return value.startswith(ENDED_PREFIX)


def decode_ended_job(key: str, value: bytes) -> Job:
    """Return what is left of an ended job; its steps must not be used.

    :param key: key of the row, which is the job's id.
    :raises ProtocolError: the value is not a valid compacted row.
    """
    try:
        document = orjson.loads(value)
        queue = Queue(document["queue"], "", "", "", 0, 1, 1.0, 0.0)
        accepted_s, repeats = document["accepted_s"], document["repeats"]
        job = Job(key, queue, "", NO_STEPS, accepted_s, repeats)
        check_job(job)
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="jobs.decode_row") from error
    return job


def decode_job(key: str, value: bytes) -> Job:
    """Return the job of a row.

    :param key: key of the row, which is the job's id.
    :raises ProtocolError: the value is not a valid job, or belongs to another key.
    """
    try:
        document = orjson.loads(value)
        steps = tuple(_build_step(step) for step in document["steps"])
        queue = Queue(**document["queue"])
        job = Job(**{**document, "steps": steps, "queue": queue})
        check_job(job)
        if job.job_id != key:
            raise ValueError("the row's key is the id of another job")
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="jobs.decode_row") from error
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
