"""Tasks on the agent: which messages owners get, and when."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from pistachiodeal.exceptions import WorkerFencedError
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import StartRefused, TaskAck, TaskEnded
from tests.unit.fake_agent_tasks import (
    CANCEL,
    CAPACITY,
    SIZE,
    TASK,
    Bench,
    build_start,
    run_bench,
)


def test_lost_answer_of_a_start_that_took_effect():
    """Guards against a task that runs twice.

    The worker starts a task and its response is lost. If the agent treats that as a
    refusal, the owner starts the task elsewhere.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["after"]
        await bench.settle(build_start())
        assert await bench.send() == []
        assert len(bench.manager.list_refs({3})) == 1
        await bench.check()
        assert [view.task_id for view in bench.manager.runs()] == [TASK]

    run_bench(case)


def test_lost_start_is_refused_only_when_its_lease_is_over():
    """Guards against a task that runs after its owner received a refusal.

    A start is delayed, so the worker's list does not show it, and arrives later. A
    list without it proves nothing; only the end of the lease does.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["before"] + ["refused"] * 100
        await bench.settle(build_start())
        for _ in range(5):
            await bench.check()
            assert await bench.send() == []
        assert bench.manager.ledger.free == CAPACITY - SIZE
        bench.now += 62
        await bench.check()
        assert await bench.send() == [StartRefused(TASK, 1, "start_failed", "")]
        assert bench.manager.ledger.free == CAPACITY

    run_bench(case)


def test_cancel_of_an_uncertain_start_stops_the_run_that_appears():
    """Guards against a cancelled task that keeps running.

    The response to a start is lost, a cancel finds no run at the worker, and then
    the start takes effect; the cancel must still apply.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["after"]
        await bench.settle(build_start())
        late = bench.runtime.runs.pop((TASK, 1))
        earlier = replace(late, attempt=0, state=RunState.FINISHED)
        bench.runtime.runs[(TASK, 0)] = earlier
        await bench.settle(CANCEL)
        assert await bench.send() == []
        bench.runtime.runs[(TASK, 1)] = late
        await bench.check()
        assert [m.state for m in await bench.send()] == ["stopped"]

    run_bench(case)


def test_suspension_while_the_checkpoint_is_loaded():
    """Guards against a task that starts after its owner has given it up.

    The agent is suspended while it loads the checkpoint, past the end of the lease;
    it must check the clock before it goes on.
    """

    async def case(bench: Bench) -> None:
        def freeze() -> None:
            bench.now += 100

        bench.objects.stored["checkpoint/x/1"] = b"state"
        bench.objects.before_call = freeze
        await bench.settle(build_start(checkpoint="checkpoint/x/1"))
        assert "start" not in bench.runtime.calls
        assert await bench.send() == [StartRefused(TASK, 1, "lease_expired", "")]
        assert bench.manager.ledger.free == CAPACITY

    run_bench(case)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"beat": 2}, "lease_expired"),
        ({"size": Resources(9000, 1, 0)}, "no_room"),
        ({"epoch": 4, "task_id": "0003-b"}, "stale_epoch"),
        ({"attempt": 2}, "busy"),
        ({}, "worker_refused"),
        ({"checkpoint": "none", "task_id": "0003-b"}, "checkpoint_missing"),
    ],
)
def test_starts_that_are_refused(changes, code):
    async def case(bench: Bench) -> None:
        if code in ("busy", "stale_epoch"):
            await bench.settle(build_start())
        bench.runtime.faults["start"] = ["refused"]
        await bench.settle(build_start(**changes))
        assert [message.code for message in await bench.send()] == [code]

    run_bench(case)


