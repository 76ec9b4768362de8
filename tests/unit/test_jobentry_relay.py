"""An entry that cannot reach the store relays its calls through the leader."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio
import pytest

from pistachiodeal.exceptions import (
    Outcome,
    RequestError,
    StoreError,
    StoreRejectedError,
)
from pistachiodeal.jobentry.relay import (
    ANSWER_TIMEOUT_S,
    MAX_RELAYED_CALLS,
    PROBE_INTERVAL_S,
    RelayedRows,
    RelayServer,
)
from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.rows import JOBS_TABLE, encode_job
from pistachiodeal.store.row_store import RowWrite, Transaction
from pistachiodeal.wire.relay_messages import RelayRead
from tests.standins.job_cluster import (
    EntryProcess,
    JobCluster,
    build_job,
    create_quiet_log,
    run_cluster,
)
from tests.standins.rows import MemoryRows, RowsState


@asynccontextmanager
async def run_with_refused_entry() -> AsyncIterator[tuple[JobCluster, EntryProcess]]:
    """Run a cluster in which a follower is cut off from the store."""
    async with run_cluster(entries=2, agents=2) as cluster:
        while (leader := cluster.find_leader()) is None:
            await curio.sleep(0.01)
        [refused] = [entry for entry in cluster.entries if entry is not leader]
        while refused.election.link is None:
            await curio.sleep(0.01)
        refused.store.cut = True
        yield cluster, refused


def test_a_job_is_accepted_by_an_entry_that_cannot_reach_the_store():
    """Callers of one entry were refused for nine seconds, while others were served.

    The store didn't answer this entry, which had no other way to reach it. Submission,
    query and cancellation all have to work.
    """

    async def main() -> float:
        async with run_with_refused_entry() as (cluster, refused):
            first, second = build_job(1), build_job(2, count=20)
            began = time.monotonic()
            await refused.submit(first)
            took_s = time.monotonic() - began
            assert await refused.states.exists(first.job_id)
            await cluster.wait_for_state(first, JobState.COMPLETED)
            await refused.submit(second)
            await refused.cancel(second)
            await cluster.wait_for_state(second, JobState.CANCELLED)
            return took_s

    # The direct call times out after 0.2 s; the rest is two relayed calls.
    assert curio.run(main) < 1.0


def test_nothing_is_relayed_once_the_store_answers_again():
    """Guards against relaying that outlasts the outage and loads the leader."""
    lookups: list[str] = []

    def find_link() -> None:
        lookups.append("asked")

    async def main() -> int:
        store = MemoryRows(RowsState())
        relayed = RelayedRows(store, find_link, create_quiet_log())
        store.cut = True
        with pytest.raises(StoreError):
            await relayed.read(JOBS_TABLE)
        store.cut = False
        await curio.sleep(PROBE_INTERVAL_S + 0.5)
        while_away = len(lookups)
        await relayed.read(JOBS_TABLE)
        return while_away

    assert curio.run(main) == len(lookups) > 0


def test_a_relayed_insert_without_an_answer_is_not_reported_as_not_run():
    """Guards against a job that runs although its caller was told "not run".

    An entry relays an insert, and the leader's own store call takes effect but its
    answer is lost. The leader must relay the outcome "uncertain", not a refusal.
    """

    async def main() -> Outcome | None:
        async with run_with_refused_entry() as (cluster, refused):
            await refused.submit(build_job(1))
            cluster.state.faults.lost = 1.0
            job = build_job(2)
            with pytest.raises(RequestError) as failure:
                await refused.acceptance.insert(job.job_id, encode_job(job), 1.0)
            return failure.value.outcome

    assert curio.run(main) is Outcome.UNKNOWN


def test_a_relayed_call_ends_with_its_link():
    """Guards against a call that waits for an answer on a link that has closed."""

    async def main() -> float:
        async with run_with_refused_entry() as (cluster, refused):
            await refused.submit(build_job(1))
            cluster.state.faults.slow_s = 10.0
            read = await curio.spawn(refused.states.exists, build_job(1).job_id)
            await curio.sleep(0.1)
            began = time.monotonic()
            await refused.election.link.close()
            with pytest.raises(curio.TaskError) as failure:
                await read.join()
            assert isinstance(failure.value.__cause__, StoreError)
            return time.monotonic() - began

    assert curio.run(main) < ANSWER_TIMEOUT_S / 2


def test_a_leader_makes_a_bounded_number_of_calls_for_others():
    """Guards against a leader that stops leading while it relays for other entries.

    It would happen if a burst of relayed calls started an unlimited number of tasks
    while the store is slow.
    """

    class Recorder:
        address = "peer"

        def __init__(self) -> None:
            self.failures: list[str] = []

        async def send(self, answer) -> None:
            self.failures.append(answer.failure)

    async def main() -> Recorder:
        state = RowsState()
        state.faults.slow_s = 0.2
        server = RelayServer(MemoryRows(state), create_quiet_log())
        link = Recorder()
        for number in range(MAX_RELAYED_CALLS + 5):
            await server.take(link, RelayRead(number, JOBS_TABLE, "", "", 0))
        await curio.sleep(0.4)
        return link

    failures = curio.run(main).failures
    assert failures.count("refused") == 5
    assert failures.count("") == MAX_RELAYED_CALLS


@pytest.mark.parametrize("cut", [False, True])
def test_a_rejected_call_is_not_taken_for_an_outage(cut):
    """Guards against callers that are turned away because of another one's request.

    The entry whose call the store rejected used the leader's calls from then on, and
    that leader's answer said that the store refuses.
    """

    async def main() -> None:
        async with run_with_refused_entry() as (cluster, refused):
            refused.store.cut = cut
            cluster.state.row_bytes = 600
            rows = refused.acceptance._store  # noqa: SLF001
            large = Transaction((), (RowWrite(JOBS_TABLE, "0", bytes(601)),))
            if cut:
                with pytest.raises(StoreError):
                    await rows.commit(large)
            with pytest.raises(StoreRejectedError):
                await rows.commit(large)
            assert bool(rows._find_relay_link()) == cut  # noqa: SLF001

    curio.run(main)
