"""Workers whose room shrinks and grows while tasks run."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobs.model import JobState, Step
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import Directive, RunningTask, RunOrder
from tests.standins.job_cluster import build_job, run_cluster
from tests.standins.job_runner import CAPACITY, CAPACITY_REPORT_S
from tests.unit.test_job_cluster import check_invariants, wait_for_starts
from tests.unit.test_jobagent_executor import SETTLE_S, build_stage
from tests.unit.test_jobagent_ledger import build_beat, create_ledger
from tests.unit.test_leader_crashes import Stage, place

SMALL = Resources(2_000, 2_000, 0)
JOB = "0123456789abcdef"


@pytest.fixture
def leader(monkeypatch) -> Stage:
    return Stage(monkeypatch, ["r1", "r2"])


def build_order(index: int) -> RunOrder:
    return RunOrder(
        f"{JOB}.0.0.{index}", 1, "", "", False, 0, cpu_milli=1_000, memory_mib=1_000
    )


def test_an_order_on_its_way_while_the_room_shrinks_is_refused():
    """A runner that starts whatever it is told was brought over its room. The leader
    had ordered three tasks by what it had last heard; the runner's heartbeat came to
    its agent before they did, and the agent passed all of them on.
    """

    async def main():
        async with build_stage() as stage:
            smaller = replace(build_beat("w", sequence=2), capacity=SMALL)
            stage.ledger.update(smaller)
            orders = tuple(build_order(index) for index in range(3))
            directive = Directive(1, 1, 10_000, 7, "w", 0, (), orders, (), ())
            await stage.executor.carry_out(directive)
            await curio.sleep(SETTLE_S)
            started = [call.task for call in stage.runtime.starts]
            assert started == [order.task for order in orders[:2]]
            details = [one.detail for one in stage.ledger.orders.values()]
            assert details == ["", "", "the worker has no room left"]

    curio.run(main)


def test_what_takes_nothing_that_is_short_is_started():
    """Filling work, which reserves no processor, was refused by a worker whose serving
    tasks reserve more processors than it has left; the leader placed it there again and
    again, three times a second.
    """

    async def main():
        async with build_stage() as stage:
            smaller = Resources(500, 8_000, 0)
            stage.ledger.update(replace(build_beat("w", sequence=2), capacity=smaller))
            serving = replace(build_order(0), serves_ms=100)
            stage.ledger.described[serving.task, 1] = serving
            running = RunningTask(serving.task, 1, "", 100, 5)
            now = read_boot_clock()
            stage.ledger.take_listing(
                Listing(CallResult.DONE, 2_000, (running,)), now, now
            )
            filling = replace(build_order(1), fills=True)
            directive = Directive(1, 1, 10_000, 7, "w", 0, (), (filling,), (), ())
            await stage.executor.carry_out(directive)
            await curio.sleep(SETTLE_S)
            assert [call.task for call in stage.runtime.starts] == [filling.task]

    curio.run(main)


def test_an_order_that_waited_while_its_agent_stood_still_is_refused():
    """An agent stood still for five seconds, while its runner's room shrank. The order
    that had come before was the first thing it did; the heartbeat still lay unread.
    """

    async def main():
        async with build_stage() as stage:
            stage.ledger.answered_at -= 5.0
            await stage.order()
            assert not stage.runtime.starts
            details = [one.detail for one in stage.ledger.orders.values()]
            assert details == ["the runner has not answered lately"]

    curio.run(main)


def test_a_smaller_room_is_told_at_once():
    """The leader went on ordering for 0.4 s, until the next report was due."""
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    assert ledger.update(replace(build_beat("w", sequence=2), capacity=SMALL))
    assert not ledger.update(replace(build_beat("w", sequence=3), capacity=SMALL))


def test_a_worker_that_has_too_little_memory_gives_up_what_costs_least(leader):
    """Memory that is gone cannot be shared: the machine ends a task of its own choice,
    a serving one as likely as any. So the one that loses least is stopped, and counts
    until its end is listed. Processors are shared, and nobody goes for them.
    """
    serving = Step(1, Resources(1_000, 30_000, 0), 60.0, lasts=True, serves_ms=100)
    keeper = leader.find(leader.add(1, serving))
    place(leader)
    number = leader.find_node(keeper)
    worker = leader.fleet.get(f"n{number}")
    old = leader.find(leader.add(2, Step(1, Resources(1_000, 15_000, 0), 9.0)))
    leader.book.place(old, 1, worker.place, lambda: None)
    leader.report(number)
    leader.wait(3.0)
    young = leader.find(leader.add(3, Step(1, Resources(1_000, 15_000, 0), 9.0)))
    leader.book.place(young, 1, worker.place, lambda: None)
    leader.report(number)
    leader.wait(0.5)
    # It has begun last of all and would be the cheapest, and it lasts.
    guest = leader.find(
        leader.add(5, Step(1, Resources(0, 3_000, 0), 60.0, lasts=True))
    )
    leader.book.place(guest, 1, worker.place, lambda: None)
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
    leader.book.requeue(young)
    place(leader)
    assert leader.find_node(late) == number


def test_no_start_brings_a_runner_over_a_room_that_shrinks_and_grows():
    """The whole way: leader, agents and runners that guard nothing."""

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
