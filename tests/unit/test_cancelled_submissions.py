"""Jobs that are cancelled while their submission may not be stored yet."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import curio
import orjson
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.api import CallerApi
from pistachiodeal.jobentry.cancelling import JobCanceller
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.rows import (
    CANCEL_VALUE,
    JOBS_TABLE,
    build_cancel_key,
    find_partition,
)
from pistachiodeal.jobs.tombstones import TOMBSTONE_KEPT_S, TOMBSTONE_VALUE
from pistachiodeal.leader.feed import JobFeed
from pistachiodeal.leader.loader import JobLoader
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.tombstone_collector import TombstoneCollector
from pistachiodeal.store.row_store import RowWrite, Transaction
from pistachiodeal.web.messages import WebRequest, WebResponse
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.standins.job_cluster import JobCluster, create_quiet_log, run_cluster
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_jobentry_api import ROUTE, build_configuration, watch_alone

JOB_ID = f"{0xAB:016x}"
BODY = orjson.dumps({"spec": "x", "steps": [{"count": 2, "cpu": 500, "mem_mb": 500}]})
LATE_S = 1.5


def play(main: Callable[[], Awaitable[None]], seed: int = 1) -> None:
    async def start(clock: SimulatedClock) -> None:
        await main()

    run_simulated(start, seed)


class Front:
    """The HTTP APIs of a cluster's entries."""

    def __init__(self, cluster: JobCluster, apis: list[CallerApi]) -> None:
        self._cluster = cluster
        self._apis = apis

    async def ask(
        self, entry: int, method: str, name: str = JOB_ID, budget_ms: int = 3_000
    ) -> tuple[int, str]:
        """Return the status and the error code or state of an answer."""
        headers = (("host", "host"), ("deadline-ms", str(budget_ms)))
        request = WebRequest(method, f"/q/{name}", headers, BODY)
        try:
            response: WebResponse = await self._apis[entry].handle(request)
        except RequestError as error:
            return error.status, error.code
        return response.status, orjson.loads(response.body).get("state", "")

    async def submit_late(self, entry: int = 0) -> None:
        """Submit the job; the store carries the write out ``LATE_S`` later."""
        faults = self._cluster.state.faults
        faults.late, faults.late_s = 1.0, LATE_S
        assert (await self.ask(entry, "POST", budget_ms=400))[0] == 504
        faults.late = 0.0

    def count_starts(self) -> int:
        """Return how many runs of the job were started."""
        tasks = self._cluster.checker.tasks
        return sum(task.starts for name, task in tasks.items() if JOB_ID in name)


async def open_front(cluster: JobCluster) -> Front:
    """Return the front of a cluster that has a leader and a configuration."""
    configuration = build_configuration(1, [ROUTE])
    cluster.state.apply(Transaction((), (RowWrite("op", "config", configuration),)))
    apis = []
    for entry in cluster.entries:
        copy = await watch_alone(entry.store, create_quiet_log())
        api = CallerApi(
            copy,
            entry.acceptance,
            entry.states,
            create_quiet_log(),
            row_bytes=65_536,
            limits=LimitSettings(),
        )
        apis.append(api)
        while copy.current is None:
            await curio.sleep(0.01)
    while cluster.find_leader() is None:
        await curio.sleep(0.01)
    return Front(cluster, apis)


@pytest.mark.parametrize("event", ["none", "submitter ends", "leader is replaced"])
@pytest.mark.parametrize("canceller", [0, 1])
def test_a_cancelled_job_whose_submission_is_written_late_never_starts(
    event: str, canceller: int
):
    """Guards against a job that starts after its cancelling was answered with 410."""

    async def main() -> None:
        async with run_cluster(entries=3) as cluster:
            front = await open_front(cluster)
            await front.submit_late()
            # The entry that got no answer refuses all writes until the store answers.
            await curio.sleep(0.3)
            assert (await front.ask(canceller, "DELETE"))[0] == 410
            leader = cluster.find_leader()
            ended = cluster.entries[0] if event == "submitter ends" else leader
            if event != "none" and ended is not None:
                await ended.kill()
            await curio.sleep(LATE_S + 1.0)
            asked = next(n for n, entry in enumerate(cluster.entries) if entry.tasks)
            assert (await front.ask(asked, "GET"))[0] == 410
            assert await front.ask(asked, "POST") == (409, "job_cancelled")
            leader = cluster.find_leader()
            assert leader is not None and leader.seat.leadership is not None
            assert leader.seat.leadership.registry.count_pending("q") == 0
            assert front.count_starts() == 0

    curio.run(main)


