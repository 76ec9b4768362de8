"""The dispatcher of interactive requests, with scripted agents."""

import time
from contextlib import suppress
from functools import partial

import curio
import pytest

from pistachiodeal.claims.manager import Claimed, Replayed
from pistachiodeal.config.entry import RequestSettings
from pistachiodeal.entry.dispatch import DispatcherComponents, create_dispatcher
from pistachiodeal.entry.services import ServiceTable
from pistachiodeal.entry.sessions import create_session_table
from pistachiodeal.entry.targets import create_target_table
from pistachiodeal.exceptions import LinkClosedError, Outcome, RequestError
from pistachiodeal.histograms import create_histograms
from pistachiodeal.metrics import MemoryMetrics
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.model.resources import Resources
from pistachiodeal.routing.choice import create_least_connections
from pistachiodeal.web.messages import WebRequest, WebResponse
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import (
    Failure,
    Refusal,
    Report,
    Request,
    Response,
    ServiceLoad,
    Withdraw,
)


class FakeLink:
    """A link to an agent that answers each request with its next scripted answer."""

    def __init__(self, node, script=()):
        self.peer = Identity("agent", node, 1, "dc1", f"w-{node}")
        self.closed = False
        self.sent = []
        self.script = list(script)
        self.session = None

    async def send(self, message):
        if self.closed:
            raise LinkClosedError("closed")
        self.sent.append(message)
        if isinstance(message, Request) and self.script:
            await self.script.pop(0)(self.session, message.request_id)

    async def close(self):
        self.closed = True

    @property
    def requests(self):
        return [message for message in self.sent if isinstance(message, Request)]


class FakeProfiles:
    version = 1
    failing = False

    def __init__(self, **profile):
        self.profile = Profile(name="p", **profile)

    def policy(self, service):
        if service == "orders":
            return ServicePolicy(service, 1, self.profile)
        return None


class FakeClaims:
    def __init__(self, replay=None):
        self.replay = replay
        self.calls = []

    async def claim(self, service, key, fingerprint, timeout):
        self.calls.append(("claim", key))
        if self.replay:
            return Replayed(self.replay)
        return Claimed("row", "nonce", 1)

    async def record(self, claim, response):
        self.calls.append(("record", response.status))

    async def mark_unknown(self, claim):
        self.calls.append(("unknown",))

    async def release(self, claim):
        self.calls.append(("release",))


def reply(status=200, body=b"whole"):
    async def send_answer(session, request_id):
        headers = (("connection", "x-hop"), ("x-hop", "1"), ("x-end", "2"))
        await session.resolve(request_id, Response(request_id, status, headers, body))

    return send_answer


def refuse(retry_after_ms=300):
    async def send_answer(session, request_id):
        refusal = Refusal(request_id, "queue_full", "", retry_after_ms)
        await session.resolve(request_id, refusal)

    return send_answer


def fail(outcome="unknown"):
    async def send_answer(session, request_id):
        failure = Failure(request_id, outcome, "runner_lost", "agent.call", "")
        await session.resolve(request_id, failure)

    return send_answer


def lose():
    async def break_link(session, request_id):
        await session.fail_requests("silent")

    return break_link


def stopped_clock():
    """A dispatcher's clock; with it a request is sent before its deadline passes."""
    return 0.0


