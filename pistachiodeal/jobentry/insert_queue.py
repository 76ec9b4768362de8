"""Inserts that wait for the store, by partition.

The load that this answers: many callers hand jobs in while the store is slow. A
partition does one transaction after another, so a second one of the same entry would
only stand behind the first; what comes meanwhile goes together in the next. Those of
other partitions don't wait for either.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobs.rows import JOBS_TABLE, find_partition

# Each insert is a condition and a write, and a transaction takes 100 entries.
MAX_INSERTS_PER_TRANSACTION = 40


@dataclass(slots=True, eq=False)
class Insert:
    """One row on its way.

    :param tries: tries that were sent; one without an answer may still take effect.
    :param abandoned: its caller has been answered; it is not to be sent any more.
    """

    key: str
    value: bytes
    tries: int = 0
    abandoned: bool = False
    error: RequestError | None = None
    done: curio.Event = field(default_factory=curio.Event)


class InsertQueue:
    """Hands out batches; a partition has one batch out at a time."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[Insert]] = {}
        self._ready: curio.Queue = curio.Queue()

    async def put(self, insert: Insert) -> None:
        """Add an insert to its partition's next batch."""
        partition = find_partition(JOBS_TABLE, insert.key)
        # A partition is known here from its first insert until nothing of it waits
        # or is out.
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
        """Note that a partition's batch is settled; its next one may go."""
        if self._waiting[partition]:
            await self._ready.put(partition)
        else:
            del self._waiting[partition]
