"""A queue of inserts that batches them by partition.

A partition of the store executes transactions serially, so a second concurrent
transaction of the same entry would only queue behind the first. While one is in flight,
further inserts of the partition are collected for the next batch. Partitions don't wait
for each other. This keeps up with many submissions while the store is slow.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobs.rows import JOBS_TABLE, find_partition

# Each insert takes a condition and a write; a transaction is limited to 100 of both.
MAX_INSERTS_PER_TRANSACTION = 40


@dataclass(slots=True, eq=False)
class Insert:
    """One row to be inserted.

    :param expires_at: no try is sent after this time, seconds of the boot clock.
    :param tries: number of tries sent; one without an answer may still take effect.
    :param abandoned: its caller has been answered, so it must not be sent any more.
    :param found: value of the row that was there already, None if it was inserted.
    """

    key: str
    value: bytes
    expires_at: float
    tries: int = 0
    abandoned: bool = False
    found: bytes | None = None
    error: RequestError | None = None
    done: curio.Event = field(default_factory=curio.Event)


class InsertQueue:
    """Hands out batches, at most one per partition at a time."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[Insert]] = {}
        self._ready: curio.Queue = curio.Queue()

    async def put(self, insert: Insert) -> None:
        """Add an insert to its partition's next batch."""
        partition = find_partition(JOBS_TABLE, insert.key)
        # A partition has an entry in the dictionary while any of its inserts are
        # waiting or handed out.
        if partition in self._waiting:
            self._waiting[partition].append(insert)
            return
        self._waiting[partition] = [insert]
        await self._ready.put(partition)

    async def take(self) -> tuple[str, list[Insert]]:
        """Wait for a batch; return it with its partition, for :meth:`finish`."""
        partition = await self._ready.get()
        waiting = self._waiting[partition]
        batch = waiting[:MAX_INSERTS_PER_TRANSACTION]
        del waiting[:MAX_INSERTS_PER_TRANSACTION]
        return partition, batch

    async def finish(self, partition: str) -> None:
        """Mark a partition's batch as finished, so that its next one may start."""
        if self._waiting[partition]:
            await self._ready.put(partition)
        else:
            del self._waiting[partition]
