"""Tests of the executor: which orders an agent carries out and which it refuses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobagent.executor import RETRY_S, Executor
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.model import OrderState
from pistachiodeal.jobs.runtime import CallResult, Listing, StartCall
from pistachiodeal.wire.job_messages import Directive, JobText, RunOrder, RunRef
from tests.standins.job_cluster import create_quiet_log
from tests.unit.test_jobagent_ledger import build_beat

TASK = "0123456789abcdef.0.0.0"
SETTLE_S = 0.05


@dataclass
class FakeRuntime:
    """A runner that gives a set answer and records the calls."""

    result: CallResult = CallResult.DONE
    starts: list[StartCall] = field(default_factory=list)
    stops: list[tuple[str, str, int]] = field(default_factory=list)

    async def start(self, call: StartCall) -> CallResult:
        self.starts.append(call)
        return self.result

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        self.stops.append((worker, task, run))
        return self.result


def build_directive(
    starts: tuple[RunOrder, ...], stops: tuple[RunRef, ...] = (), worker: str = "w"
) -> Directive:
    """Return a directive with the text of the job of each start."""
    jobs = dict.fromkeys(start.task.partition(".")[0] for start in starts)
    texts = tuple(JobText(job, build_text(job)) for job in jobs)
    return Directive(1, 1, 10_000, 7, worker, 0, texts, starts, stops, ())


def build_text(job_id: str) -> str:
    """Return the text of a job."""
    return f"text of {job_id}"


@dataclass
class AgentHarness:
    """An agent that has adopted worker ``w`` and holds a grant of its leader."""

    ledger: AgentLedger
    runtime: FakeRuntime
    executor: Executor

    async def order(self, *, worker: str = "w", run: int = 1) -> None:
        """Execute a directive with one start, and wait until it has taken effect."""
        start = RunOrder(TASK, run, "", "", False, 0)
        await self._take((start,), (), worker)

    async def stop(self, run: int = 1) -> None:
        """Execute a directive with one stop."""
        await self._take((), (RunRef(TASK, run),), "w")

    async def _take(
        self, starts: tuple[RunOrder, ...], stops: tuple[RunRef, ...], worker: str
    ) -> None:
        await self.executor.carry_out(build_directive(starts, stops, worker))
        await curio.sleep(SETTLE_S)


@asynccontextmanager
async def build_harness() -> AsyncIterator[AgentHarness]:
    ledger, runtime = AgentLedger(create_quiet_log()), FakeRuntime()
    ledger.adopt(build_beat("w"))
    now = read_boot_clock()
    ledger.authority.granted_until = now + 10.0
    ledger.apply_listing(Listing(CallResult.DONE, 1_000), now, now)
    executor = Executor(ledger, runtime, create_quiet_log(), AgentSignals())
    yield AgentHarness(ledger, runtime, executor)


def test_an_order_for_another_incarnation_is_not_carried_out():
    """Guards against a run that starts on a worker that the leader did not choose.

    The worker restarts between the decision and the order, and only its address is
    compared.
    """

    async def main() -> None:
        async with build_harness() as harness:
            await harness.order(worker="earlier")
            assert harness.runtime.starts == []
            assert harness.ledger.orders == {}

    curio.run(main)


def test_an_order_that_comes_twice_is_carried_out_once():
    """Guards against a start that is repeated after its run has ended.

    A new leader sends an order again, and each copy is taken for a new order.
    """

    async def main() -> None:
        async with build_harness() as harness:
            await harness.order()
            await harness.order()
            assert len(harness.runtime.starts) == 1

    curio.run(main)


def build_starts(jobs: range, run: int = 1) -> tuple[RunOrder, ...]:
    """Return the start of one task of each job."""
    return tuple(RunOrder(f"{job:016x}.0.0.0", run, "", "", False, 0) for job in jobs)


def test_each_start_has_the_text_of_its_job_however_many_jobs_came_before():
    """Guards against tasks that are started with an empty text.

    A worker restarts after its agent has seen hundreds of jobs, and the tasks of an old
    job are started again by a directive that has new jobs as well.
    """

    async def main() -> list[str]:
        async with build_harness() as harness:
            again = (*build_starts(range(1, 21), run=2), *build_starts(range(401, 451)))
            for starts in (build_starts(range(1, 401)), again):
                directive = build_directive(starts)
                harness.ledger.apply_directive(directive, read_boot_clock())
                await harness.executor.carry_out(directive)
                await curio.sleep(SETTLE_S)
            calls = harness.runtime.starts
            assert len(calls) == 470
            return [
                call.task
                for call in calls
                if call.text != build_text(call.task.partition(".")[0])
            ]

    assert curio.run(main) == []


def test_a_start_without_the_text_of_its_job_is_refused():
    """Guards against a task that is started with less than its client sent."""

    async def main() -> None:
        async with build_harness() as harness:
            start = RunOrder(TASK, 1, "", "", False, 0)
            await harness.executor.carry_out(
                replace(build_directive((start,)), texts=())
            )
            await curio.sleep(SETTLE_S)
            assert harness.runtime.starts == []
            assert harness.ledger.orders[TASK, 1].state is OrderState.REFUSED

    curio.run(main)


def test_a_draining_worker_starts_nothing():
    """Guards against a task that is started on a worker about to end.

    An order sent before the runner reported that it drains arrives after that, and only
    the leader checks for draining.
    """

    async def main() -> None:
        async with build_harness() as harness:
            harness.ledger.beat = replace(build_beat("w"), draining=True)
            await harness.order()
            assert harness.runtime.starts == []
            [order] = harness.ledger.orders.values()
            assert order.state is OrderState.REFUSED

    curio.run(main)


def test_nothing_starts_after_the_grant_has_expired():
    """Guards against a task that runs twice.

    An agent is suspended with a pending order until its grant has expired, and the task
    is placed elsewhere. The grant is checked only when the order arrives.
    """

    async def main() -> None:
        async with build_harness() as harness:
            harness.ledger.authority.granted_until = read_boot_clock() - 0.1
            await harness.order()
            assert harness.runtime.starts == []
            [order] = harness.ledger.orders.values()
            assert order.state is OrderState.REFUSED
            assert order.detail == "the leader's grant has run out"

    curio.run(main)


def test_an_order_does_not_outlive_its_incarnation():
    """Guards against a restarted worker that starts runs of its last incarnation.

    The worker restarts after an order has arrived and before it is carried out, and the
    incarnation is compared only on arrival.
    """

    async def main() -> None:
        async with build_harness() as harness:
            start = RunOrder(TASK, 1, "", "", False, 0)
            await harness.executor.carry_out(build_directive((start,)))
            restarted = replace(build_beat("w"), worker="restarted")
            harness.ledger.beat = restarted
            await curio.sleep(SETTLE_S)
            assert harness.runtime.starts == []

    curio.run(main)


def test_a_stop_is_repeated_until_the_runner_answers():
    """Guards against a run that continues after the leader has given it up.

    The runner refuses the stop for a moment, and the stop is sent only once.
    """

    async def main() -> None:
        async with build_harness() as harness:
            harness.runtime.result = CallResult.UNKNOWN
            await harness.stop()
            harness.runtime.result = CallResult.DONE
            await curio.sleep(2 * RETRY_S)
            assert len(harness.runtime.stops) >= 2
            assert harness.ledger.orders[TASK, 1].settled_at > 0

    curio.run(main)


def test_a_stop_ends_with_the_incarnation_that_it_is_for():
    """Guards against a stop that ends a run of the next incarnation.

    The worker restarts while a stop gets no answer, and the stop is repeated for the
    same address.
    """

    async def main() -> None:
        async with build_harness() as harness:
            harness.runtime.result = CallResult.UNKNOWN
            await harness.stop()
            harness.ledger.adopt(build_beat("restarted"))
            asked = len(harness.runtime.stops)
            await curio.sleep(3 * RETRY_S)
            assert len(harness.runtime.stops) == asked

    curio.run(main)