class DispatchHarness:
    """A dispatcher with scripted agents."""

    def __init__(self, profiles=None, claims=None, clock=time.monotonic, **limits):
        self.sessions = create_session_table()
        self.targets = create_target_table()
        self.metrics = MemoryMetrics()
        self.claims = claims or FakeClaims()
        services = ServiceTable(profiles or FakeProfiles(), self.targets, lambda: 0.0)
        components = DispatcherComponents(
            settings=RequestSettings(**limits),
            sessions=self.sessions,
            targets=self.targets,
            services=services,
            claims=self.claims,
            chooser=create_least_connections(),
            metrics=self.metrics,
            histograms=create_histograms(),
            claim_timeout=1.0,
        )
        self.dispatcher = create_dispatcher(components, clock)

    async def add(self, node, *script, busy=0, latency_us=0):
        link = FakeLink(node, script)
        session, _ = await self.sessions.open(link)
        link.session = session
        loads = (ServiceLoad("orders", 8, busy, 0, latency_us),)
        size = Resources()
        report = Report(1, False, size, size, loads, ())
        session.services = self.targets.update(node, "dc1", report, frozenset())
        return link

    async def call(self, method="GET", service="orders", **headers):
        pairs = tuple((k.replace("_", "-"), v) for k, v in headers.items())
        request = WebRequest(method, f"/{service}/x", pairs, b"body")
        return await self.dispatcher.handle(service, request)

    async def fail(self, *args, **headers):
        with pytest.raises(RequestError) as caught:
            await self.call(*args, **headers)
        assert self.dispatcher.in_flight == 0
        return caught.value


def test_answer_is_returned_without_hop_by_hop_headers():
    async def main():
        harness = DispatchHarness()
        link = await harness.add("a", reply())
        response = await harness.call(
            te="x", host="h", x_case="7", pistachiodeal_caller="shop"
        )
        assert response.status == 200
        assert response.body == b"whole"
        assert response.headers == (("x-end", "2"),)
        (request,) = link.requests
        assert request.headers == (("x-case", "7"),)
        assert request.caller == "shop"
        assert harness.targets.find("orders")[0].outstanding == 0

    curio.run(main)


@pytest.mark.parametrize(
    "headers",
    [
        {"pistachiodeal_deadline_ms": "0"},
        {"pistachiodeal_deadline_ms": "-5"},
        {"pistachiodeal_deadline_ms": "soon"},
        {"pistachiodeal_caller": "a b"},
        {"idempotency_key": "k" * 256},
    ],
)
def test_bad_headers_are_refused(headers):
    async def main():
        harness = DispatchHarness()
        link = await harness.add("a")
        error = await harness.fail(**headers)
        assert error.status == 400
        assert error.outcome is Outcome.NOT_RUN
        assert not link.requests

    curio.run(main)


def test_unknown_service_and_service_without_runner_are_refused():
    async def main():
        harness = DispatchHarness()
        assert (await harness.fail("GET", "nothing")).code == "unknown_service"
        error = await harness.fail()
        assert (error.status, error.code) == (503, "no_runner")
        assert error.retry_after

    curio.run(main)


def test_refused_request_is_retried_on_another_agent_also_for_post():
    async def main():
        harness = DispatchHarness()
        first = await harness.add("a", refuse())
        second = await harness.add("b", refuse())
        error = await harness.fail("POST")
        assert (error.status, error.code) == (503, "queue_full")
        assert error.outcome is Outcome.NOT_RUN
        assert error.retry_after == 0.3
        assert len(first.requests) == len(second.requests) == 1

    curio.run(main)


@pytest.mark.parametrize("lost", [lose(), fail("unknown")])
def test_lost_answer_of_post_is_unknown_and_not_repeated(lost):
    """Guards against running a POST twice.

    If a lost answer were treated as a refusal, the entry would send the request to
    another agent although a runner may have executed it.
    """

    async def main():
        harness = DispatchHarness()
        links = [await harness.add("a", lost), await harness.add("b", lost)]
        error = await harness.fail("POST")
        assert (error.status, error.outcome) == (502, Outcome.UNKNOWN)
        assert sum(len(link.requests) for link in links) == 1

    curio.run(main)


def test_refusal_after_a_lost_answer_is_not_reported_as_not_run():
    """Guards against reporting "not run" for a PUT that ran.

    The first agent's link is lost and the retry on another agent is refused. The
    outcome must not be that of the last attempt alone.
    """

    async def main():
        harness = DispatchHarness(attempts=2)
        scripts = [lose(), refuse()]

        async def play(session, request_id):
            await scripts.pop(0)(session, request_id)

        await harness.add("a", play)
        await harness.add("b", play)
        error = await harness.fail("PUT")
        assert error.code == "queue_full"
        assert error.outcome is Outcome.UNKNOWN

    curio.run(main)


