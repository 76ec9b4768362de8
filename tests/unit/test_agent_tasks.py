"""Tasks on the agent: what is said to owners, and when."""

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
    """Symptom: a task runs twice.

    Sequence: the worker starts a task and its answer is lost; the agent says
    refused; the owner starts the task elsewhere.
    Cause: a lost answer read as a refusal.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["after"]
        await bench.settle(build_start())
        assert await bench.send() == []
        assert len(bench.keeper.refs({3})) == 1
        await bench.check()
        assert [view.task_id for view in bench.keeper.runs()] == [TASK]

    run_bench(case)


def test_lost_start_is_refused_only_when_its_lease_is_over():
    """Symptom: a task runs after its owner was told that it never will.

    Sequence: a start is held up; the list does not show it; the agent says
    refused; the start arrives at the worker.
    Cause: a list is no fence; only the end of the lease is.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["before"] + ["refused"] * 100
        await bench.settle(build_start())
        for _ in range(5):
            await bench.check()
            assert await bench.send() == []
        assert bench.keeper.ledger.free == CAPACITY - SIZE
        bench.now += 62
        await bench.check()
        assert await bench.send() == [StartRefused(TASK, 1, "start_failed", "")]
        assert bench.keeper.ledger.free == CAPACITY

    run_bench(case)


def test_cancel_of_an_uncertain_start_stops_the_run_that_appears():
    """Symptom: a cancelled task runs on.

    Sequence: the answer of a start is lost; a cancel finds no run at the
    worker; the start takes effect after it.
    Cause: the cancel was forgotten once the worker knew no such run.
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


def test_freeze_while_the_checkpoint_is_loaded():
    """Symptom: a task starts after its owner has given it up.

    Sequence: the agent is frozen while it loads the checkpoint, past the end
    of the lease, and wakes up.
    Cause: it went on with its next line without a look at the clock.
    """

    async def case(bench: Bench) -> None:
        def freeze() -> None:
            bench.now += 100

        bench.objects.stored["checkpoint/x/1"] = b"state"
        bench.objects.before_call = freeze
        await bench.settle(build_start(checkpoint="checkpoint/x/1"))
        assert "start" not in bench.runtime.calls
        assert await bench.send() == [StartRefused(TASK, 1, "lease_expired", "")]
        assert bench.keeper.ledger.free == CAPACITY

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
    """Symptom: a task that was requeued runs in two places.

    Sequence: Start goes out on a slow link, Stop on a fast one; the answer is
    ``unknown_run``; the Start arrives.
    Cause: nothing was remembered of an attempt that never was here.
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


def test_finish_beats_cancel():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.end((TASK, 1), RunState.FINISHED)
        await bench.settle(CANCEL)
        (ended,) = await bench.send()
        assert (ended.state, ended.result) == ("finished", "finished")

    run_bench(case)


def test_restarted_agent_counts_what_runs_before_it_accepts():
    """Symptom: a worker holds more than it has.

    Sequence: an agent is replaced while tasks run, also of a size that it
    would not accept now; the new one takes a task, or a stale owner's.
    Cause: an empty ledger, and epochs that were forgotten.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        key = (TASK, 1)
        run = bench.runtime.runs[key]
        bench.runtime.runs[key] = type(run)(
            *key, run.kind, Resources(9000, 100, 0), RunState.RUNNING, tag=run.tag
        )
        bench.create_keeper()
        await bench.keeper.attach()
        assert bench.keeper.room == Resources()
        bench.now += 10
        bench.keeper.note_beat(1, bench.now)
        assert bench.keeper.ledger.free.cpu_milli < 0
        tiny = Resources(0, 1, 0)
        await bench.settle(
            build_start(task_id="0003-b", size=tiny),
            build_start(task_id="0003-c", size=tiny, epoch=4),
        )
        assert [m.code for m in await bench.send()] == ["no_room", "stale_epoch"]

    run_bench(case)


def test_end_is_told_until_acknowledged_then_forgotten():
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
        assert bench.keeper.refs({3}) == ()
        await bench.settle(TaskAck(TASK, 1))
        assert await bench.send(later=10) == []
        assert bench.runtime.runs == {}
        assert bench.keeper.partitions() == set()
        await bench.settle(build_start())
        assert bench.runtime.runs == {}

    run_bench(case)


def test_list_that_is_older_than_an_acknowledged_end():
    """Symptom: a run that ended long ago is held for ever, and its room with it.

    Sequence: a list is asked for; the run ends, is acknowledged and
    forgotten; the list arrives and shows it running.
    Cause: an old list taken for the present.
    """

    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.gates["list"] = curio.Event()
        look = await curio.spawn(bench.keeper._watcher.check_runs)
        await curio.sleep(0)
        await bench.settle(CANCEL, TaskAck(TASK, 1))
        await bench.runtime.gates["list"].set()
        await look.join()
        assert bench.keeper.refs({3}) == ()
        assert bench.keeper.ledger.free == CAPACITY

    run_bench(case)


def test_run_of_which_the_worker_has_no_trace():
    async def case(bench: Bench) -> None:
        await bench.settle(build_start())
        bench.runtime.runs.clear()
        await bench.check()
        assert [message.state for message in await bench.send()] == ["unknown_run"]
        assert bench.keeper.ledger.free == CAPACITY
        await bench.settle(build_start())
        assert bench.runtime.runs == {}

    run_bench(case)


def test_one_blocked_task_holds_up_no_other_and_keeps_its_order():
    async def case(bench: Bench) -> None:
        bench.runtime.gates["stop"] = gate = curio.Event()
        await bench.settle(build_start())
        worker = await curio.spawn(bench.keeper.run)
        await bench.keeper.receive(CANCEL)
        await bench.keeper.receive(TaskAck(TASK, 1))
        await bench.keeper.receive(build_start(task_id="0003-b"))
        while not any(key[0] == "0003-b" for key in bench.runtime.runs):
            await curio.sleep(0)
        assert "forget" not in bench.runtime.calls
        await gate.set()
        while "forget" not in bench.runtime.calls:
            await curio.sleep(0)
        await worker.cancel()

    run_bench(case)


def test_fenced_agent_stops():
    """Symptom: two agents give away one worker's room.

    Sequence: a second agent attaches; the first goes on.
    Cause: an error of the session treated like any other of the worker's.
    """

    async def case(bench: Bench) -> None:
        bench.runtime.faults["start"] = ["fenced"]
        await bench.keeper.receive(build_start())
        with pytest.raises(WorkerFencedError):
            await bench.keeper.run()

    run_bench(case)
