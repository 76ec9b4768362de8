"""Nothing is started in a data centre that the operator has closed."""

from __future__ import annotations

import time
from dataclasses import replace

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobs.model import Job, JobState, Step
from pistachiodeal.leader.closures import ClosureWatch
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.platform.closures import CLOSURES_TABLE
from pistachiodeal.store.row_store import RowPage
from pistachiodeal.wire.job_messages import RunOrder, RunRef
from tests.standins.job_cluster import (
    JobCluster,
    build_job,
    close_data_centre,
    create_quiet_log,
    run_cluster,
)
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_job_cluster import wait_for
from tests.unit.test_jobagent_executor import build_harness
from tests.unit.test_leader_planner import QUEUE, Cluster
from tests.unit.test_leader_sessions import NODE, SessionsHarness

# The time within which a closing takes effect.
IN_FORCE_S = 1.0
WAIT_S = 5.0
CLOSING_S = 5.0


def list_starts(cluster: JobCluster, worker: str) -> list[str]:
    """Return the tasks that a worker has started, in all its incarnations."""
    begun = cluster.checker.started_tasks
    names = [name for name in begun if name.startswith(f"{worker}-")]
    return [task for name in names for task in begun[name]]


def test_nothing_starts_in_a_closed_data_centre():
    """Guards against starts on the workers of a data centre after its closing."""

    async def main():
        async with run_cluster() as cluster:
            first = build_job(1)
            await cluster.entries[1].submit(first)
            await cluster.wait_for_state(first, JobState.COMPLETED)
            cluster.close("dc-0")
            await curio.sleep(IN_FORCE_S)
            before = len(list_starts(cluster, "w0"))
            second = build_job(2, count=6)
            await cluster.entries[1].submit(second)
            await cluster.wait_for_state(second, JobState.COMPLETED)
            assert len(list_starts(cluster, "w0")) == before
            assert cluster.checker.violations == []

    curio.run(main)


def test_a_data_centre_that_is_open_again_takes_tasks():
    """Guards against workers that stay empty after their data centre is opened."""

    async def main():
        async with run_cluster(agents=1) as cluster:
            cluster.close("dc-0")
            await curio.sleep(IN_FORCE_S)
            job = build_job(1)
            await cluster.entries[1].submit(job)
            await curio.sleep(IN_FORCE_S)
            assert list_starts(cluster, "w0") == []
            cluster.reopen("dc-0")
            await cluster.wait_for_state(job, JobState.COMPLETED)

    curio.run(main)


def test_a_new_leader_starts_nothing_in_a_closed_data_centre():
    """Guards against a successor that plans before it has read what is closed."""

    async def main():
        async with run_cluster(entries=3, work_s=1.0) as cluster:
            await cluster.entries[0].submit(build_job(1, count=8))
            cluster.close("dc-0")
            await curio.sleep(IN_FORCE_S)
            before = len(list_starts(cluster, "w0"))
            for _ in range(2):
                leader = cluster.find_leader()
                if leader is not None:
                    await leader.kill()
                await curio.sleep(IN_FORCE_S)
            await cluster.entries[2].boot()
            await curio.sleep(2 * IN_FORCE_S)
            assert len(list_starts(cluster, "w0")) == before
            assert cluster.checker.violations == []

    curio.run(main)


def test_a_successor_plans_only_once_it_has_read_what_is_closed():
    """Guards against orders that are refused, if reading the closings is slow."""

    async def main():
        async with run_cluster(entries=3) as cluster:
            await wait_for(cluster.find_leader, WAIT_S)
            cluster.close("dc-0")
            cluster.state.faults.slow_reads = {CLOSURES_TABLE: IN_FORCE_S}
            first = cluster.find_leader()
            await first.kill()

            def find_successor():
                leader = cluster.find_leader()
                return leader if leader is not first else None

            await wait_for(find_successor, WAIT_S)
            leadership = find_successor().seat.leadership
            await wait_for(lambda: leadership.loaded, WAIT_S)
            assert leadership.fleet.closed == {"dc-0"}

    curio.run(main)


