"""Tests of workers whose capacity shrinks and grows while tasks run."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobs.model import JobState, Step
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import RunningTask, RunOrder
from tests.standins.job_cluster import build_job, run_cluster
from tests.standins.job_runner import CAPACITY, CAPACITY_REPORT_S
from tests.unit.test_job_cluster import check_invariants, wait_for_starts
from tests.unit.test_jobagent_executor import SETTLE_S, build_directive, build_harness
from tests.unit.test_jobagent_ledger import build_beat, create_ledger
from tests.unit.test_leader_crashes import LeaderHarness, place

SMALL = Resources(2_000, 2_000, 0)
JOB = "0123456789abcdef"


@pytest.fixture
def leader(monkeypatch) -> LeaderHarness:
    return LeaderHarness(monkeypatch, ["r1", "r2"])


def build_order(index: int) -> RunOrder:
    return RunOrder(
        f"{JOB}.0.0.{index}", 1, "", "", False, 0, cpu_milli=1_000, memory_mib=1_000
    )


def test_an_order_in_transit_while_the_capacity_shrinks_is_refused():
    """Guards against overcommitting a runner that doesn't check its capacity.

    The leader orders three tasks by the last capacity that it received. The heartbeat
    with a smaller one reaches the agent before the orders, and the agent must check it.
    """

    async def main():
        async with build_harness() as harness:
            smaller = replace(build_beat("w", sequence=2), capacity=SMALL)
            harness.ledger.update(smaller)
            orders = tuple(build_order(index) for index in range(3))
            await harness.executor.carry_out(build_directive(orders))
            await curio.sleep(SETTLE_S)
            started = [call.task for call in harness.runtime.starts]
            assert started == [order.task for order in orders[:2]]
            details = [one.detail for one in harness.ledger.orders.values()]
            assert details == ["", "", "the worker has no room left"]

    curio.run(main)


def test_a_run_that_needs_no_overcommitted_resource_is_started():
    """Guards against a filling task that is refused and placed again without end.

    Filling tasks reserve no processor. A worker refused one because its serving tasks
    reserve more processors than it has left, and the leader placed it there again three
    times a second.
    """

    async def main():
        async with build_harness() as harness:
            smaller = Resources(500, 8_000, 0)
            harness.ledger.update(
                replace(build_beat("w", sequence=2), capacity=smaller)
            )
            serving = replace(build_order(0), serves_ms=100)
            harness.ledger.run_specs[serving.task, 1] = serving
            running = RunningTask(serving.task, 1, "", 100, 5)
            now = read_boot_clock()
            harness.ledger.apply_listing(
                Listing(CallResult.DONE, 2_000, (running,)), now, now
            )
            filling = replace(build_order(1), fills=True)
            await harness.executor.carry_out(build_directive((filling,)))
            await curio.sleep(SETTLE_S)
            assert [call.task for call in harness.runtime.starts] == [filling.task]

    curio.run(main)


def test_an_order_that_waited_while_its_agent_was_suspended_is_refused():
    """Guards against a start by a capacity that is out of date.

    An agent is suspended for five seconds while its runner's capacity shrinks. It
    processes the order that had arrived before the heartbeat, which is still unread.
    """

    async def main():
        async with build_harness() as harness:
            harness.ledger.answered_at -= 5.0
            await harness.order()
            assert not harness.runtime.starts
            details = [one.detail for one in harness.ledger.orders.values()]
            assert details == ["the runner has not answered lately"]

    curio.run(main)


def test_a_smaller_capacity_is_reported_at_once():
    """Guards against orders for 0.4 s more, until the next regular report."""
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    assert ledger.update(replace(build_beat("w", sequence=2), capacity=SMALL))
    assert not ledger.update(replace(build_beat("w", sequence=3), capacity=SMALL))


def test_a_worker_with_too_little_memory_stops_the_run_that_costs_least(leader):
    """Guards against an out-of-memory kill, which may hit a serving task.

    The run that loses least is stopped, and counts until its end is listed. Processors
    are shared, so no run is stopped for want of them.
    """
    serving = Step(1, Resources(1_000, 30_000, 0), 60.0, lasts=True, serves_ms=100)
    keeper = leader.find(leader.add(1, serving))
    place(leader)
    number = leader.find_node(keeper)
    worker = leader.fleet.get(f"n{number}")
    old = leader.find(leader.add(2, Step(1, Resources(1_000, 15_000, 0), 9.0)))
    leader.registry.place(old, 1, worker.place, lambda: None)
    leader.report(number)
    leader.wait(3.0)
    young = leader.find(leader.add(3, Step(1, Resources(1_000, 15_000, 0), 9.0)))
    leader.registry.place(young, 1, worker.place, lambda: None)
    leader.report(number)
    leader.wait(0.5)
    # It has started last and would cost least, but it runs until it is cancelled.
    guest = leader.find(
        leader.add(5, Step(1, Resources(0, 3_000, 0), 60.0, lasts=True))
    )
    leader.registry.place(guest, 1, worker.place, lambda: None)
    leader.report(number)
    leader.report(number, room=Resources(2_000, 64_000, 0))
    place(leader, 3.0)
    assert not any(task.stopping for task in (keeper, old, young, guest))
    leader.report(number, room=Resources(16_000, 50_000, 0))
    place(leader, 0.2)
    assert not young.stopping, "it may be back at once"
    place(leader, 3.0)
    assert young.stopping
    assert not old.stopping
    assert not keeper.stopping
    assert not guest.stopping
    leader.report(number, room=Resources(16_000, 50_000, 0))
    leader.report(1 - number, room=Resources())
    late = leader.find(leader.add(4, Step(1, Resources(1_000, 1_000, 0), 9.0)))
    place(leader)
    assert late.waits, "what is being stopped still counts"
    leader.registry.requeue(young)
    place(leader)
    assert leader.find_node(late) == number


def test_no_start_exceeds_a_capacity_that_shrinks_and_grows():
    """End to end: leader, agents, and runners that don't check their capacity."""

    async def main():
        async with run_cluster(agents=2, work_s=0.4) as cluster:
            jobs = [build_job(number, count=12, steps=2) for number in range(1, 4)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            await wait_for_starts(cluster)
            for room in (SMALL, CAPACITY, SMALL, CAPACITY):
                for agent in cluster.agents:
                    agent.runner.capacity = room
                await curio.sleep(2 * CAPACITY_REPORT_S)
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 30.0)
            check_invariants(cluster)

    curio.run(main)
