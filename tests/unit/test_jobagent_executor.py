"""Orders at the runner: what an agent carries out, and what it refuses."""

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
from pistachiodeal.wire.job_messages import Directive, RunOrder, RunRef
from tests.standins.job_cluster import create_quiet_log
from tests.unit.test_jobagent_ledger import build_beat

TASK = "0123456789abcdef.0.0.0"
SETTLE_S = 0.05


@dataclass
class FakeRuntime:
    """A runner that answers as it is told, and notes what it was asked."""

    result: CallResult = CallResult.DONE
    starts: list[StartCall] = field(default_factory=list)
    stops: list[tuple[str, str, int]] = field(default_factory=list)

    async def start(self, call: StartCall) -> CallResult:
        self.starts.append(call)
        return self.result

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        self.stops.append((worker, task, run))
        return self.result


@dataclass
class Stage:
    """An agent whose worker ``w`` is known and whose leader has granted it time."""

    ledger: AgentLedger
    runtime: FakeRuntime
    executor: Executor

    async def order(self, *, worker: str = "w", run: int = 1) -> None:
        """Take a directive with one start, and let it be carried out."""
        start = RunOrder(TASK, run, "", "", False, 0)
        await self._take((start,), (), worker)

    async def stop(self, run: int = 1) -> None:
        """Take a directive with one stop."""
        await self._take((), (RunRef(TASK, run),), "w")

    async def _take(
        self, starts: tuple[RunOrder, ...], stops: tuple[RunRef, ...], worker: str
    ) -> None:
        directive = Directive(1, 1, 10_000, 7, worker, 0, (), starts, stops, ())
        await self.executor.carry_out(directive)
        await curio.sleep(SETTLE_S)


@asynccontextmanager
async def build_stage() -> AsyncIterator[Stage]:
    ledger, runtime = AgentLedger(create_quiet_log()), FakeRuntime()
    ledger.adopt(build_beat("w"))
    now = read_boot_clock()
    ledger.authority.granted_until = now + 10.0
    ledger.apply_listing(Listing(CallResult.DONE, 1_000), now, now)
    executor = Executor(ledger, runtime, create_quiet_log(), AgentSignals())
    yield Stage(ledger, runtime, executor)


def test_an_order_for_another_incarnation_is_not_carried_out():
    """Symptom: a run begins on a worker that the leader did not choose.

    Sequence: the worker is reborn between the decision and the order. Cause: only the
    address was compared.
    """

    async def main() -> None:
        async with build_stage() as stage:
            await stage.order(worker="earlier")
            assert stage.runtime.starts == []
            assert stage.ledger.orders == {}

    curio.run(main)


def test_an_order_that_comes_twice_is_carried_out_once():
    """Symptom: a start is repeated after its run has ended. Sequence: a new leader
    sends an order again. Cause: each copy was taken for a new one.
    """

    async def main() -> None:
        async with build_stage() as stage:
            await stage.order()
            await stage.order()
            assert len(stage.runtime.starts) == 1

    curio.run(main)


def test_a_draining_worker_starts_nothing():
    """Symptom: a task ends with its worker. Sequence: the runner says that it drains;
    an order of before arrives. Cause: the leader alone looked.
    """

    async def main() -> None:
        async with build_stage() as stage:
            stage.ledger.beat = replace(build_beat("w"), draining=True)
            await stage.order()
            assert stage.runtime.starts == []
            [order] = stage.ledger.orders.values()
            assert order.state is OrderState.REFUSED

    curio.run(main)


def test_nothing_starts_once_the_grant_has_run_out():
    """Symptom: a task runs twice. Sequence: an agent stands still past its grant with
    an order in hand, and goes on; the tasks were placed elsewhere meanwhile. Cause: the
    grant was looked at when the order came.
    """

    async def main() -> None:
        async with build_stage() as stage:
            stage.ledger.authority.granted_until = read_boot_clock() - 0.1
            await stage.order()
            assert stage.runtime.starts == []
            [order] = stage.ledger.orders.values()
            assert order.state is OrderState.REFUSED
            assert order.detail == "the leader's grant has run out"

    curio.run(main)


def test_an_order_does_not_outlive_its_incarnation():
    """Symptom: a reborn worker starts what its last incarnation was told to.

    Sequence: an order is taken; before it is carried out the worker is reborn. Cause:
    the incarnation was compared only when the order came.
    """

    async def main() -> None:
        async with build_stage() as stage:
            start = RunOrder(TASK, 1, "", "", False, 0)
            directive = Directive(1, 1, 10_000, 7, "w", 0, (), (start,), (), ())
            await stage.executor.carry_out(directive)
            reborn = replace(build_beat("w"), worker="reborn")
            stage.ledger.beat = reborn
            await curio.sleep(SETTLE_S)
            assert stage.runtime.starts == []

    curio.run(main)


def test_a_stop_is_repeated_until_the_runner_answers():
    """Symptom: a run that was given up goes on. Sequence: the stop is refused for a
    moment. Cause: it was sent once.
    """

    async def main() -> None:
        async with build_stage() as stage:
            stage.runtime.result = CallResult.UNKNOWN
            await stage.stop()
            stage.runtime.result = CallResult.DONE
            await curio.sleep(2 * RETRY_S)
            assert len(stage.runtime.stops) >= 2
            assert stage.ledger.orders[TASK, 1].settled_at > 0

    curio.run(main)


def test_a_stop_ends_with_the_incarnation_that_it_is_for():
    """Symptom: a reborn worker's run of the same number is stopped. Sequence: a stop
    finds no answer; the worker is reborn. Cause: the stop went on for the address.
    """

    async def main() -> None:
        async with build_stage() as stage:
            stage.runtime.result = CallResult.UNKNOWN
            await stage.stop()
            stage.ledger.adopt(build_beat("reborn"))
            asked = len(stage.runtime.stops)
            await curio.sleep(3 * RETRY_S)
            assert len(stage.runtime.stops) == asked

    curio.run(main)
