"""Cancels jobs, also those whose submission may not be stored yet."""

from __future__ import annotations

from collections import deque

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.rows import CANCEL_VALUE, build_cancel_key
from pistachiodeal.jobs.tombstones import (
    TOMBSTONE_KEPT_S,
    TOMBSTONE_VALUE,
    is_tombstone,
)

# Tombstones of one entry that are kept at a time. A leader holds those of all entries,
# and a new one has to read them.
MAX_TOMBSTONES = 1_000


class JobCanceller:
    """Makes cancellations durable.

    :param max_tombstones: how many ids without a job may be cancelled in the time for
        which a tombstone is kept.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        states: JobStates,
        events: EventLog,
        *,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self._acceptance = acceptance
        self._states = states
        self._events = events
        self._max_tombstones = max_tombstones
        self._written_at: deque[float] = deque()

    async def cancel(self, job_id: str, budget_s: float) -> bool:
        """Cancel a job; tell whether it exists.

        If it doesn't, no submission that was sent before will create it either.

        :param budget_s: how long the caller waits, seconds.
        :raises RequestError: the cancellation may not be durable.
        :raises StoreError: the store doesn't answer.
        """
        began_at = read_boot_clock()
        if not await self._states.exists(job_id):
            if await self._withdraw(job_id, budget_s):
                return False
            budget_s -= read_boot_clock() - began_at
        key = build_cancel_key(job_id)
        await self._acceptance.insert(key, CANCEL_VALUE, budget_s)
        await self._states.announce(key)
        return True

    async def _withdraw(self, job_id: str, budget_s: float) -> bool:
        """Insert a tombstone; return False if the submission was stored meanwhile."""
        self._admit_tombstone()
        found = await self._acceptance.find_or_insert(job_id, TOMBSTONE_VALUE, budget_s)
        if found is not None and not is_tombstone(found):
            return False
        await self._states.announce(job_id)
        self._events.emit("job.withdrawn", job=job_id, repeated=found is not None)
        return True

    def _admit_tombstone(self) -> None:
        now = read_boot_clock()
        while self._written_at and now - self._written_at[0] > TOMBSTONE_KEPT_S:
            self._written_at.popleft()
        if len(self._written_at) >= self._max_tombstones:
            raise RequestError(
                f"{self._max_tombstones} ids without a job were cancelled within "
                f"{TOMBSTONE_KEPT_S:.0f} s",
                code="too_many_cancellations",
                status=503,
                retry_after=self._written_at[0] + TOMBSTONE_KEPT_S - now,
                step="jobs.cancel",
            )
        self._written_at.append(now)
