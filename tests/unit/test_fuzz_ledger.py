"""Starts, stops and ends of runs in any interleaving, with a fault at any call."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiodeal.agent.ledger import create_ledger
from pistachiodeal.exceptions import WorkerRefusedError
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import StartRefused, Stop, TaskAck, TaskEnded
from tests.unit.fake_agent_tasks import CAPACITY, Bench, build_start

TASKS = st.sampled_from(["0003-a", "0003-b", "0003-c"])
SIZES = st.sampled_from([Resources(n, n, 0) for n in (1000, 3000, 5000)])
FAULTS = st.sampled_from(["", "", "before", "after", "late", "refused"])
PICK = st.sampled_from([0, 0, 0, 1, 2, -1])


class TaskMachine(RuleBasedStateMachine):
    """The worker is never overcommitted; a run reported as ended never runs."""

    def __init__(self) -> None:
        super().__init__()
        self.kernel = curio.Kernel()
        self.bench = Bench()
        self.runtime = self.bench.runtime
        self.beat = 1
        self.attempts: dict[str, int] = {}
        self.ended: set[tuple[str, int]] = set()
        self.kernel.run(self.open)

    async def open(self) -> None:
        await self.bench.attach()
        self.runtime.blocked = []
        self.bench.objects.stored["checkpoint"] = b"state"
        self.bench.objects.wait = self.wait_for_answer
        for _ in range(4):
            await curio.spawn(self.bench.manager._executor.run_actions, daemon=True)

    async def wait_for_answer(self) -> None:
        self.runtime.blocked.append(("objects", gate := curio.Event()))
        await gate.wait()

    def teardown(self) -> None:
        self.kernel.run(shutdown=True)

    def run(self, function, *arguments) -> None:
        """Run a step, and let every curio task run until it blocks."""

        async def main() -> None:
            await function(*arguments)
            for _ in range(5):
                await curio.sleep(0)

        self.kernel.run(main)

    @rule(task=TASKS, size=SIZES, again=st.booleans())
    def start(self, task: str, size: Resources, again: bool) -> None:
        """Send a Start that is valid, or sometimes one of an ended attempt."""
        attempt = self.attempts.setdefault(task, 1)
        if (task, attempt) in self.ended and not again:
            self.attempts[task] = attempt = attempt + 1
        start = build_start(
            task_id=task,
            attempt=attempt,
            size=size,
            beat=self.beat,
            checkpoint="checkpoint",
        )
        self.run(self.bench.manager.receive, start)

    @rule(first=TASKS, size=SIZES)
    def start_two(self, first: str, size: Resources) -> None:
        self.start(first, size, False)
        self.start("0003-d", size, False)

    @rule(task=TASKS, evict=st.booleans())
    def stop(self, task: str, evict: bool) -> None:
        stop = Stop(task, self.attempts.get(task, 1), 3, 5, evict)
        self.run(self.bench.manager.receive, stop)

    @rule(pick=PICK, fault=FAULTS)
    def answer(self, pick: int, fault: str) -> None:
        if self.runtime.blocked:
            blocked = self.runtime.blocked
            name, gate = blocked.pop(pick % len(blocked))
            self.runtime.faults[name] = [fault]
            self.run(gate.set)
            self.expire()

    @rule()
    def answer_all(self) -> None:
        for _ in range(20):
            self.answer(0, "")

    @rule(pick=PICK)
    def arrive_late(self, pick: int) -> None:
        """Let a call take effect after its caller gave it up.

        A start whose lease has ended meanwhile expires at once.
        """
        if self.runtime.late:
            # A late call may be refused, such as a stop of a run that was removed
            # meanwhile. Its caller no longer waits, so the refusal is dropped.
            with suppress(WorkerRefusedError):
                self.runtime.late.pop(pick % len(self.runtime.late))()
            self.expire()

    @rule(seconds=st.sampled_from([0.1, 5.0, 62.0]))
    def pass_time(self, seconds: float) -> None:
        self.bench.now += seconds
        self.beat += 1
        self.bench.manager.record_beat(self.beat, self.bench.now)
        self.expire()

    def expire(self) -> None:
        for key, until in self.runtime.leases.items():
            if until <= self.bench.now and self.is_running(key):
                self.runtime.end(key, RunState.EXPIRED)

    def is_running(self, key: tuple[str, int]) -> bool:
        run = self.runtime.runs.get(key)
        return run is not None and run.state is RunState.RUNNING

    @rule()
    def poll_runs(self) -> None:
        self.bench.now += 0.01
        check = self.bench.manager._watcher.check_runs
        self.run(partial(curio.spawn, check, daemon=True))

    @rule(pick=PICK)
    def finish(self, pick: int) -> None:
        running = [key for key in self.runtime.runs if self.is_running(key)]
        if running:
            self.runtime.end(running[pick % len(running)], RunState.FINISHED)

    @rule(acknowledge=st.booleans())
    def deliver_messages(self, acknowledge: bool) -> None:
        self.run(self.bench.send, 10)
        for message in self.bench.sent:
            if isinstance(message, StartRefused | TaskEnded):
                self.ended.add((message.task_id, message.attempt))
            if acknowledge and isinstance(message, TaskEnded):
                ack = TaskAck(message.task_id, message.attempt)
                self.run(self.bench.manager.receive, ack)

    @invariant()
    def worker_holds_what_runs(self) -> None:
        running = [key for key in self.runtime.runs if self.is_running(key)]
        room = CAPACITY
        for key in running:
            room = room - self.runtime.runs[key].size
        assert Resources().fits(room)
        assert Resources().fits(self.bench.manager.ledger.free)
        assert self.bench.manager.ledger.free.fits(room)
        assert not self.ended & set(running)
        assert len({task for task, _ in running}) == len(running)


def test_an_unchecked_reservation_leaves_no_room():
    ledger = create_ledger(Resources(10, 10, 0))
    ledger.reserve_unchecked("task/a", Resources(12, 1, 0))
    assert not ledger.reserve("runner/b", Resources(0, 1, 0))
    ledger.reserve_unchecked("task/a", Resources(1, 20, 0))
    ledger.release("task/a")
    assert ledger.free == ledger.capacity
    assert ledger.reserve("runner/b", Resources(9, 9, 0))
    assert not ledger.reserve("runner/b", Resources(11, 9, 0))
    assert ledger.reserve("runner/b", Resources(2, 2, 0))
    assert not ledger.reserve("runner/c", Resources(-1, 0, 0))
    assert ledger.free == Resources(8, 8, 0)


TestTasks = TaskMachine.TestCase
TestTasks.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=60
)
