"""Eviction on the agent, with faults and outages between its steps."""

from __future__ import annotations

from functools import partial

import curio
import pytest

from pistachiodeal.agent.run_records import Phase
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import LeaseGrant, Renew, Stop, TaskAck
from tests.unit.fake_agent_tasks import (
    SETTINGS,
    TASK,
    Bench,
    build_start,
    run_bench,
)

KEY = f"checkpoint/{TASK}/1"
EVICT = Stop(TASK, 1, 3, 5, evict=True)


@pytest.mark.parametrize("fault", ["", "after", "before"])
def test_stop_is_confirmed_before_it_is_reported(fault):
    """Guards against an evicted task that runs on two workers.

    If a requested stop counts as done, the task is requeued although the stop or
    its response was lost.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.faults["stop"] = [fault]
        await bench.settle(EVICT)
        assert len(await bench.send()) == (fault == "")
        await bench.check()
        (ended,) = await bench.send(later=10)
        assert (ended.state, ended.checkpoint) == ("stopped", KEY)
        assert bench.objects.stored == {KEY: b"state"}

    run_bench(case)


@pytest.mark.parametrize("down", ["worker", "store"])
def test_eviction_without_a_checkpoint_leaves_the_task_running(down):
    """Guards against an eviction that loses hours of work.

    The task must not be stopped if its checkpoint fails or cannot be stored.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.objects.down = down == "store"
        bench.runtime.faults["checkpoint"] = ["refused"] * (down == "worker")
        await bench.manager.evict(TASK)
        await bench.settle()
        assert "stop" not in bench.runtime.calls
        assert len(bench.manager.runs()) == 1

    run_bench(case)


def test_finish_between_checkpoint_and_stop():
    """Guards against a finished task that runs again from its last checkpoint.

    The task finishes between checkpoint and stop; the state in the response to the
    stop shows it.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        finish = partial(bench.runtime.end, (TASK, 1), RunState.FINISHED)
        bench.objects.before_call = finish
        await bench.settle(EVICT)
        bench.objects.before_call = lambda: None
        (ended,) = await bench.send()
        assert (ended.state, ended.checkpoint) == ("finished", "")
        await bench.settle(TaskAck(TASK, 1))
        assert bench.objects.stored == {}

    run_bench(case)


def test_lease_ends_in_an_outage_of_all_stores():
    """Guards against the loss of work since the last checkpoint in an outage.

    Without renewals the worker ends the run, so a checkpoint is taken before. If
    the object store is down too, the checkpoint is kept until it can be stored.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.objects.down = True
        bench.now += 56
        await bench.check()
        assert bench.runtime.runs[(TASK, 1)].state is RunState.STOPPED
        assert await bench.send(later=10) == []
        bench.objects.down = False
        (ended,) = await bench.send(later=10)
        assert (ended.state, ended.checkpoint) == ("stopped", KEY)
        assert bench.objects.stored == {KEY: b"state"}

    run_bench(case)


def test_renewal_while_the_last_checkpoint_is_made():
    async def case(bench: Bench) -> None:
        def renew() -> None:
            (record,) = bench.manager.records
            record.lease_until += 60

        await bench.settle(build_start())
        bench.objects.before_call = renew
        bench.now += 56
        await bench.check()
        assert [record.phase for record in bench.manager.records] == [Phase.RUNNING]

    run_bench(case)


def test_drain_returns_when_every_owner_has_acknowledged():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start(), build_start(task_id="0003-b"))
        bench.runtime.faults["checkpoint"] = ["refused"]
        bench.acknowledges = True
        worker = await curio.spawn(bench.manager.run)
        await bench.manager.drain()
        await worker.cancel()
        assert [ended.state for ended in bench.sent] == ["stopped"] * 2
        assert all(ended.checkpoint for ended in bench.sent)
        await bench.settle(build_start(task_id="0003-c"))
        assert [refused.code for refused in await bench.send()] == ["draining"]

    run_bench(case)


def test_drain_stops_without_a_checkpoint_after_half_its_time():
    """Guards against a drain that times out with tasks still running.

    If every checkpoint is refused, the retries need a time limit of their own, half
    that of the drain.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.faults["checkpoint"] = ["refused"] * 10_000
        bench.acknowledges = True
        worker = await curio.spawn(bench.manager.run)
        drain = await curio.spawn(bench.manager.drain)
        while bench.runtime.calls.count("checkpoint") < 2:
            await curio.sleep(0)
        assert "stop" not in bench.runtime.calls
        bench.now += SETTINGS.drain_s / 2
        await drain.join()
        await worker.cancel()
        assert [(e.state, e.checkpoint) for e in bench.sent] == [("stopped", "")]

    run_bench(case)


def test_renewals_count_from_their_beat_and_go_in_one_call():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start(), build_start(task_id="0003-b"))
        bench.manager.record_beat(2, sent_at := bench.now + 1)
        bench.now += 20
        await bench.manager.receive(Renew(2, (LeaseGrant(3, 5, 60_000),)))
        await bench.manager.receive(Renew(2, (LeaseGrant(3, 4, 90_000),)))
        await bench.manager._renewer.renew_pending()
        assert set(bench.runtime.leases.values()) == {sent_at + 60}
        assert bench.runtime.calls.count("renew") == 1
        await bench.settle(build_start(task_id="0003-c", size=Resources(), beat=2))
        started = dict(bench.runtime.leases)
        await bench.manager.receive(Renew(2, (LeaseGrant(3, 5, 90_000),)))
        await bench.manager._renewer.renew_pending()
        assert bench.runtime.leases[("0003-c", 1)] == started[("0003-c", 1)]
        renewed = dict(bench.runtime.leases)
        assert renewed != started
        bench.manager.record_epoch(3, 6)
        await bench.manager.receive(Renew(2, (LeaseGrant(3, 5, 120_000),)))
        await bench.manager._renewer.renew_pending()
        assert bench.runtime.leases == renewed

    run_bench(case)
