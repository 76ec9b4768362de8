"""Data centres in which nothing may be started until the operator opens them again.

The leader places nothing there. An order may still be on its way, or with a leader that
stood still, when a data centre is closed; so each directive says until when its starts
may begin, and that moment follows from the leader's last look at the closed data
centres. See ``docs/design/closed-data-centres.md``.
"""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import StoreError
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.platform.closures import ClosedDataCentres, read_closed
from pistachiodeal.store.row_store import RowStore

log = Logger("leader")

LOOK_S = 0.4
RETRY_S = 0.15
# An agent may have checked an order just before its time was over, and the runner takes
# a moment to begin.
START_MARGIN_S = 1.0


class ClosureWatch:
    """Keeps the fleet's closed data centres as the operator has them.

    :param closing_s: nothing may start later than this after a closing.
    """

    def __init__(
        self, store: RowStore, fleet: Fleet, closing_s: float, events: EventLog
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._allowed_s = max(0.0, closing_s - START_MARGIN_S)
        self._events = events
        self._version = 0
        self._seen_at = 0.0

    @property
    def starts_until(self) -> float:
        """Return until when starts may begin that are decided now, boot clock.

        What was closed after the last look is not in force before then.
        """
        return self._seen_at + self._allowed_s

    async def look(self) -> None:
        """Read which data centres are closed.

        :raises StoreError: the store has not answered.
        """
        asked_at = read_boot_clock()
        closed = await read_closed(self._store)
        # Answers may overtake each other.
        if closed.version < self._version:
            return
        self._version = closed.version
        self._seen_at = max(self._seen_at, asked_at)
        self._take(closed)

    async def run(self) -> None:
        """Look for ever."""
        while True:
            pause_s = LOOK_S
            try:
                await self.look()
            except StoreError as error:
                log.debug("leader: cannot look at closed data centres: {}", error)
                pause_s = RETRY_S
            await curio.sleep(pause_s)

    def _take(self, closed: ClosedDataCentres) -> None:
        before = self._fleet.closed
        if closed.names == before:
            return
        self._fleet.close(closed.names)
        for name in sorted(closed.names - before):
            self._emit("data_centre.closed", name, closed.version)
        for name in sorted(before - closed.names):
            self._emit("data_centre.opened", name, closed.version)

    def _emit(self, event: str, name: str, version: int) -> None:
        workers = self._fleet.workers.values()
        self._events.emit(
            event,
            data_centre=name,
            version=version,
            workers=sum(worker.data_centre == name for worker in workers),
        )
