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


def parse_partition_key(key: str) -> int | None:
    """Return the partition of a row that names an owner, None for any other key."""
    number = key.removeprefix(PARTITION_PREFIX)
    if not (number.isascii() and number.isdecimal() and len(number) <= 9):
        return None
    return int(number) if partition_key(int(number)) == key else None


def journal_prefix(partition: int) -> str:
    """Return the common prefix of the keys of a partition's journal."""
    return f"journal/{partition:04d}/"


def journal_key(partition: int, seq: int) -> str:
    """Return the key of a journal row."""
    return f"{journal_prefix(partition)}{seq:012d}"


def snapshot_key(partition: int) -> str:
    """Return the key of the row that names a partition's snapshot."""
    return f"snapshot/{partition:04d}"


def snapshot_object(partition: int, seq: int, epoch: int) -> str:
    """Return the object key of a snapshot; each epoch writes its own objects."""
    return f"snapshot/{partition:04d}/{seq:012d}-{epoch}"


def read_snapshot_seq(row: Row) -> int:
    """Return the number of the last journal row that a snapshot includes."""
    return int(orjson.loads(row.value)["seq"])


def build_task_id(team: str, idempotency_key: str, partitions: int) -> str:
    """Return the id of a task; the same team and key always give the same id.

    The key is hashed with SHA-256 because callers choose it: with a weaker hash a
    caller could construct a key whose task id collides with that of another task.
    """
    key = f"{team}\0{idempotency_key}".encode()
    partition = xxhash.xxh64_intdigest(key) % partitions
    digest = hashlib.sha256(key).hexdigest()[:_ID_HEX]
    return f"{partition:0{_PARTITION_DIGITS}d}-{digest}"


def parse_partition(task_id: str, partitions: int) -> int | None:
    """Return the partition of a task id, None if the id is not valid."""
    head, dash, rest = task_id.partition("-")
    plain = head.isascii() and head.isdigit() and len(head) == _PARTITION_DIGITS
    if not (plain and dash and rest):
        return None
    partition = int(head)
    return partition if partition < partitions else None
