"""Calls to a runner that restarts at the same address with the same id."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from pistachiodeal.jobs.incarnations import build_incarnation
from pistachiodeal.jobs.runtime import CallResult, StartCall
from pistachiodeal.platform.runner import PlatformRunner, create_runner
from tests.harness.ports import reserve_port
from tests.standins import base

RUNNER = "i-1"
TOKEN = 7
TASK = "0123456789abcdef.0.0.0"


class RestartingRunner(base.StandIn):
    """A runner whose connections are closed when it restarts.

    :ivar calls: start time, path and document of each call that was carried out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.born: Any = 1_000
        self.calls: list[tuple[int, str, dict[str, Any]]] = []

    @property
    def worker(self) -> str:
        """Return the incarnation."""
        return build_incarnation(RUNNER, self.born)

    def connect(self) -> Callable[[base.Call], Awaitable[base.Answer]]:
        """Return the handler of one connection's calls."""
        born = self.born

        async def answer(call: base.Call) -> base.Answer:
            if self.born != born:
                raise base.AnswerLostError
            return await self.answer(call)

        return answer

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Carry out a call."""
        if call.headers.get("expect-instance") != RUNNER:
            return base.answer_json({}, 421)
        self.calls.append((self.born, call.path, call.document()))
        identity = {} if self.born is None else {"born": self.born}
        return base.answer_json({**identity, "clock_ms": 50})

    def list_calls(self, born: int) -> list[tuple[str, dict[str, Any]]]:
        """Return the calls that one incarnation has carried out."""
        return [(path, document) for at, path, document in self.calls if at == born]


async def serve(stand_in: RestartingRunner) -> PlatformRunner:
    """Serve until the end of the test; return a client."""
    address = f"{base.HOST}:{reserve_port()}"
    port = int(address.rpartition(":")[2])
    await curio.spawn(base.run_stand_in, stand_in, port, daemon=True)
    await curio.sleep(0.05)
    return create_runner(address)


async def ask_twice(call: Callable[[], Awaitable[Any]]) -> Any:
    """Return the second answer; the first may be lost with an old connection."""
    await call()
    return await call()


def test_ends_of_an_earlier_incarnation_are_not_acknowledged_at_the_next():
    """An incarnation whose first ends were acknowledged that way never lists them."""

    async def main():
        stand_in = RestartingRunner()
        runner = await serve(stand_in)
        earlier = stand_in.worker
        listing = await runner.renew(earlier, TOKEN, 57, 9_000, 0)
        assert listing.result is CallResult.DONE
        stand_in.born = 2_000
        listing = await ask_twice(lambda: runner.renew(earlier, TOKEN, 58, 9_000, 0))
        assert listing.result is CallResult.OTHER_INCARNATION
        calls = stand_in.list_calls(2_000)
        assert calls
        assert {document["last_seen"] for _, document in calls} == {0}
        assert not any("until_ms" in document for _, document in calls)

    curio.run(main)


def test_orders_for_an_earlier_incarnation_are_not_carried_out_by_the_next():
    """Otherwise a run that the leader has placed elsewhere starts here, too."""

    async def main():
        stand_in = RestartingRunner()
        runner = await serve(stand_in)
        earlier = stand_in.worker
        start = StartCall(earlier, TOKEN, TASK, 1, "text", 9_000, "", "")
        assert await runner.start(start) is CallResult.DONE
        stand_in.born = 500
        result = await ask_twice(lambda: runner.start(start))
        assert result is CallResult.OTHER_INCARNATION
        result = await runner.stop(earlier, TOKEN, TASK, 1)
        assert result is CallResult.OTHER_INCARNATION
        result = await runner.pace(earlier, TOKEN, TASK, 1, 50)
        assert result is CallResult.OTHER_INCARNATION
        assert {path for path, _ in stand_in.list_calls(500)} == {"/api/hold"}
        now = StartCall(stand_in.worker, TOKEN, TASK, 2, "text", 9_000, "", "")
        assert await runner.start(now) is CallResult.DONE

    curio.run(main)


def test_an_incarnation_that_does_not_identify_itself_gets_no_orders():
    """Such an answer may be from any incarnation, so it doesn't end any either."""

    async def main():
        stand_in = RestartingRunner()
        runner = await serve(stand_in)
        worker = stand_in.worker
        stand_in.born = "soon"
        start = StartCall(worker, TOKEN, TASK, 1, "text", 9_000, "", "")
        assert await runner.start(start) is CallResult.REFUSED
        listing = await runner.renew(worker, TOKEN, 5, 9_000, 0)
        assert listing.result is CallResult.UNREADABLE
        assert "no whole number" in listing.detail
        assert {path for path, _ in stand_in.list_calls("soon")} == {"/api/hold"}

    curio.run(main)


def test_a_runner_without_a_start_time_gets_no_introduction_call():
    """Its id identifies the incarnation, and another call is one more that can fail."""

    async def main():
        stand_in = RestartingRunner()
        stand_in.born = None
        runner = await serve(stand_in)
        start = StartCall(RUNNER, TOKEN, TASK, 1, "text", 9_000, "", "")
        assert await runner.start(start) is CallResult.DONE
        assert [path for _, path, _ in stand_in.calls] == ["/api/run-start"]

    curio.run(main)


def test_a_connection_to_an_earlier_incarnation_carries_no_call_for_the_next():
    """Otherwise the first calls after a restart are lost on the old connections."""

    async def main():
        stand_in = RestartingRunner()
        runner = await serve(stand_in)
        earlier = stand_in.worker
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(runner.renew, earlier, TOKEN, 0, 0, 0)
        stand_in.born = 2_000
        for _ in range(3):
            listing = await runner.renew(stand_in.worker, TOKEN, 0, 0, 0)
            assert listing.result is CallResult.DONE

    curio.run(main)
