"""The HTTP clients of the platform against the stand-ins, with injected faults."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path

import curio
import pytest

from pistachiodeal.exceptions import (
    StoreUnavailableError,
    StoreUncertainError,
    WorkerFencedError,
    WorkerRefusedError,
)
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.http_objects import create_object_store
from pistachiodeal.store.http_table import create_table
from pistachiodeal.store.http_worker import create_worker_runtime
from pistachiodeal.store.protocols import ABSENT, RunRequest, RunState, Write
from tests.harness import Cluster, Process, run_cluster, wait_until

TIMEOUT_S = 5.0


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with run_cluster(tmp_path) as running:
        yield running


def build_run(size: Resources, run_s: float, lease_s: float) -> RunRequest:
    payload = json.dumps({"run_s": run_s, "result": "pressed"})
    until = time.monotonic() + lease_s
    return RunRequest("0000-a", 1, "press", size, payload, until)


def test_table_commits_all_or_nothing(cluster: Cluster) -> None:
    async def main() -> None:
        address = cluster.start_table().address()
        table = create_table(address, timeout=TIMEOUT_S, connections=2)
        first = await table.commit([Write("a/1", b"\x00x", ABSENT), Write("a/2", b"")])
        assert first.committed
        lost = await table.commit([Write("a/3", b"y"), Write("a/1", b"z", ABSENT)])
        assert lost.conflicts == ("a/1",)
        version = first.versions["a/1"]
        check = Write("a/1", expect=version, check_only=True)
        assert (await table.commit([check, Write("a/2", None)])).committed
        rows = await table.scan("a/")
        assert [(row.key, row.value) for row in rows] == [("a/1", b"\x00x")]
        assert await table.scan("a/", after="a/1") == []
        assert (await table.read(["a/1", "a/3"])).keys() == {"a/1"}

    curio.run(main())


def test_answer_lost_after_the_write_is_uncertain(cluster: Cluster) -> None:
    """A claim that took effect was reported as not made, and its request ran twice.

    The connection closed after the commit without an answer, and the lost answer was
    mapped to "took no effect".
    """

    async def main() -> None:
        store = cluster.start_table()
        table = create_table(store.address(), timeout=TIMEOUT_S, connections=2)
        cluster.faults(store, lose_answers=1)
        with pytest.raises(StoreUncertainError):
            await table.commit([Write("k", b"v", ABSENT)])
        assert (await table.read(["k"]))["k"].value == b"v"
        cluster.faults(store, down=True)
        with pytest.raises(StoreUnavailableError):
            await table.commit([Write("k", b"w")])
        cluster.faults(store, down=False)
        assert (await table.read(["k"]))["k"].value == b"v"

    curio.run(main())


def test_store_that_does_not_listen_is_unavailable(cluster: Cluster) -> None:
    async def main() -> None:
        store = cluster.start_table()
        table = create_table(store.address(), timeout=TIMEOUT_S, connections=2)
        store.kill()
        with pytest.raises(StoreUnavailableError):
            await table.commit([Write("k", b"v")])

    curio.run(main())


def test_objects_with_any_key(cluster: Cluster) -> None:
    async def main() -> None:
        address = cluster.start_objects().address()
        store = create_object_store(address, timeout=TIMEOUT_S, connections=2)
        key = "checkpoint/0001-a b%/2?x"
        assert await store.get(key) is None
        await store.put(key, b"\xff\x00")
        assert await store.get(key) == b"\xff\x00"
        await store.delete(key)
        await store.delete(key)
        assert await store.get(key) is None

    curio.run(main())


def test_worker_runs_checkpoints_and_fences(cluster: Cluster) -> None:
    async def main() -> None:
        process = cluster.start_worker("w1", cpu_milli=2_000, memory_mib=100)
        runtime = create_worker_runtime(process.address(), timeout=TIMEOUT_S)
        assert await runtime.attach() == Resources(2_000, 100, 0)
        size = Resources(1_500, 10, 0)
        await runtime.start(build_run(size, run_s=60, lease_s=60), "tag")
        await runtime.start(build_run(size, run_s=60, lease_s=60), "tag")
        second = RunRequest("0000-b", 1, "press", size, "", time.monotonic() + 60)
        with pytest.raises(WorkerRefusedError, match="over_capacity"):
            await runtime.start(second, "")
        await runtime.throttle("0000-a", 0.5)
        (run,) = await runtime.list()
        assert (run.state, run.throttle, run.tag) == (RunState.RUNNING, 0.5, "tag")
        state = await runtime.checkpoint("0000-a")
        assert 0 <= json.loads(state)["progress"] < 1
        assert (await runtime.stop("0000-a")).state is RunState.STOPPED
        await runtime.forget("0000-a", 1)
        assert await runtime.list() == []
        await create_worker_runtime(process.address(), timeout=TIMEOUT_S).attach()
        with pytest.raises(WorkerFencedError):
            await runtime.list()

    curio.run(main())


def read_ends(cluster: Cluster) -> list[dict]:
    events = cluster.read_events("worker-w1")
    return [event for event in events if event["event"] == "end"]


def start_run(process: Process, run: RunRequest) -> None:
    async def main() -> None:
        runtime = create_worker_runtime(process.address(), timeout=TIMEOUT_S)
        await runtime.attach()
        await runtime.start(run, "")

    curio.run(main())


def test_worker_frozen_past_the_lease_does_no_work_after_it(cluster: Cluster) -> None:
    """The stand-in itself must not run a task past its lease.

    A scenario saw a task run in two places although the leases held: the worker was
    frozen past the end of the lease, and its progress was counted over the time in
    which it was frozen.
    """
    process = cluster.start_worker("w1")
    run = build_run(Resources(1, 1, 0), run_s=60, lease_s=1.0)
    start_run(process, run)
    process.freeze()
    wait_until(lambda: time.monotonic() > run.lease_until, "the lease to pass")
    process.thaw()
    (end,) = wait_until(lambda: read_ends(cluster), "the task's end")
    assert end["ended"] == "expired"
    assert end["end"] <= run.lease_until
    assert end["progress_to"] < 0.1


def test_killed_worker_leaves_its_record(cluster: Cluster) -> None:
    process = cluster.start_worker("w1")
    start_run(process, build_run(Resources(1, 1, 0), run_s=60, lease_s=60))
    process.kill()
    (event,) = cluster.read_events("worker-w1")
    assert (event["event"], event["task_id"]) == ("start", "0000-a")
