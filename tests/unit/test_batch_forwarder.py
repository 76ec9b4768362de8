"""Requests that are forwarded to a partition's owner over a real link."""

from __future__ import annotations

import curio
import curio.socket as sockets

from pistachiodeal.batch.forwarder import Forwarder
from pistachiodeal.exceptions import LinkClosedError, Outcome, RequestError
from pistachiodeal.web.messages import WebRequest
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import LinkTimings
from pistachiodeal.wire.messages import Refusal, Request, Response
from pistachiodeal.wire.opening import accept_link

SECRET = "s" * 16
TIMINGS = LinkTimings()


async def serve(listener, answer) -> None:
    sock, _ = await listener.accept()
    async with accept_link(
        sock, Identity("entry", "b", 2, "dc"), SECRET, TIMINGS
    ) as link:
        while True:
            try:
                request = await link.receive()
            except LinkClosedError:
                return
            reply = answer(request)
            if reply is None:
                return
            await link.send(reply)


async def call_peer(answer) -> object:
    listener = sockets.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)
    port = listener.getsockname()[1]
    forwarder = Forwarder(Identity("entry", "a", 1, "dc"), SECRET, TIMINGS)
    forwarder_task = await curio.spawn(forwarder.run)
    server = await curio.spawn(serve, listener, answer)
    try:
        request = WebRequest("POST", "/tasks", (("x", "y"),), b"body")
        return await forwarder.call(f"127.0.0.1:{port}", request, 10.0)
    except RequestError as error:
        return error
    finally:
        await forwarder_task.cancel()
        await server.cancel()
        await listener.close()


def test_responses_and_refusals_are_returned():
    def answer(request: Request) -> Response:
        assert (request.service, request.body) == ("@tasks", b"body")
        return Response(request.request_id, 201, (("a", "b"),), b"{}")

    got = curio.run(call_peer, answer)
    assert (got.status, got.body) == (201, b"{}")
    got = curio.run(call_peer, lambda r: Refusal(r.request_id, "no_owner", "", 1500))
    assert (got.outcome, got.retry_after) == (Outcome.NOT_RUN, 1.5)


def test_link_lost_after_the_request_means_unknown():
    """A forwarded request is never reported as "not run".

    When the owner received a request and the link closed before it answered, the
    missing answer used to be treated as no effect, although the task was admitted.
    """
    got = curio.run(call_peer, lambda request: None)
    assert got.outcome is Outcome.UNKNOWN


def test_the_wait_for_a_link_counts_for_the_time_limit():
    """Guards against an answer after the caller has given up.

    The owner's link comes up late. The whole time limit then began anew, and the owner
    was told that it had all of it.
    """
    budgets_ms = []

    def answer(request: Request) -> Response:
        budgets_ms.append(request.budget_ms)
        return Response(request.request_id, 200, (), b"")

    async def main() -> None:
        listener = sockets.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(5)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        forwarder = Forwarder(Identity("entry", "a", 1, "dc"), SECRET, TIMINGS)
        forwarder_task = await curio.spawn(forwarder.run)
        request = WebRequest("POST", "/tasks", (), b"body")
        call = await curio.spawn(forwarder.call, address, request, 4.0)
        await curio.sleep(1.0)
        server = await curio.spawn(serve, listener, answer)
        assert (await call.join()).status == 200
        await forwarder_task.cancel()
        await server.cancel()
        await listener.close()

    curio.run(main)
    assert budgets_ms[0] <= 3_000
