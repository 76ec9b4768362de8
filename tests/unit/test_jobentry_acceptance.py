"""Outcomes of inserts while the store is unavailable, and whether rows appear."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.jobentry.acceptance import FIRST_PROBE_DELAY_S, Acceptance
from pistachiodeal.jobs.rows import JOBS_TABLE
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

BUDGET_S = 1.2
PERIOD_S = 0.02
ACCEPTED = "accepted"


@dataclass
class Callers:
    """Callers that each insert one row.

    :ivar outcomes: outcome of each call: accepted, ``not_run`` or ``unknown``.
    """

    acceptance: Acceptance
    budget_s: float = BUDGET_S
    outcomes: dict[str, str] = field(default_factory=dict)

    async def call(self, key: str, value: bytes = b"row") -> None:
        try:
            await self.acceptance.insert(key, value, self.budget_s)
        except RequestError as error:
            self.outcomes[key] = str(error.outcome)
        else:
            self.outcomes[key] = ACCEPTED

    async def call_often(self, count: int) -> None:
        """Start a caller every ``PERIOD_S``; wait until all are answered."""
        async with curio.TaskGroup() as group:
            for number in range(count):
                await group.spawn(self.call, f"{number:04d}")
                await curio.sleep(PERIOD_S)

    def count(self) -> Counter[str]:
        return Counter(self.outcomes.values())


@asynccontextmanager
async def run_acceptance() -> AsyncIterator[tuple[RowsState, Callers]]:
    state = RowsState()
    acceptance = Acceptance(MemoryRows(state), create_quiet_log())
    task = await curio.spawn(acceptance.run, daemon=True)
    try:
        yield state, Callers(acceptance)
    finally:
        await task.cancel()


def test_an_outage_leaves_only_the_calls_of_its_first_moment_unknown():
    """During an outage, 41 of 266 inserts had the outcome "unknown": no safe retry.

    The store was probed with a caller's insert every 0.3 s, and an insert without an
    answer may still be carried out.
    """

    async def main():
        async with run_acceptance() as (state, callers):
            state.faults.silent = True
            await callers.call_often(80)
            return callers.count()

    outcomes = curio.run(main)
    # The stand-in times calls out after 0.2 s. Only calls in flight by then end as
    # unknown.
    assert outcomes[Outcome.UNKNOWN] <= 0.2 / PERIOD_S + 1
    assert outcomes[Outcome.NOT_RUN] >= 80 - outcomes[Outcome.UNKNOWN]


def test_an_insert_without_an_answer_is_settled_while_its_caller_waits():
    """A caller that waits for 1.2 s got "unknown" 0.3 s into an outage of 0.5 s.

    An insert without an answer was abandoned after two tries.
    """

    async def main():
        async with run_acceptance() as (state, callers):
            state.faults.silent = True
            call = await curio.spawn(callers.call, "0001")
            await curio.sleep(0.5)
            state.faults.silent = False
            await call.join()
            return callers.outcomes, state.rows

    outcomes, rows = curio.run(main)
    assert outcomes == {"0001": ACCEPTED}
    assert (JOBS_TABLE, "0001") in rows


def test_an_insert_reported_as_not_run_never_takes_effect():
    """Guards against a job that runs although its caller was told "not run".

    It would happen if a row that was sent once were refused as "not run": with lost
    answers and repeated outages, the store may carry it out late.
    """

    async def main():
        async with run_acceptance() as (state, callers):
            sender = await curio.spawn(callers.call_often, 150)
            for _ in range(4):
                state.faults.lost, state.faults.late = 0.3, 0.3
                await curio.sleep(0.4)
                state.faults.silent = True
                await curio.sleep(0.3)
                state.faults.silent = False
            state.faults.lost = state.faults.late = 0.0
            await sender.join()
            await curio.sleep(1.2)
            return callers.outcomes, state.rows

    outcomes, rows = curio.run(main)
    for key, outcome in outcomes.items():
        there = (JOBS_TABLE, key) in rows
        assert there if outcome == ACCEPTED else outcome == Outcome.UNKNOWN or not there


def test_a_store_that_refuses_writes_is_not_written_to_in_a_loop():
    """Guards against one entry's retries using up the store's write rate.

    It would happen if each successful probe retried an insert without an answer at
    once, while the store refuses writes and answers reads.
    """

    async def main():
        async with run_acceptance() as (state, callers):
            state.faults.lost = 1.0
            call = await curio.spawn(callers.call, "0001")
            while not state.transactions:
                await curio.sleep(0.001)
            state.faults.lost, state.faults.busy = 0.0, True
            await call.join()
            return state.commits, callers.outcomes

    commits, outcomes = curio.run(main)
    assert outcomes == {"0001": Outcome.UNKNOWN}
    assert 2 <= commits <= BUDGET_S / FIRST_PROBE_DELAY_S + 1


def call_with_little_time(budget_s: float) -> tuple[str, int]:
    """Return the outcome of an insert with this time left, and the number of rows."""

    async def main() -> tuple[str, int]:
        async with run_acceptance() as (state, callers):
            callers.budget_s = budget_s
            await callers.call("0001")
            await curio.sleep(0.05)
            return callers.outcomes["0001"], len(state.rows)

    return curio.run(main)


def test_a_caller_with_little_time_left_is_served_by_a_store_that_answers():
    """Callers that retried shortly before their deadline got "unknown" at once.

    With 0.2 s left, the insert was sent and abandoned in the same moment, because 0.3 s
    were always reserved for sending the response.
    """
    assert call_with_little_time(0.2) == (ACCEPTED, 1)


def test_a_caller_without_time_is_told_that_nothing_ran():
    assert call_with_little_time(0.01) == (str(Outcome.NOT_RUN), 0)


def test_a_row_that_the_store_rejects_does_not_refuse_others():
    """Guards against callers that are turned away because of another one's request.

    A rejected transaction was taken for an outage of the store, for all of its rows.
    """

    async def main():
        async with run_acceptance() as (state, callers):
            state.row_bytes, state.faults.slow_s = 10, 0.02
            async with curio.TaskGroup() as group:
                for number in range(20):
                    await group.spawn(callers.call, f"{number:04d}")
                await group.spawn(callers.call, "0020", b"row of over ten bytes")
            return callers.outcomes

    outcomes = curio.run(main)
    assert outcomes.pop("0020") == Outcome.NOT_RUN
    assert set(outcomes.values()) == {ACCEPTED}
