"""The copy of the configuration that an entry keeps."""

from __future__ import annotations

import curio

from pistachiodeal.platform.configuration import CONFIG_KEY
from pistachiodeal.store.row_store import RowPage
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_jobentry_api import (
    ROUTE,
    build_configuration,
    create_lone_watcher,
    write_configuration,
)


class HangingRows(MemoryRows):
    """A store whose feed hears nothing, and which leaves some reads unanswered.

    :ivar hanging: number of the next reads that get no answer.
    """

    def __init__(self, state: RowsState) -> None:
        super().__init__(state)
        self.hanging = 0

    async def read(self, table: str, start: str = "", *others) -> RowPage:
        """Read, unless it is the turn of a read that hangs."""
        if start == CONFIG_KEY and self.hanging:
            self.hanging -= 1
            await curio.sleep(100.0)
        return await super().read(table, start, *others)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Hear nothing."""
        await curio.sleep(wait_s)
        return RowPage((), after)


def test_a_read_without_an_answer_does_not_hold_up_the_next():
    """Guards against a version that waits for a read on a dead connection to end."""

    async def main(clock: SimulatedClock) -> int:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        watcher = create_lone_watcher(store, create_quiet_log())
        await curio.spawn(watcher.run, daemon=True)
        await curio.spawn(watcher.poll, daemon=True)
        await curio.sleep(0.1)
        store.hanging = 1
        write_configuration(state, build_configuration(2, [ROUTE]))
        await curio.sleep(2.0)
        return watcher.version

    assert run_simulated(main) == 2