def test_a_job_that_is_written_before_its_cancellation_is_cancelled():
    """Guards against a cancellation that is answered with 410 and takes no effect."""

    async def main() -> None:
        async with run_cluster(entries=2, work_s=5.0) as cluster:
            front = await open_front(cluster)
            cluster.state.faults.lost = 1.0
            assert (await front.ask(0, "POST", budget_ms=400))[0] == 504
            cluster.state.faults.lost = 0.0
            assert (await front.ask(1, "DELETE"))[0] == 200
            await curio.sleep(0.5)
            assert await front.ask(1, "GET") == (200, "cancelled")
            assert await front.ask(1, "POST") == (200, "")

    curio.run(main)


def test_a_cancellation_is_refused_while_the_store_is_away():
    """Guards against 410 for a job that may exist."""

    async def main() -> None:
        async with run_cluster(entries=1) as cluster:
            front = await open_front(cluster)
            cluster.state.faults.down = True
            assert (await front.ask(0, "DELETE"))[0] == 503
            cluster.state.faults.down = False
            assert (JOBS_TABLE, JOB_ID) not in cluster.state.rows

    curio.run(main)


class Entry:
    """The parts of an entry that write to the jobs table."""

    def __init__(self, state: RowsState, *, max_tombstones: int = 1_000) -> None:
        store, events = MemoryRows(state), create_quiet_log()
        self.acceptance = Acceptance(store, events)
        self.states = JobStates(
            store, SimpleNamespace(leadership=None), SimpleNamespace(link=None)
        )
        self.canceller = JobCanceller(
            self.acceptance, self.states, events, max_tombstones=max_tombstones
        )

    async def submit(self, job_id: str, budget_s: float = 3.0) -> str:
        """Return the outcome for the caller."""
        try:
            await self.acceptance.insert(job_id, b"job", budget_s)
        except RequestError as error:
            return error.code
        return "accepted"

    async def cancel(self, job_id: str, budget_s: float = 3.0) -> int:
        """Return the status of the answer."""
        try:
            return 200 if await self.canceller.cancel(job_id, budget_s) else 410
        except RequestError as error:
            return error.status


@pytest.mark.parametrize("seed", range(20))
def test_each_order_of_submission_and_cancellation_leaves_one_of_them(seed: int):
    """Guards against a submission that is stored after its cancelling was answered."""
    draw = random.Random(seed)
    answers: dict[str, list[int]] = {}
    outcomes: dict[str, list[str]] = {}

    async def main() -> None:
        state = RowsState()
        state.rng.seed(seed)
        entries = [Entry(state) for _ in range(3)]
        for entry in entries:
            await curio.spawn(entry.acceptance.run, daemon=True)

        async def call(job_id: str, cancels: bool) -> None:
            await curio.sleep(draw.uniform(0.0, 4.0))
            entry, budget_s = draw.choice(entries), draw.uniform(0.3, 2.0)
            if not cancels:
                outcome = await entry.submit(job_id, budget_s)
                outcomes.setdefault(job_id, []).append(outcome)
                return
            try:
                answer = await entry.cancel(job_id, budget_s)
            except Exception as error:
                assert "silent" in str(error) or "away" in str(error)
                answer = 503
            answers.setdefault(job_id, []).append(answer)

        async with curio.TaskGroup() as group:
            for number in range(40):
                for cancels in (False, False, True, True):
                    await group.spawn(call, f"{number:016x}", cancels)
            for _ in range(8):
                state.faults.late = draw.choice((0.0, 0.4))
                state.faults.lost = draw.choice((0.0, 0.2))
                state.faults.silent = draw.random() < 0.2
                state.faults.late_s = draw.uniform(0.2, 6.0)
                await curio.sleep(0.6)
            state.faults.late = state.faults.lost = 0.0
            state.faults.silent = False
        await curio.sleep(8.0)
        assert {410, 200} <= {one for some in answers.values() for one in some}
        for job_id, given in answers.items():
            row = state.rows.get((JOBS_TABLE, job_id))
            stored = row is not None and row.value == b"job"
            if 410 in given:
                assert row is not None and row.value == TOMBSTONE_VALUE
                assert "accepted" not in outcomes[job_id] and 200 not in given
            if 200 in given:
                assert (JOBS_TABLE, build_cancel_key(job_id)) in state.rows
            assert stored or "accepted" not in outcomes[job_id]

    play(main, seed)


