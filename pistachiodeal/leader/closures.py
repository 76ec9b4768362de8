"""Keeps track of the data centres that the operator has closed to new runs.

The leader places nothing there. When a data centre is closed, an order may still be in
transit, or held by a leader that was suspended. So each directive has a deadline for
its starts, which counts from the leader's last read of the closed data centres. See
``docs/design/closed-data-centres.md``.
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

REFRESH_S = 0.4
RETRY_S = 0.15
# An agent may check an order just before its deadline, and the runner then takes some
# time to start it.
START_MARGIN_S = 1.0


class ClosureWatch:
    """Keeps the fleet's closed data centres up to date with the operator's list.

    :param closing_s: how long after a closing runs may still start.
    """

    def __init__(
        self, store: RowStore, fleet: Fleet, closing_s: float, events: EventLog
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._allowed_s = max(0.0, closing_s - START_MARGIN_S)
        self._events = events
        self._version = 0
        self._refreshed_at = 0.0

    @property
    def starts_until(self) -> float:
        """Return the deadline for starts that are decided now, boot clock.

        A closing after the last read takes effect only later than this.
        """
        return self._refreshed_at + self._allowed_s

    async def refresh(self) -> None:
        """Read and apply which data centres are closed.

        :raises StoreError: the store has not answered.
        """
        asked_at = read_boot_clock()
        closed = await read_closed(self._store)
        # Answers may arrive out of order.
        if closed.version < self._version:
            return
        self._version = closed.version
        self._refreshed_at = max(self._refreshed_at, asked_at)
        self._apply(closed)

    async def run(self) -> None:
        """Refresh periodically, without end."""
        while True:
            pause_s = REFRESH_S
            try:
                await self.refresh()
            except StoreError as error:
                log.debug("leader: cannot read the closed data centres: {}", error)
                pause_s = RETRY_S
            await curio.sleep(pause_s)

    def _apply(self, closed: ClosedDataCentres) -> None:
        closed_before = self._fleet.closed
        if closed.names == closed_before:
            return
        self._fleet.close(closed.names)
        for name in sorted(closed.names - closed_before):
            self._emit("data_centre.closed", name, closed.version)
        for name in sorted(closed_before - closed.names):
            self._emit("data_centre.opened", name, closed.version)

    def _emit(self, event: str, name: str, version: int) -> None:
        workers = self._fleet.workers.values()
        self._events.emit(
            event,
            data_centre=name,
            version=version,
            workers=sum(worker.data_centre == name for worker in workers),
        )
