"""The copy of the configuration that an entry keeps."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import Outcome, RequestError, StoreUncertainError
from pistachiodeal.jobentry.api import CallerApi
from pistachiodeal.jobentry.configuration import (
    MAX_URGENT_READS,
    REREAD_PAUSE_S,
    ConfigurationWatcher,
)
from pistachiodeal.jobentry.configuration_copy import ConfigurationCopy
from pistachiodeal.jobs.model import JobState
from pistachiodeal.store.row_store import RowPage
from pistachiodeal.web.messages import WebRequest
from pistachiodeal.wire.configuration_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_jobentry_api import (
    HEADERS,
    JOB_ID,
    ROUTE,
    build_configuration,
    watch_alone,
    write_configuration,
)


class HangingRows(MemoryRows):
    """A store whose long polls hear nothing, and which leaves calls unanswered.

    :ivar hanging: number of the next calls that get no answer.
    :ivar reads: number of reads of the row.
    :ivar too_large: whether reads of the row time out.
    :ivar silent: whether calls for changes hear of none.
    """

    def __init__(self, state: RowsState) -> None:
        super().__init__(state)
        self.hanging = 0
        self.reads = 0
        self.too_large = False
        self.silent = False

    async def read(self, table: str, *others) -> RowPage:
        """Count and read, or time out."""
        self.reads += 1
        if self.too_large:
            await curio.sleep(1.0)
            raise StoreUncertainError("no answer", step="read")
        return await super().read(table, *others)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Hear nothing, or answer a short call unless it is one that hangs."""
        if wait_s > 1.0:
            await curio.sleep(wait_s)
            return RowPage((), after)
        if self.hanging:
            self.hanging -= 1
            await curio.sleep(100.0)
        if self.silent:
            return RowPage((), self._state.version)
        return await super().follow(table, after, wait_s)


def test_a_check_without_an_answer_does_not_hold_up_the_next():
    """Guards against a version that waits for a call on a dead connection to end."""

    async def main(clock: SimulatedClock) -> int:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        configuration = await watch_alone(store, create_quiet_log())
        await curio.sleep(0.1)
        store.hanging = 1
        write_configuration(state, build_configuration(2, [ROUTE]))
        await curio.sleep(2.0)
        return configuration.version

    assert run_simulated(main) == 2


def test_a_configuration_that_stays_as_it_is_is_not_transferred_again():
    """Guards against a large configuration that takes up the link of a weak VM."""

    async def main(clock: SimulatedClock) -> tuple[int, float, int]:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        configuration = await watch_alone(store, create_quiet_log())
        history: list[int] = []
        for _ in range(60):
            await curio.sleep(1.0)
            # Other tables change, and the store keeps 20 s of its history.
            state.version += 1
            history.append(state.version)
            state.oldest = history[-20] if len(history) >= 20 else 0
        told = configuration.answer(ConfigurationQuery(configuration.version))
        return store.reads, configuration.age_s, len(told.value)

    reads, age_s, told_bytes = run_simulated(main)
    assert (reads, told_bytes) == (1, 0)
    assert age_s < 1.0


def test_a_row_that_is_too_large_for_the_link_is_read_with_pauses():
    """Guards against reads without success that leave a link no room for callers."""

    async def main(clock: SimulatedClock) -> int:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        await watch_alone(store, create_quiet_log())
        await curio.sleep(1.0)
        store.too_large = True
        state.version += 1
        state.drop_history()
        await curio.sleep(30.0)
        return store.reads - 1

    assert 1 <= run_simulated(main) <= 30.0 / REREAD_PAUSE_S + 1


def test_a_queue_that_can_not_be_read_holds_up_no_other():
    """Guards against a version that is not in force because of one malformed queue."""

    async def main(clock: SimulatedClock) -> list[str]:
        state = RowsState()
        configuration = await watch_alone(MemoryRows(state), create_quiet_log())
        unnamed, unreadable = {**ROUTE, "name": None}, {**ROUTE, "priority": "high"}
        added = {**ROUTE, "name": "added", "path_prefix": "/added/"}
        write_configuration(state, build_configuration(1, [ROUTE]))
        await curio.sleep(0.1)
        routes = [unreadable, unnamed, "", added]
        write_configuration(state, build_configuration(2, routes))
        await curio.sleep(0.1)
        assert configuration.version == 2
        return [configuration.find("host", path).name for path in ("/added/x", "/q/x")]

    assert run_simulated(main) == ["added", "q"]