def test_a_cancelled_submission_does_not_fail_the_others_of_its_batch():
    """Guards against callers who are refused since another's job was cancelled."""

    async def main() -> None:
        state, outcomes = RowsState(), {}
        entry = Entry(state)
        await curio.spawn(entry.acceptance.run, daemon=True)
        partition = find_partition(JOBS_TABLE, JOB_ID)
        ids = [f"{number:016x}" for number in range(0xAB)]
        others = [one for one in ids if find_partition(JOBS_TABLE, one) == partition]
        assert await entry.cancel(JOB_ID) == 410

        async def submit(job_id: str) -> None:
            outcomes[job_id] = await entry.submit(job_id)

        async with curio.TaskGroup() as group:
            for job_id in [others[0], JOB_ID, *others[1:]]:
                await group.spawn(submit, job_id)
        assert outcomes.pop(JOB_ID) == "job_cancelled"
        assert set(outcomes) == set(others) and set(outcomes.values()) == {"accepted"}

    play(main)


@pytest.mark.parametrize("paused", [False, True])
def test_an_insert_whose_caller_has_left_is_not_sent(paused: bool, monkeypatch):
    """Guards against a job that is written after its caller has left and cancelled.

    The process may also be suspended until the insert has expired.
    """

    async def main() -> None:
        state = RowsState()
        entry = Entry(state)
        await curio.spawn(entry.acceptance.run, daemon=True)
        state.faults.slow_s = 0.5
        first = await curio.spawn(entry.submit, JOB_ID)
        await curio.sleep(0.1)
        partition = find_partition(JOBS_TABLE, JOB_ID)
        job_id = next(
            one
            for one in (f"{number:016x}" for number in range(200))
            if find_partition(JOBS_TABLE, one) == partition
        )
        call = await curio.spawn(entry.submit, job_id)
        await curio.sleep(0.1)
        if paused:
            now = read_boot_clock()
            monkeypatch.setattr(
                "pistachiodeal.jobentry.acceptance.read_boot_clock", lambda: now + 5.0
            )
        else:
            await call.cancel()
        await first.join()
        await curio.sleep(1.0)
        assert (JOBS_TABLE, job_id) not in state.rows

    play(main)


class Leader:
    """The parts of a leader that read and remove rows of cancellations."""

    def __init__(self, state: RowsState, last_write_s: float = 0.0) -> None:
        store, events = MemoryRows(state), create_quiet_log()
        self.registry = JobRegistry(events)
        cancel = self.registry.cancel
        self.feed = JobFeed(store, self.registry, events, cancel, self.ignore)
        self.loader = JobLoader(
            store, self.registry, self.feed, cancel, events, link_mbps=1_000.0
        )
        writer = SimpleNamespace(last_write_s=last_write_s)
        self.collector = TombstoneCollector(store, self.registry, writer, events)

    async def ignore(self) -> None:
        """Plan nothing."""

    async def lead(self, duration_s: float) -> None:
        """Load, and lead for a time."""
        await self.loader.load()
        tasks = [
            await curio.spawn(self.feed.follow),
            await curio.spawn(self.collector.run),
        ]
        await curio.sleep(duration_s)
        for task in tasks:
            await task.cancel()


