"""Requests on the agent: each gets exactly one answer with its true outcome."""

from __future__ import annotations

from typing import Any

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiodeal.agent.ledger import create_ledger
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.runners import AnnouncedRunner, RunnerTable
from pistachiodeal.config.common import StatsdSettings
from pistachiodeal.exceptions import LinkClosedError, Outcome
from pistachiodeal.metrics import create_metrics
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.client import CallError
from pistachiodeal.web.messages import WebResponse
from pistachiodeal.wire.messages import Failure, Refusal, Request, Response

SIZE = Resources(1000, 1000)


class FakeClient:
    """A runner that answers when the test says so."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, curio.Queue]] = []

    async def call(self, method: str, target: str, **_: Any) -> WebResponse:
        answer: curio.Queue = curio.Queue()
        self.calls.append((target, answer))
        result = await answer.get()
        if isinstance(result, CallError):
            raise result
        return result

    async def close(self) -> None:
        pass

    @property
    def targets(self) -> list[str]:
        return [target for target, _ in self.calls]

    async def answer(self, index: int, result: Any = None) -> None:
        body = self.targets[index].encode()
        await self.calls[index][1].put(result or WebResponse(200, (), body))
        await settle()


class FakeLink:
    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = False

    async def send(self, message: Any) -> None:
        if self.closed:
            raise LinkClosedError()
        self.sent.append(message)

    @property
    def codes(self) -> list[str]:
        return [getattr(message, "code", "answer") for message in self.sent]


class Bench:
    """A request handler with fake runners, a fake clock and one link."""

    def __init__(self, queue_limit: int = 4) -> None:
        self.now = 100.0
        self.clients: dict[str, FakeClient] = {}
        self.table = RunnerTable(3.0, self.read_clock, self._connect)
        self.table.set_ledger(create_ledger(Resources(9000, 9000)))
        self.metrics = create_metrics(StatsdSettings())
        profile = Profile(name="quotes", queue_limit=queue_limit)
        self._policy = ServicePolicy("orders", 1, profile)
        self.handler = RequestHandler(
            self.table, self, self.metrics, clock=self.read_clock
        )
        self.table.on_change = self.handler.handle_runner_change
        self.link = FakeLink()

    def policy(self, service: str) -> ServicePolicy:
        return self._policy

    def read_clock(self) -> float:
        return self.now

    def _connect(self, announcement: AnnouncedRunner) -> Any:
        return self.clients.setdefault(announcement.name, FakeClient())

    async def announce(self, name: str, slots: int = 1) -> FakeClient:
        announcement = AnnouncedRunner(name, "orders", "127.0.0.1:9", slots, SIZE)
        await self.table.announce(announcement)
        return self.clients[name]

    async def ask(
        self, number: int, budget_ms: int = 1000, link: Any = None, name: str = ""
    ) -> None:
        target = name or f"/{number}"
        request = Request(number, "orders", "c", "POST", target, (), b"", budget_ms)
        await self.handler.handle(link or self.link, request)
        await settle()


async def settle() -> None:
    for _ in range(10):
        await curio.sleep(0)


def run(test: Any) -> None:
    curio.run(test)


def test_the_earliest_deadline_goes_first() -> None:
    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        for number, budget in ((1, 900), (2, 800), (3, 400), (4, 800)):
            await bench.ask(number, budget)
        for index in range(4):
            await runner.answer(index)
        assert runner.targets == ["/1", "/3", "/2", "/4"]
        assert [message.request_id for message in bench.link.sent] == [1, 3, 2, 4]
        await bench.handler.stop()

    run(main)


def test_a_late_request_is_refused_before_its_deadline() -> None:
    """Guards against an outcome ``unknown`` for a request that no runner received.

    It waits behind a slow one. If the agent refuses it only at the deadline, the
    entry has given up before the refusal arrives.
    """

    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2, 500)
        bench.now += 0.49
        await curio.sleep(0.006)  # one tick of the timer; nothing else refuses it
        await settle()
        assert bench.link.codes == ["deadline"]
        await runner.answer(0)
        assert runner.targets == ["/1"]
        await bench.handler.stop()

    run(main)


def test_a_request_past_its_deadline_after_a_suspension_is_not_dispatched() -> None:
    """Guards against a request that runs long after its caller got a refusal.

    The agent is suspended past the deadline and a slot becomes free when it resumes;
    the slot must not take the request before the timer has refused it.
    """

    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2, 500)
        bench.now += 60
        await runner.answer(0)
        assert runner.targets == ["/1"]
        assert bench.link.codes == ["answer", "deadline"]
        await bench.handler.stop()

    run(main)


def test_an_unreachable_runner_gets_nothing_until_it_announces_itself() -> None:
    async def main() -> None:
        bench = Bench()
        first = await bench.announce("r1")
        second = await bench.announce("r2")
        await bench.ask(1)
        await first.answer(0, CallError("refused", Outcome.NOT_RUN))
        assert second.targets == ["/1"]
        await second.answer(0)
        await bench.ask(2)
        assert second.targets == ["/1", "/2"]
        assert bench.handler.list_loads()[0].slots == 1
        await bench.announce("r1")
        assert bench.handler.list_loads()[0].slots == 1, "the backoff has not passed"
        bench.now += 1
        await bench.announce("r1")
        await bench.ask(3)
        assert first.targets == ["/1", "/3"]
        assert bench.link.codes == ["answer"]
        await bench.handler.stop()

    run(main)


def test_failures_report_the_known_outcome() -> None:
    """Guards against partial answers, and against ``not_run`` for what may have run.

    A runner fails before its answer, during it, or is unreachable. How far the call
    got tells these apart; timeouts do not.
    """

    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1", slots=3)
        for number, outcome in enumerate(
            (Outcome.RAN, Outcome.UNKNOWN, Outcome.NOT_RUN)
        ):
            await bench.ask(number)
            await runner.answer(number, CallError("broken", outcome))
        assert bench.link.codes == ["answer_cut", "no_answer", "no_runner"]
        kinds = [type(message) for message in bench.link.sent]
        assert kinds == [Failure, Failure, Refusal]
        assert [m.outcome for m in bench.link.sent[:2]] == ["ran", "unknown"]
        await bench.handler.stop()

    run(main)


def test_withdrawing_stops_only_what_waits() -> None:
    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2)
        await bench.handler.withdraw(bench.link, 2)
        await bench.handler.withdraw(bench.link, 1)
        assert bench.link.codes == ["withdrawn"]
        await runner.answer(0)
        assert bench.link.codes == ["withdrawn", "answer"]
        assert runner.targets == ["/1"]
        await bench.handler.stop()

    run(main)


def test_two_links_with_the_same_ids_get_their_own_answers() -> None:
    """Guards against a caller that gets the answer to another caller's request.

    Two entries use the same request id and the answers arrive in reverse order; open
    requests need the link in their key.
    """

    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1", slots=2)
        other = FakeLink()
        await bench.ask(1, name="/mine")
        await bench.ask(1, name="/theirs", link=other)
        await runner.answer(1)
        await runner.answer(0)
        assert [message.body for message in bench.link.sent] == [b"/mine"]
        assert [message.body for message in other.sent] == [b"/theirs"]
        await bench.handler.stop()

    run(main)


def test_waiting_requests_of_a_closed_link_are_dropped() -> None:
    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2)
        bench.link.closed = True
        await bench.handler.close_origin(bench.link)
        await runner.answer(0)
        assert runner.targets == ["/1"]
        assert bench.handler.open_count == 0
        assert bench.metrics.counts()["agent.answers.dropped"] == 1
        await bench.handler.stop()

    run(main)


def test_what_cannot_be_served_in_time_is_refused_at_once() -> None:
    async def main() -> None:
        bench = Bench(queue_limit=2)
        await bench.ask(1)
        runner = await bench.announce("r1")
        await bench.ask(2)
        bench.now += 0.4
        await runner.answer(0)  # the mean is 0.4 s now
        await bench.ask(3)
        await bench.ask(4, 10_000)
        await bench.ask(5, 300)
        await bench.ask(6, 10_000)
        await bench.ask(7, 10_000)
        codes = ["no_runner", "answer", "no_slot_in_time", "queue_full"]
        assert bench.link.codes == codes
        assert [m.retry_after_ms for m in bench.link.sent[2:]] == [800, 1200]
        await bench.handler.stop()

    run(main)


def test_draining_finishes_what_is_open() -> None:
    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2)
        drain = await curio.spawn(bench.handler.drain, 60.0)
        await settle()
        await bench.ask(3)
        await runner.answer(0)
        await runner.answer(1)
        assert await drain.join()
        assert bench.link.codes == ["draining", "answer", "answer"]
        await bench.handler.stop()

    run(main)


def test_an_immediate_stop_reports_the_true_outcomes() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.announce("r1")
        await bench.ask(1)
        await bench.ask(2)
        await bench.handler.stop()
        assert bench.link.codes == ["agent_stopped", "draining"]

    run(main)


STEPS = st.lists(
    st.sampled_from(("ask", "answer", "cut", "lost", "refused", "wait", "withdraw")),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(STEPS)
def test_each_request_gets_one_answer_and_a_refused_one_never_ran(
    steps: list[str],
) -> None:
    outcomes = {"cut": Outcome.RAN, "lost": Outcome.UNKNOWN, "refused": Outcome.NOT_RUN}

    async def main() -> None:
        bench = Bench()
        runner = await bench.announce("r1", slots=2)
        asked, done = 0, 0
        unreached = set()
        for step in steps:
            if step == "ask":
                asked += 1
                await bench.ask(asked, 500)
            elif step == "wait":
                bench.now += 0.2
                await bench.announce("r1", slots=2)
            elif step == "withdraw":
                await bench.handler.withdraw(bench.link, asked)
            elif done < len(runner.calls):
                outcome = outcomes.get(step)
                if outcome is Outcome.NOT_RUN:
                    unreached.add(done)
                error = CallError(step, outcome) if outcome else None
                await runner.answer(done, error)
                done += 1
        await bench.handler.stop()
        answered = [message.request_id for message in bench.link.sent]
        assert sorted(answered) == list(range(1, asked + 1))
        reached = {t for i, t in enumerate(runner.targets) if i not in unreached}
        for message in bench.link.sent:
            if isinstance(message, Refusal):
                assert f"/{message.request_id}" not in reached
            elif isinstance(message, Response):
                assert message.body == f"/{message.request_id}".encode()

    run(main)
