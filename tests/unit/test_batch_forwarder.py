"""Requests that are handed to a partition's owner over a real link."""

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
    ) as it:
        while True:
            try:
                request = await it.receive()
            except LinkClosedError:
                return
            reply = answer(request)
            if reply is None:
                return
            await it.send(reply)


async def call_peer(answer) -> object:
    listener = sockets.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(5)
    port = listener.getsockname()[1]
    forwarder = Forwarder(Identity("entry", "a", 1, "dc"), SECRET, TIMINGS)
    holder = await curio.spawn(forwarder.run)
    server = await curio.spawn(serve, listener, answer)
    try:
        request = WebRequest("POST", "/tasks", (("x", "y"),), b"body")
        return await forwarder.call(f"127.0.0.1:{port}", request, 10.0)
    except RequestError as error:
        return error
    finally:
        await holder.cancel()
        await server.cancel()
        await listener.close()


def test_answer_and_refusal_come_back():
    def answer(request: Request) -> Response:
        assert (request.service, request.body) == ("@tasks", b"body")
        return Response(request.request_id, 201, (("a", "b"),), b"{}")

    got = curio.run(call_peer, answer)
    assert (got.status, got.body) == (201, b"{}")
    got = curio.run(call_peer, lambda r: Refusal(r.request_id, "no_owner", "", 1500))
    assert (got.outcome, got.retry_after) == (Outcome.NOT_RUN, 1.5)


def test_link_that_dies_after_the_request_means_unknown():
    """A request that was handed on is never called "not run".

    Symptom: "not run" was told of a task that the owner admitted.
    Sequence: the owner takes the request, then the link dies without an answer.
    Cause: no answer was taken for no effect.
    """
    got = curio.run(call_peer, lambda request: None)
    assert got.outcome is Outcome.UNKNOWN