def test_what_runs_in_a_closed_data_centre_goes_on():
    """Guards against running tasks being stopped when their data centre is closed."""

    async def main():
        async with run_cluster(agents=1, work_s=1.5) as cluster:
            job = build_job(1, steps=1)
            await cluster.entries[0].submit(job)
            await wait_for(lambda: len(list_starts(cluster, "w0")) == 3, WAIT_S)
            cluster.close("dc-0")
            await cluster.wait_for_state(job, JobState.COMPLETED)
            assert len(list_starts(cluster, "w0")) == 3

    curio.run(main)


def test_a_closing_is_noticed_while_history_is_dropped_and_the_store_is_slow():
    """Guards against relying on a change feed that may lose a closing."""

    async def main():
        async with run_cluster() as cluster:
            await wait_for(cluster.find_leader, WAIT_S)
            cluster.state.faults.slow_s = 0.2
            cluster.close("dc-0")
            cluster.state.drop_history()
            leadership = cluster.find_leader().seat.leadership
            await wait_for(lambda: leadership.fleet.closed, IN_FORCE_S)

    curio.run(main)


def test_unknown_names_and_all_data_centres_may_be_closed():
    """Guards against a leader that fails, or starts tasks, if all are closed."""

    async def main():
        async with run_cluster() as cluster:
            for name in ("dc-0", "dc-1", "nowhere", ""):
                cluster.close(name)
            await curio.sleep(IN_FORCE_S)
            job = build_job(1)
            await cluster.entries[0].submit(job)
            await curio.sleep(IN_FORCE_S)
            assert not cluster.checker.tasks
            cluster.reopen("dc-1")
            cluster.close("dc-1")
            cluster.reopen("dc-1")
            await cluster.wait_for_state(job, JobState.COMPLETED)
            assert list_starts(cluster, "w0") == []

    curio.run(main)


def attach_worker(fleet: Fleet, data_centre: str) -> Attachment:
    """Attach a listed worker in a data centre."""
    worker = fleet.get(f"node-{data_centre}")
    attachment = Attachment(worker.node, 1)
    worker.attach(attachment)
    worker.worker, worker.service, worker.listed = "w", "svc", True
    fleet.set_data_centre(worker, data_centre)
    return attachment


def test_orders_that_have_not_been_sent_are_withdrawn():
    """Guards against an order that was decided before a closing and sent after it."""
    fleet = Fleet()
    attachment = attach_worker(fleet, "a")
    attachment.order_start(RunOrder("t", 1, "", "", False, 0), "job", "text")
    attachment.withdraw_starts()
    directive = attachment.build_directive(1, "w", 0, 1_000, 1_000)
    assert not directive.starts
    assert directive.stops == (RunRef("t", 1),)


def test_only_workers_of_closed_data_centres_are_closed():
    """Guards against rebuilding the views of other workers for each closing."""
    fleet = Fleet()
    for name in ("a", "b"):
        attach_worker(fleet, name)
    stamps = {node: worker.generation for node, worker in fleet.workers.items()}
    fleet.close(frozenset(("a",)))
    assert not fleet.get("node-a").schedulable
    assert fleet.get("node-b").schedulable
    assert fleet.get("node-b").generation == stamps["node-b"]
    fleet.close(frozenset())
    assert fleet.get("node-a").schedulable


class LateRows(MemoryRows):
    """A store whose answers are delayed after they have been read."""

    late_s = 0.0

    async def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        limit: int = 0,
        partition: str = "",
    ) -> RowPage:
        late_s = self.late_s
        page = await super().read(table, start, end, limit, partition)
        await curio.sleep(late_s)
        return page


def test_an_older_answer_changes_nothing():
    """Guards against an out-of-order answer that reopens a closed data centre."""

    async def main():
        state = RowsState()
        fleet, store = Fleet(), LateRows(state)
        watch = ClosureWatch(store, fleet, CLOSING_S, create_quiet_log())
        store.late_s = 0.3
        late = await curio.spawn(watch.refresh)
        await curio.sleep(0.1)
        store.late_s = 0.0
        close_data_centre(state, "a")
        await watch.refresh()
        await late.join()
        assert fleet.closed == {"a"}

    curio.run(main)