def test_deadline_after_sending_is_unknown_and_withdrawn():
    """Guards against reporting "not run" for a request that an agent received.

    The agent doesn't answer before the deadline. The timeout must not be treated as a
    refusal, and the caller must not wait any longer.
    """

    async def main():
        harness = DispatchHarness(clock=stopped_clock)
        link = await harness.add("a")
        error = await harness.fail("POST", pistachiodeal_deadline_ms="1")
        assert (error.status, error.code) == (504, "deadline")
        assert error.outcome is Outcome.UNKNOWN
        outbox = await curio.spawn(link.session.run_outbox)
        while not any(isinstance(message, Withdraw) for message in link.sent):
            await curio.sleep(0)
        await outbox.cancel()

    curio.run(main)


def test_late_answer_does_not_reach_the_next_caller():
    """Guards against returning the answer to another caller's request.

    The answer of an abandoned request arrives while the next one is open. If the
    request id were reused, it would be taken for the answer to the second request.
    """

    async def main():
        harness = DispatchHarness(clock=stopped_clock)
        link = await harness.add("a")
        await harness.fail(pistachiodeal_deadline_ms="1")
        given_up = link.requests[0].request_id

        async def answer_late_then_right(session, request_id):
            late = Response(given_up, 200, (), b"of the first")
            assert not await session.resolve(given_up, late)
            await reply(body=b"of the second")(session, request_id)

        link.script.append(answer_late_then_right)
        assert (await harness.call()).body == b"of the second"

    curio.run(main)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    async def main():
        harness = DispatchHarness()
        link = await harness.add("a", busy=16, latency_us=1_000_000)
        error = await harness.fail(pistachiodeal_deadline_ms="100")
        assert (error.status, error.code) == (503, "overloaded")
        assert error.retry_after > 1
        assert not link.requests

    curio.run(main)


def test_caller_over_its_limit_is_refused():
    async def main():
        harness = DispatchHarness(caller_in_flight=1)
        link = await harness.add("a")
        first = await curio.spawn(harness.call)
        while not link.requests:
            await curio.sleep(0)
        with pytest.raises(RequestError) as caught:
            await harness.call()
        assert (caught.value.status, caught.value.code) == (429, "caller_limit")
        await reply()(link.session, link.requests[0].request_id)
        assert (await first.join()).status == 200

    curio.run(main)


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (reply(201), ("record", 201)),
        (fail("ran"), ("unknown",)),
        (refuse(), ("release",)),
    ],
)
def test_claim_is_closed_by_the_outcome(answer, end):
    async def main():
        harness = DispatchHarness(attempts=1)
        await harness.add("a", answer)
        with suppress(RequestError):
            await harness.call(
                "POST", idempotency_key="k1", pistachiodeal_caller="shop"
            )
        assert harness.claims.calls == [("claim", "shop/k1"), end]

    curio.run(main)


def test_claim_of_a_cancelled_request_is_closed():
    """Guards against a key that is answered "in progress" for ever.

    The connection's task is cancelled while a runner has the request. Cancellation
    is not an Exception, so an ``except Exception`` would leave the claim open.
    """

    async def main():
        harness = DispatchHarness()
        link = await harness.add("a")
        task = await curio.spawn(partial(harness.call, "POST", idempotency_key="k1"))
        while not link.requests:
            await curio.sleep(0)
        await task.cancel()
        assert harness.claims.calls[-1] == ("unknown",)

    curio.run(main)


def test_repeated_key_gets_the_recorded_answer():
    async def main():
        harness = DispatchHarness(
            claims=FakeClaims(replay=WebResponse(201, (), b"earlier"))
        )
        link = await harness.add("a")
        response = await harness.call("POST", idempotency_key="k1")
        assert response.body == b"earlier"
        assert not link.requests

    curio.run(main)
