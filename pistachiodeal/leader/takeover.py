"""What a process does between its election and its first decision."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.commits import FencedWriter, LeaderTerm
from pistachiodeal.leader.loader import JobLoader
from pistachiodeal.task_groups import gather, run_until_first_exit

log = Logger("leader")

CONFIRM_S = 0.25
RETRY_S = 0.2
# Progress is logged about once a second.
TICKS_PER_LOG = 4
# A leader whose row was not confirmed for this long doesn't begin to decide.
MAX_UNCONFIRMED_S = 1.2


class Takeover:
    """Reads what a new leader has to know, and keeps its row confirmed meanwhile."""

    def __init__(
        self,
        loader: JobLoader,
        closures: ClosureWatch,
        writer: FencedWriter,
        term: LeaderTerm,
        events: EventLog,
    ) -> None:
        self._loader = loader
        self._closures = closures
        self._writer = writer
        self._term = term
        self._events = events

    @property
    def progress_age_s(self) -> float:
        """Return the time since the load last made progress, seconds.

        A leader whose load makes none has to be replaced even if the store answers its
        other calls, whereas one that is slow would only be replaced by another that has
        to begin anew.
        """
        seen_at = max(self._term.asked_at, self._loader.progressed_at)
        return read_boot_clock() - seen_at

    async def run(self) -> None:
        """Return once everything is known and this process still leads.

        :raises FencedError: another process leads now.
        """
        await run_until_first_exit(self._read, self._watch)
        await self._wait_confirmed()

    async def _read(self) -> None:
        await gather(self._read_closures, self._loader.load)

    async def _read_closures(self) -> None:
        while True:
            try:
                await self._closures.refresh()
                return
            except StoreError as error:
                log.info("leader: cannot read the closed data centres yet: {}", error)
                await curio.sleep(RETRY_S)

    async def _watch(self) -> None:
        """Confirm the leader's row and log the progress."""
        ticks = 0
        while True:
            await curio.sleep(CONFIRM_S)
            await self._writer.confirm()
            ticks += 1
            if ticks % TICKS_PER_LOG == 0:
                self._events.emit(
                    "leader.loading",
                    epoch=self._term.epoch,
                    rows=self._loader.row_count,
                    store_age_ms=int(self.progress_age_s * 1000),
                    confirmed_ms=int(self._writer.unconfirmed_s * 1000),
                )

    async def _wait_confirmed(self) -> None:
        """Wait until the store has confirmed this leader recently.

        A process that was suspended may have read rows that its successor wrote.
        """
        while self._writer.unconfirmed_s > MAX_UNCONFIRMED_S:
            await self._writer.confirm()
            if self._writer.unconfirmed_s > MAX_UNCONFIRMED_S:
                await curio.sleep(RETRY_S)