def test_starts_end_before_a_closing_that_was_not_seen_is_in_force():
    """Guards against a leader that is suspended, resumes and sends old decisions."""

    async def main():
        state = RowsState()
        watch = ClosureWatch(MemoryRows(state), Fleet(), CLOSING_S, create_quiet_log())
        assert watch.starts_until <= CLOSING_S
        before = read_boot_clock()
        await watch.refresh()
        assert before < watch.starts_until < before + CLOSING_S - 0.5

    curio.run(main)


@pytest.mark.parametrize(("starts_ms", "expected"), [(1_000, 1), (0, 0), (-1, 1)])
def test_an_agent_begins_no_order_whose_time_is_over(starts_ms: int, expected: int):
    """Guards against starts by an order that was delayed in transit."""

    async def main():
        async with build_harness() as stage:
            stage.ledger.authority.set_start_limit(read_boot_clock(), starts_ms)
            await stage.order()
            assert len(stage.runtime.starts) == expected

    curio.run(main)


def test_a_directive_holds_no_start_for_a_closed_data_centre():
    """Guards against a leader that is suspended between a decision and its order."""

    async def main():
        harness = SessionsHarness()
        link = await harness.attach()
        await link.report(1)
        attachment = harness.fleet.get(NODE).attachment
        attachment.order_start(RunOrder("t", 1, "", "", False, 0), "job", "text")
        harness.fleet.close(frozenset((link.peer.data_centre,)))
        await harness.sessions.send_orders()
        assert not link.sent[-1].starts
        assert link.sent[-1].stops == (RunRef("t", 1),)

    curio.run(main)


def test_a_worker_that_comes_after_the_closing_is_closed():
    """Guards against starts on a worker whose agent attaches after the closing."""
    fleet = Fleet()
    fleet.close(frozenset(("a",)))
    attach_worker(fleet, "a")
    assert not fleet.get("node-a").schedulable


SIZE = Resources(15_000, 1_000, 0)
KINDS = {
    "plain": Step(1, SIZE, 2.0),
    "gang": Step(1, SIZE, 2.0, gang=True),
    "bound to a rack": Step(1, SIZE, 2.0, data_rack="r0"),
    "filling": Step(1, SIZE, 2.0, fills=True, image="f"),
    "lasting": Step(1, SIZE, 2.0, lasts=True),
}


@pytest.mark.parametrize("kind", KINDS)
def test_no_kind_of_task_is_placed_in_a_closed_data_centre(kind: str):
    """Guards against a placement path that ignores closings."""
    cluster = Cluster(workers=2)
    for node, data_centre in (("n0", "a"), ("n1", "b")):
        cluster.fleet.set_data_centre(cluster.fleet.get(node), data_centre)
    cluster.fleet.close(frozenset("ab"))
    job = Job(f"{1:016x}", QUEUE, "text", (KINDS[kind],), time.time())
    cluster.registry.add(job, time.time())
    task = next(cluster.registry.records[job.job_id].iterate_tasks())
    for suspect in (False, True):
        task.crashes, task.blames = int(suspect), int(suspect)
        cluster.plan_all()
        assert not task.place
    cluster.fleet.close(frozenset("a"))
    cluster.plan_all()
    assert task.place.startswith("n1/")


def test_urgent_work_stops_nothing_in_a_closed_data_centre():
    """Guards against runs preempted for a task that may not start there."""
    cluster = Cluster(workers=1)
    cluster.fleet.set_data_centre(cluster.fleet.get("n0"), "a")
    large = replace(QUEUE, name="large", priority=2)
    first = Job(f"{1:016x}", large, "text", (KINDS["plain"],), time.time())
    cluster.registry.add(first, time.time())
    cluster.plan_all()
    run = next(cluster.registry.records[first.job_id].iterate_tasks())
    run.running = True
    cluster.fleet.close(frozenset("a"))
    cluster.add(2, 1, 15_000)
    cluster.plan_all()
    assert run.place
    assert not run.stopping
