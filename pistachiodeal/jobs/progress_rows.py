"""Divides a job's progress among several rows if it is too large for one.

The head is the row with the job's id as its key; the other rows hold the compressed
progress and are numbered from 1. Every write of a job is one transaction, on condition
that the head is as it was read. So the rows change together, and a write that is
carried out late changes none of them.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.model import JobState
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.store.row_store import StoredRow

SEPARATOR = "/"
STEP = "jobs.join_progress"
# Fast, and the names of tasks and places shrink to a tenth.
COMPRESSION_LEVEL = 1
# Rows of another writer could be decompressed to any size.
MAX_PROGRESS_BYTES = 64_000_000
# A transaction has room for no more. Rows with other numbers are of another writer.
MAX_PARTS = 90
_NUMBERS = {str(number): number for number in range(1, MAX_PARTS + 1)}


@dataclass(slots=True)
class ProgressRows:
    """The rows that hold the progress of one job.

    :param parts: values of the rows beside the head, by number.
    """

    head: StoredRow | None = None
    parts: dict[int, bytes] = field(default_factory=dict)

    def join(self) -> bytes:
        """Return the whole progress, as it was before it was divided.

        :raises ProtocolError: a row is missing, or not of the same write as the head.
        """
        assert self.head is not None
        value = self.head.value
        try:
            document = orjson.loads(value)
            if "parts" not in document:
                return value
            numbers = range(1, document["parts"] + 1)
            packed = b"".join(self.parts[number] for number in numbers)
            if sha256(packed).hexdigest() != document["digest"]:
                raise ValueError("the rows are of different writes")
            return _decompress(packed)
        except (*MALFORMED, zlib.error) as error:
            raise ProtocolError(describe(error), step=STEP) from error


def divide_progress(value: bytes, state: JobState, row_bytes: int) -> tuple[bytes, ...]:
    """Return the values of the rows for a job's progress, the head first.

    :param value: the whole progress.
    :param row_bytes: largest row that the store accepts, bytes.
    """
    if len(value) <= row_bytes:
        return (value,)
    packed = zlib.compress(value, COMPRESSION_LEVEL)
    parts = [
        packed[start : start + row_bytes] for start in range(0, len(packed), row_bytes)
    ]
    # The digest also makes heads of different writes differ.
    head = {
        "state": state.value,
        "parts": len(parts),
        "digest": sha256(packed).hexdigest(),
    }
    return (orjson.dumps(head), *parts)


def build_part_key(job_id: str, number: int) -> str:
    """Return the key of a row beside the head."""
    return f"{job_id}{SEPARATOR}{number}"


def collect_progress(rows: Iterable[StoredRow]) -> dict[str, ProgressRows]:
    """Return the progress rows by job."""
    found: dict[str, ProgressRows] = {}
    for row in rows:
        job_id, separator, number = row.key.partition(SEPARATOR)
        progress = found.setdefault(job_id, ProgressRows())
        if not separator:
            progress.head = row
        elif number in _NUMBERS:
            progress.parts[_NUMBERS[number]] = row.value
    return found


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(packed, MAX_PROGRESS_BYTES)
    if not decompressor.eof:
        raise ValueError("the progress is incomplete, or too large")
    return value