@pytest.mark.parametrize(("version", "expected"), [(1, 2), (2, 2), (3, 3)])
def test_a_copy_of_another_entry_counts_for_no_more_than_it_is(version, expected):
    """Guards against an older copy that replaces a newer one or passes for fresh."""
    told_age_s = 3.0

    async def main(clock: SimulatedClock) -> int:
        state, events = RowsState(), create_quiet_log()
        store = MemoryRows(state)
        write_configuration(state, build_configuration(2, [ROUTE]))

        async def ask_entry(address: str, known: int) -> ConfigurationAnswer:
            value = build_configuration(version, [ROUTE])
            return ConfigurationAnswer(version, value, int(told_age_s * 1000))

        copy = ConfigurationCopy(events)
        watcher = ConfigurationWatcher(store, copy, events, ask_entry, lambda: ["e2"])
        await curio.spawn(watcher.run, daemon=True)
        await curio.sleep(0.1)
        store.cut = True
        await curio.spawn(watcher.ask_entries, daemon=True)
        await curio.sleep(10.0)
        assert copy.age_s >= told_age_s
        return copy.version

    assert run_simulated(main) == expected


class KnownStates:
    """Job states that are all known, whatever the store does."""

    async def find_state(self, job_id: str) -> JobState:
        """Return the state of a job at work."""
        return JobState.ACTIVE


@pytest.mark.parametrize(
    ("age_s", "status_of_known", "status_of_unknown"),
    [(1.0, 200, 404), (3.0, 200, 503), (8.0, 503, 503)],
)
def test_a_configuration_that_may_be_outdated_decides_nothing_final(
    age_s, status_of_known, status_of_unknown
):
    """Guards against "not found" for a queue that the entry hasn't heard of yet."""

    async def main(clock: SimulatedClock) -> tuple[int, int]:
        state = RowsState()
        store, events = MemoryRows(state), create_quiet_log()
        write_configuration(state, build_configuration(1, [ROUTE]))
        configuration = await watch_alone(store, events)
        api = CallerApi(
            configuration,
            None,
            KnownStates(),
            events,
            row_bytes=1,
            limits=LimitSettings(),
        )
        await curio.sleep(0.1)
        store.cut = True
        while configuration.age_s < age_s:
            await curio.sleep(0.1)
        known, unknown = await ask(api, "/q/"), await ask(api, "/added/")
        store.cut = False
        await curio.sleep(1.5)
        assert (await ask(api, "/q/"), await ask(api, "/added/")) == (200, 404)
        return known, unknown

    assert run_simulated(main) == (status_of_known, status_of_unknown)


async def ask(api: CallerApi, prefix: str) -> int:
    """Return the status of a query; a refusal has to say that nothing was done."""
    try:
        return (await api.handle(WebRequest("GET", prefix + JOB_ID, HEADERS))).status
    except RequestError as error:
        assert error.outcome is Outcome.NOT_RUN
        assert error.status == 404 or error.retry_after
        return error.status


def test_a_check_before_a_loss_of_history_confirms_nothing():
    """Guards against a copy that is older than its stated age.

    For a second before the store drops its history, checks don't hear of a change. The
    row can't be read after that.
    """

    async def main(clock: SimulatedClock) -> tuple[int, float]:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        configuration = await watch_alone(store, create_quiet_log())
        await curio.sleep(5.0)
        store.silent = store.too_large = True
        write_configuration(state, build_configuration(2, [ROUTE]))
        written_at = clock.now
        await curio.sleep(1.0)
        store.silent = False
        state.drop_history()
        await curio.sleep(0.8)
        return configuration.version, configuration.age_s - (clock.now - written_at)

    version, ahead_s = run_simulated(main)
    assert version == 1
    assert ahead_s >= 0.0


def test_an_entry_that_is_alone_reads_after_each_loss_of_history():
    """Guards against a version that waits for the pause between reads.

    The history is lost a second time within the pause. The reads that don't wait are
    limited, as the row may be large.
    """

    async def main(clock: SimulatedClock) -> tuple[list[int], int]:
        state = RowsState()
        store = HangingRows(state)
        write_configuration(state, build_configuration(1, [ROUTE]))
        configuration = await watch_alone(store, create_quiet_log())
        versions = []
        for version in range(2, 6):
            write_configuration(state, build_configuration(version, [ROUTE]))
            state.drop_history()
            await curio.sleep(0.8)
            versions.append(configuration.version)
        reads = store.reads
        for _ in range(20):
            state.version += 1
            state.drop_history()
            await curio.sleep(1.0)
        return versions[:3], store.reads - reads

    versions, reads = run_simulated(main)
    assert versions == [2, 3, 4]
    assert reads <= 20.0 / REREAD_PAUSE_S + 2 * MAX_URGENT_READS + 1