def test_start_that_arrives_after_the_answer_to_its_stop():
    """Guards against a requeued task that runs on two workers.

    The Start is sent on a slow link and the Stop on a fast one. The Stop is answered
    with ``unknown_run``, then the Start arrives and must be rejected.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(CANCEL, build_start())
        states = [
            getattr(message, "state", "refused") for message in await bench.send()
        ]
        assert states == ["refused"]
        assert "start" not in bench.runtime.calls
        await bench.settle(build_start(attempt=2))
        assert (TASK, 2) in bench.runtime.runs

    run_bench(case)


def test_finish_takes_precedence_over_cancel():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.end((TASK, 1), RunState.FINISHED)
        await bench.settle(CANCEL)
        (ended,) = await bench.send()
        assert (ended.state, ended.result) == ("finished", "finished")

    run_bench(case)


def test_restarted_agent_counts_what_runs_before_it_accepts():
    """Guards against an overcommitted worker after a restart of its agent.

    Tasks run meanwhile, also of a size that would be refused now. With an empty
    ledger or without epochs, the new agent would accept a task that does not fit, or
    one of an earlier owner.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        key = (TASK, 1)
        run = bench.runtime.runs[key]
        bench.runtime.runs[key] = type(run)(
            *key, run.kind, Resources(9000, 100, 0), RunState.RUNNING, tag=run.tag
        )
        bench.create_manager()
        await bench.manager.attach()
        assert bench.manager.room == Resources()
        bench.now += 10
        bench.manager.record_beat(1, bench.now)
        assert bench.manager.ledger.free.cpu_milli < 0
        tiny = Resources(0, 1, 0)
        await bench.settle(
            build_start(task_id="0003-b", size=tiny),
            build_start(task_id="0003-c", size=tiny, epoch=4),
        )
        assert [m.code for m in await bench.send()] == ["no_room", "stale_epoch"]

    run_bench(case)


def test_end_is_resent_until_acknowledged_then_removed():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.end((TASK, 1), RunState.FAILED)
        bench.linked = False
        await bench.check()
        assert await bench.send() == []
        bench.linked = True
        for _ in range(2):
            (ended,) = await bench.send(later=10)
            assert isinstance(ended, TaskEnded)
        assert bench.manager.list_refs({3}) == ()
        await bench.settle(TaskAck(TASK, 1))
        assert await bench.send(later=10) == []
        assert bench.runtime.runs == {}
        assert bench.manager.partitions() == set()
        await bench.settle(build_start())
        assert bench.runtime.runs == {}

    run_bench(case)


def test_list_that_is_older_than_an_acknowledged_end():
    """Guards against an ended run that keeps its reservation forever.

    While a list of runs is in transit, the run ends, is acknowledged and removed.
    The list, which still shows it as running, must not bring it back.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.gates["list"] = curio.Event()
        poll = await curio.spawn(bench.manager._watcher.check_runs)
        await curio.sleep(0)
        await bench.settle(CANCEL, TaskAck(TASK, 1))
        await bench.runtime.gates["list"].set()
        await poll.join()
        assert bench.manager.list_refs({3}) == ()
        assert bench.manager.ledger.free == CAPACITY

    run_bench(case)


def test_run_that_the_worker_no_longer_lists():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.runs.clear()
        await bench.check()
        assert [message.state for message in await bench.send()] == ["unknown_run"]
        assert bench.manager.ledger.free == CAPACITY
        await bench.settle(build_start())
        assert bench.runtime.runs == {}

    run_bench(case)


def test_one_blocked_task_holds_up_no_other_and_keeps_its_order():
    async def case(bench: Bench) -> None:
        bench.runtime.gates["stop"] = gate = curio.Event()
        await bench.settle(build_start())
        worker = await curio.spawn(bench.manager.run)
        await bench.manager.receive(CANCEL)
        await bench.manager.receive(TaskAck(TASK, 1))
        await bench.manager.receive(build_start(task_id="0003-b"))
        while not any(key[0] == "0003-b" for key in bench.runtime.runs):
            await curio.sleep(0)
        assert "forget" not in bench.runtime.calls
        await gate.set()
        while "forget" not in bench.runtime.calls:
            await curio.sleep(0)
        await worker.cancel()

    run_bench(case)


def test_fenced_agent_stops():
    """Guards against two agents that assign the resources of one worker.

    After a second agent attaches, the first must stop, and not treat the fencing
    error like any other error of the worker.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["fenced"]
        await bench.manager.receive(build_start())
        with pytest.raises(WorkerFencedError):
            await bench.manager.run()

    run_bench(case)