def write(state: RowsState, key: str, value: bytes | None) -> None:
    state.apply(Transaction((), (RowWrite(JOBS_TABLE, key, value),)))


def list_keys(state: RowsState) -> set[str]:
    return {key for table, key in state.rows if table == JOBS_TABLE}


def test_rows_of_cancelled_ids_are_removed_and_not_too_early():
    """Guards against a store and a leader that fill up with ids that never existed.

    A leader that is replaced before the removal leaves the rest of it to its successor.
    """

    async def main() -> None:
        state = RowsState()
        orphan = build_cancel_key(f"{0xFF:016x}")
        count = 0xAB
        for number in range(count):
            write(state, f"{number:016x}", TOMBSTONE_VALUE)
        await Leader(state).lead(TOMBSTONE_KEPT_S / 2)
        successor = Leader(state)
        running = await curio.spawn(successor.lead, TOMBSTONE_KEPT_S + 8.0)
        await curio.sleep(0.1)
        for key, value in ((JOB_ID, TOMBSTONE_VALUE), (orphan, CANCEL_VALUE)):
            write(state, key, value)
        await curio.sleep(TOMBSTONE_KEPT_S - 1.0)
        assert len(list_keys(state)) == count + 2
        state.faults.lost = 0.5
        await running.join()
        assert list_keys(state) == set()
        assert len(successor.registry.tombstones) == 0

    play(main)


def test_tombstones_are_removed_from_a_store_that_is_always_slow():
    """Guards against a distant store that fills up, since its writes take long."""

    async def main() -> None:
        state = RowsState()
        write(state, JOB_ID, TOMBSTONE_VALUE)
        await Leader(state, last_write_s=1.0).lead(TOMBSTONE_KEPT_S + 15.0)
        assert list_keys(state) == set()

    play(main)


def test_a_cancellation_of_a_job_that_cannot_be_read_is_kept():
    """Guards against a job that another version runs on after its cancellation."""

    async def main() -> None:
        state = RowsState()
        write(state, JOB_ID, b'{"of": "another version"}')
        write(state, build_cancel_key(JOB_ID), CANCEL_VALUE)
        await Leader(state).lead(TOMBSTONE_KEPT_S + 5.0)
        assert list_keys(state) == {JOB_ID, build_cancel_key(JOB_ID)}

    play(main)


def test_a_late_removal_does_not_remove_a_newer_tombstone():
    """Guards against a submission that is stored although it was cancelled again."""

    async def main() -> None:
        state = RowsState()
        write(state, JOB_ID, TOMBSTONE_VALUE)
        leader = Leader(state)
        running = await curio.spawn(leader.lead, TOMBSTONE_KEPT_S + 12.0)
        await curio.sleep(TOMBSTONE_KEPT_S - 1.0)
        state.faults.late, state.faults.late_s = 1.0, 5.0
        await curio.sleep(3.0)
        state.faults.late = 0.0
        write(state, JOB_ID, None)
        write(state, JOB_ID, TOMBSTONE_VALUE)
        await running.join()
        assert list_keys(state) == {JOB_ID}
        assert JOB_ID in leader.registry.tombstones

    play(main)


def test_cancelling_many_ids_without_a_job_is_refused_and_other_jobs_are_not():
    """Guards against a flood of cancellations that fills the store."""

    async def main() -> None:
        state = RowsState()
        entry = Entry(state, max_tombstones=5)
        await curio.spawn(entry.acceptance.run, daemon=True)
        assert await entry.submit(JOB_ID) == "accepted"
        given = [await entry.cancel(f"{number:016x}") for number in range(8)]
        assert given == [410] * 5 + [503] * 3
        assert await entry.cancel(JOB_ID) == 200
        await curio.sleep(TOMBSTONE_KEPT_S)
        assert await entry.cancel(f"{7:016x}") == 410

    play(main)
