"""Keys of the rows and objects that hold the batch queue."""

from __future__ import annotations

import hashlib

import orjson
import xxhash

from pistachiodeal.store.protocols import Row

ENTRY_PREFIX = "entry/"
PARTITION_PREFIX = "partition/"
_ID_HEX = 32
_PARTITION_DIGITS = 4


def partition_key(partition: int) -> str:
    """Return the key of the row that names a partition's owner."""
    return f"partition/{partition:04d}"


def journal_prefix(partition: int) -> str:
    """Return the common start of a partition's journal keys."""
    return f"journal/{partition:04d}/"


def journal_key(partition: int, seq: int) -> str:
    """Return the key of a journal row."""
    return f"{journal_prefix(partition)}{seq:012d}"


def snapshot_key(partition: int) -> str:
    """Return the key of the row that names a partition's snapshot."""
    return f"snapshot/{partition:04d}"


def snapshot_object(partition: int, seq: int, epoch: int) -> str:
    """Return the object key of a snapshot; owners never share one."""
    return f"snapshot/{partition:04d}/{seq:012d}-{epoch}"


def read_snapshot_seq(row: Row) -> int:
    """Return the last journal row that a partition's snapshot holds."""
    return int(orjson.loads(row.value)["seq"])


def build_task_id(team: str, idempotency_key: str, partitions: int) -> str:
    """Return a task's id; the same team and key always give the same one.

    The key is hashed with SHA-256, since callers choose it: with a weaker hash
    one could be made whose task id is another's.
    """
    key = f"{team}\0{idempotency_key}".encode()
    partition = xxhash.xxh64_intdigest(key) % partitions
    digest = hashlib.sha256(key).hexdigest()[:_ID_HEX]
    return f"{partition:0{_PARTITION_DIGITS}d}-{digest}"


def parse_partition(task_id: str, partitions: int) -> int | None:
    """Return the partition of a task id, None when it is none of ours."""
    head, dash, rest = task_id.partition("-")
    plain = head.isascii() and head.isdigit() and len(head) == _PARTITION_DIGITS
    if not (plain and dash and rest):
        return None
    partition = int(head)
    return partition if partition < partitions else None
