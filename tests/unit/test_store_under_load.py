"""What the store still does for us while it is a hundred times slower.

The stand-in does the transactions of one partition one after another, 0.3 s each, and
refuses more than a second of them, beside 0.4 s for each call.
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
from pistachiodeal.store.patience import LONGEST_S, SHORTEST_S, Patience
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


def test_a_slow_store_still_ends_the_writes_of_a_leader():
    """Symptom: while the store was 98 times slower, nearly no write of the leader
    ended, and four seconds passed without a placement.

    Sequence: three writes at a time go to one partition, each takes 0.4 s and 0.3 s
    for itself and for those before it; each is given up after 1 s, and sent again.
    Cause: the limit was fixed. The store carried out both.
    """

    async def main() -> tuple[Counter[str], int]:
        ends: Counter[str] = Counter()
        async with run_store() as (state, rows):

            async def keep_writing(number: int) -> None:
                key, version = f"w{number}", ABSENT
                while True:
                    write = RowWrite("progress", key, b"x")
                    condition = RowCondition("progress", key, version)
                    try:
                        result = await rows.commit(Transaction((condition,), (write,)))
                    except StoreError:
                        ends["given up"] += 1
                        continue
                    if result.committed:
                        version = result.version
                        ends["written"] += 1
                    else:
                        version = result.found["progress", key].version
                        ends["written before"] += 1

            # The leader looks at its row all the time; those answers show the speed.
            slow_down(state)
            await rows.read("control")
            writers = [
                await curio.spawn(keep_writing, n, daemon=True) for n in (1, 2, 3)
            ]
            await curio.sleep(4.0)
            for writer in writers:
                await writer.cancel()
            return ends, state.transactions

    ends, transactions = curio.run(main)
    assert ends["written"] >= 8
    assert ends["given up"] == ends["written before"] == 0
    assert transactions - ends["written"] <= 3


def test_silence_on_a_fast_store_is_noticed_as_soon_as_before():
    """Symptom: each call on a connection that lost its other end hangs for seconds.

    Sequence: the store answers within milliseconds, and then not at all.
    Cause: a limit that is long for slow days would be long on all days.
    """
    patience = Patience()
    for _ in range(10):
        patience.note_answer(0.005)
    assert patience.limit_s == SHORTEST_S


def test_patience_has_an_end():
    """The load: answers take longer than any caller waits."""
    patience = Patience()
    patience.note_answer(30.0)
    assert patience.limit_s == LONGEST_S


def test_a_slow_store_takes_the_jobs_of_many_entries():
    """Symptom: while the store was 98 times slower, most callers of 35 entries were
    refused or told "unknown".

    Sequence: ten callers a second hand jobs in, each at another entry, so that no
    entry can join their inserts. The store takes three transactions of a partition a
    second. Cause: all submissions lay in one partition.
    """

    async def main() -> tuple[Counter[str], int]:
        state = RowsState()
        slow_down(state)
        ends: Counter[str] = Counter()
        entries = [Acceptance(MemoryRows(state), create_quiet_log()) for _ in range(35)]
        keepers = [await curio.spawn(one.run, daemon=True) for one in entries]

        async def call(number: int) -> None:
            entry = entries[number % len(entries)]
            try:
                await entry.insert(f"{number:016x}", b"row", CALLER_S)
            except RequestError as error:
                ends[str(error.outcome)] += 1
            else:
                ends["accepted"] += 1

        async with curio.TaskGroup() as group:
            for number in range(40):
                await group.spawn(call, number)
                await curio.sleep(0.1)
        for keeper in keepers:
            await keeper.cancel()
        return ends, state.refused

    ends, refused = curio.run(main)
    assert ends == {"accepted": 40}
    assert refused == 0


def test_a_repeat_at_another_entry_finds_the_first_submission():
    """Symptom: one job runs twice. Sequence: its caller repeats it at another entry.
    Cause: each entry would have a partition of its own, and no row to find there.
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


def test_a_cancellation_lies_beside_its_submission():
    """Both are read in one call, which concerns one partition."""
    for number in range(50):
        job_id = f"{number:016x}"
        partition = find_partition(JOBS_TABLE, job_id)
        assert partition == find_partition(JOBS_TABLE, f"{job_id}/cancel")
        assert partition in list_partitions(JOBS_TABLE)


@pytest.mark.parametrize("undivided", [False, True])
def test_a_submission_is_found_wherever_it_lies(undivided: bool):
    """Symptom: a caller is told that an accepted job does not exist.

    Sequence: it was accepted before submissions were divided. Cause: only the new
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
