"""Writes and submissions while the store is a hundred times slower.

The stand-in executes the transactions of a partition serially, 0.3 s each, and refuses
them when more than a second of them are queued; each call takes another 0.4 s.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
import pytest

from pistachiodeal.exceptions import RequestError, StoreError
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    UNDIVIDED_PARTITION,
    find_partition,
    list_partitions,
)
from pistachiodeal.jobs.tables import read_submission, read_submissions
from pistachiodeal.platform.rows import PlatformRows, create_rows
from pistachiodeal.store.adaptive_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AdaptiveTimeout,
)
from pistachiodeal.store.row_store import ABSENT, RowCondition, RowWrite, Transaction
from tests.harness.ports import reserve_port
from tests.soak.platform import StoreServer
from tests.standins import base
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

SLOW_S = 0.4
TRANSACTION_S = 0.3
CALLER_S = 3.0


def slow_down(state: RowsState) -> None:
    """Make the store a hundred times slower."""
    state.faults.slow_s, state.faults.transaction_s = SLOW_S, TRANSACTION_S


@asynccontextmanager
async def run_store() -> AsyncIterator[tuple[RowsState, PlatformRows]]:
    """Run the store's stand-in, and connect a client of the platform to it."""
    state, port = RowsState(), reserve_port()
    server = StoreServer(state)
    sock = curio.network.tcp_server_socket(base.HOST, port, backlog=100)
    task = await curio.spawn(base.serve, server, sock, daemon=True)
    try:
        yield state, create_rows(f"{base.HOST}:{port}", find_partition)
    finally:
        await task.cancel()


def test_a_slow_store_still_completes_the_writes_of_a_leader():
    """With a store 98 times slower, four seconds passed without a placement.

    Three concurrent writes to a partition take 0.4 s each, and 0.3 s more for each of
    them that comes before and for itself. With a fixed time-out of 1 s nearly all timed
    out and were sent again, and the store carried out both.
    """

    async def main() -> tuple[Counter[str], int]:
        outcomes: Counter[str] = Counter()
        async with run_store() as (state, rows):

            async def keep_writing(number: int) -> None:
                key, version = f"w{number}", ABSENT
                while True:
                    write = RowWrite("progress", key, b"x")
                    condition = RowCondition("progress", key, version)
                    try:
                        result = await rows.commit(Transaction((condition,), (write,)))
                    except StoreError:
                        outcomes["given up"] += 1
                        continue
                    if result.committed:
                        version = result.version
                        outcomes["written"] += 1
                    else:
                        version = result.found["progress", key].version
                        outcomes["written before"] += 1

            # The leader reads its row all the time, so it knows the latency.
            slow_down(state)
            await rows.read("control")
            writers = [
                await curio.spawn(keep_writing, n, daemon=True) for n in (1, 2, 3)
            ]
            await curio.sleep(4.0)
            for writer in writers:
                await writer.cancel()
            return outcomes, state.transactions

    outcomes, transactions = curio.run(main)
    assert outcomes["written"] >= 8
    assert outcomes["given up"] == outcomes["written before"] == 0
    assert transactions - outcomes["written"] <= 3


def test_a_fast_store_gets_the_shortest_timeout():
    """Guards against calls on a dead connection that hang for seconds.

    It would happen with a time-out that is always long enough for a slow store.
    """
    timeout = AdaptiveTimeout()
    for _ in range(10):
        timeout.record_latency(0.005)
    assert timeout.timeout_s == MIN_TIMEOUT_S


def test_the_timeout_has_an_upper_limit():
    """Answers may take longer than any caller waits."""
    timeout = AdaptiveTimeout()
    timeout.record_latency(30.0)
    assert timeout.timeout_s == MAX_TIMEOUT_S


def test_a_slow_store_accepts_the_jobs_of_many_entries():
    """With a store 98 times slower, most callers got a refusal or "unknown".

    Ten callers a second submit jobs, each to another of 35 entries, so no entry can
    batch their inserts. The store executes three transactions of a partition per
    second, and all submissions were in one partition.
    """

    async def main() -> tuple[Counter[str], int]:
        state = RowsState()
        slow_down(state)
        outcomes: Counter[str] = Counter()
        entries = [Acceptance(MemoryRows(state), create_quiet_log()) for _ in range(35)]
        tasks = [await curio.spawn(entry.run, daemon=True) for entry in entries]

        async def call(number: int) -> None:
            entry = entries[number % len(entries)]
            try:
                await entry.insert(f"{number:016x}", b"row", CALLER_S)
            except RequestError as error:
                outcomes[str(error.outcome)] += 1
            else:
                outcomes["accepted"] += 1

        async with curio.TaskGroup() as group:
            for number in range(40):
                await group.spawn(call, number)
                await curio.sleep(0.1)
        for task in tasks:
            await task.cancel()
        return outcomes, state.refused

    outcomes, refused = curio.run(main)
    assert outcomes == {"accepted": 40}
    assert refused == 0


def test_a_repeat_at_another_entry_finds_the_first_submission():
    """Guards against a job that runs twice after its caller retried at another entry.

    It would happen if each entry wrote to a partition of its own and so didn't find
    the first submission.
    """

    async def main() -> RowsState:
        state = RowsState()
        for _ in range(2):
            acceptance = Acceptance(MemoryRows(state), create_quiet_log())
            task = await curio.spawn(acceptance.run, daemon=True)
            await acceptance.insert("00000000000000aa", b"row", CALLER_S)
            await task.cancel()
        return state

    assert curio.run(main).transactions == 1


def test_a_cancellation_is_in_the_partition_of_its_submission():
    """Both are read in one call, and a call covers one partition."""
    for number in range(50):
        job_id = f"{number:016x}"
        partition = find_partition(JOBS_TABLE, job_id)
        assert partition == find_partition(JOBS_TABLE, f"{job_id}/cancel")
        assert partition in list_partitions(JOBS_TABLE)


@pytest.mark.parametrize("undivided", [False, True])
def test_a_submission_is_found_in_any_partition(undivided: bool):
    """An accepted job was reported as unknown.

    It was accepted before submissions were divided into partitions, and only the new
    partitions were read.
    """

    async def main() -> None:
        state = RowsState()
        job_id = "00000000000000bb"
        partition = UNDIVIDED_PARTITION if undivided else ""
        state.apply(Transaction((), (RowWrite(JOBS_TABLE, job_id, b"row", partition),)))
        store = MemoryRows(state)
        assert [row.key for row in (await read_submission(store, job_id)).rows] == [
            job_id
        ]
        assert [row.key for row in (await read_submissions(store)).rows] == [job_id]

    curio.run(main)
