"""HTTP on both sides: limits, broken connections, graceful stop."""

import contextlib

import curio
import pytest
from curio.io import Socket

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.web.client import CallError, UnsendableError, create_client
from pistachiodeal.web.messages import WebLimits, WebRequest, WebResponse
from pistachiodeal.web.server import bind_listener, create_server

LIMITS = WebLimits(head_bytes=1024, body_bytes=100, head_s=0.2, body_s=0.2)


async def answer_echo(request: WebRequest) -> WebResponse:
    if request.path == "/refuse":
        raise RequestError("later", code="busy", status=503, retry_after=1.2)
    return WebResponse(200, (), request.body)


async def start(handler=answer_echo):
    server = create_server("127.0.0.1", 0, handler, LIMITS)
    task = await curio.spawn(server.run)
    return server, task, create_client(f"127.0.0.1:{server.port}")


async def talk(port: int, data: bytes) -> bytes:
    sock = await curio.open_connection("127.0.0.1", port)
    async with sock:
        await sock.sendall(data)
        answer = b""
        while part := await sock.recv(4096):
            answer += part
        return answer


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\xff garbage\r\n\r\n", b" 400 "),
        (b"GET /" + b"x" * 2000, b" 431 "),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n", b" 413 "),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"65\r\n" + b"x" * 101 + b"\r\n",
            b" 413 ",
        ),
        (b"GET / HTT", b" 408 "),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx", b" 408 "),
    ],
)
def test_bad_input_gets_a_problem_and_harms_no_other(data, status):
    """Symptom: one caller's garbage breaks or delays another caller's request.

    Sequence: bad input on one connection, then a good request on another.
    Cause: an error of one connection that ends the server, or waits for ever.
    """

    async def main():
        server, task, client = await start()
        answer = await talk(server.port, data)
        assert status in answer.split(b"\r\n")[0]
        assert b"application/problem+json" in answer
        assert (await client.call("POST", "/", body=b"hi")).body == b"hi"
        await task.cancel()

    curio.run(main)


def test_broken_handler_does_not_claim_not_run():
    async def main():
        async def handle(request: WebRequest) -> WebResponse:
            raise KeyError("after the hand-over")

        _, task, client = await start(handle)
        answer = await client.call("POST", "/")
        assert (answer.status, b'"unknown"' in answer.body) == (500, True)
        await task.cancel()

    curio.run(main)


def test_refusal_says_when_to_come_back():
    async def main():
        _, task, client = await start()
        answer = await client.call("GET", "/refuse")
        assert answer.status == 503
        assert answer.header("retry-after") == "2"
        await task.cancel()

    curio.run(main)


def test_drain_answers_a_request_on_a_kept_alive_connection():
    """Symptom: a caller's request is cut off by a planned stop.

    Sequence: a connection is idle, the stop begins, the next request arrives.
    Cause: idle connections closed at the moment at which the stop begins.
    """

    async def main():
        server, task, client = await start()
        await client.call("GET", "/")
        drain = await curio.spawn(server.drain, 30.0)
        while not server.draining:
            await curio.sleep(0)
        answer = await client.call("POST", "/", body=b"late")
        assert (answer.body, answer.header("connection")) == (b"late", "close")
        assert await drain.join()
        await task.join()

    curio.run(main)


def test_drain_waits_for_a_request_in_flight():
    """Symptom: a caller gets a broken connection while a stop is under way.

    Sequence: a request is being handled, the stop begins, the handler ends.
    Cause: handlers cancelled together with the listener.
    """

    async def main():
        gate = curio.Event()

        async def handle(request: WebRequest) -> WebResponse:
            await gate.wait()
            return WebResponse(200, (), b"whole")

        server, task, client = await start(handle)
        call = await curio.spawn(client.call, "GET", "/")
        while not server.counters.requests:
            await curio.sleep(0.001)
        drain = await curio.spawn(server.drain, 30.0)
        while not server.draining:
            await curio.sleep(0)
        await gate.set()
        assert (await call.join()).body == b"whole"
        assert await drain.join()
        await task.join()

    curio.run(main)


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (b"", Outcome.UNKNOWN),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", Outcome.RAN),
    ],
)
def test_broken_answer_is_never_taken_for_a_whole_one(script, outcome):
    """Symptom: a caller gets half an answer as if it were all of it.

    Sequence: the peer reads the request, sends a part, closes.
    Cause: the end of the connection taken for the end of the answer.
    """

    async def main():
        listener = bind_listener("127.0.0.1", 0)

        async def serve() -> None:
            sock, _ = await Socket(listener).accept()
            async with sock:
                await sock.recv(4096)
                await sock.sendall(script)

        task = await curio.spawn(serve)
        client = create_client(f"127.0.0.1:{listener.getsockname()[1]}")
        with pytest.raises(CallError) as caught:
            await client.call("POST", "/", body=b"x")
        assert caught.value.outcome is outcome
        await task.join()
        listener.close()

    curio.run(main)


def test_refused_connection_means_not_run():
    async def main():
        listener = bind_listener("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        with pytest.raises(CallError) as caught:
            await create_client(address).call("POST", "/")
        assert caught.value.outcome is Outcome.NOT_RUN

    curio.run(main)


def test_connection_closed_while_idle_is_not_used_again():
    """Symptom: `unknown` for a request which nobody can have run.

    Sequence: answer, the peer closes the idle connection, next request.
    Cause: a kept-alive connection used again without a look at its state.
    """

    async def main():
        listener = bind_listener("127.0.0.1", 0)
        closed = curio.Event()

        async def serve() -> None:
            for _ in range(2):
                sock, _ = await Socket(listener).accept()
                async with sock:
                    await sock.recv(4096)
                    await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                await closed.set()

        task = await curio.spawn(serve)
        client = create_client(f"127.0.0.1:{listener.getsockname()[1]}")
        await client.call("POST", "/")
        await closed.wait()
        assert (await client.call("POST", "/")).status == 200
        await task.join()
        listener.close()

    curio.run(main)


def test_header_values_pass_as_they_came():
    """Symptom: `unknown` for a request with an accented letter in a header.

    Sequence: a caller sends a latin-1 header value; it is passed on by the client.
    Cause: values decoded as latin-1 and encoded as ASCII.
    """

    async def main():
        async def handle(request: WebRequest) -> WebResponse:
            return WebResponse(200, (("x-back", request.header("x-there")),))

        _, task, client = await start(handle)
        answer = await client.call("GET", "/", headers=(("x-there", "Z\xe1horie"),))
        assert answer.header("x-back") == "Z\xe1horie"
        with pytest.raises(UnsendableError):
            await client.call("GET", "/", headers=(("x-there", "\u4e2d"),))
        await task.cancel()

    curio.run(main)


def test_a_request_read_late_in_a_drain_is_answered():
    """A request that came late in a graceful stop got no answer.

    Symptom: the connection ends 0.24 s after a request on it, without an answer.
    Sequence: the server drains; an idle connection brings a request shortly before
    the time runs out; its answer takes longer than what is left.
    Cause: idle connections could bring requests until the very end.
    """
    read, answered = [], []

    async def answer_slowly(request: WebRequest) -> WebResponse:
        read.append(request.path)
        await curio.sleep(0.2)
        return WebResponse(200, (), b"whole")

    async def call_late(port: int, after_s: float) -> None:
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            await curio.sleep(after_s)
            with contextlib.suppress(OSError):
                await sock.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                if b"whole" in await sock.recv(4096):
                    answered.append(after_s)

    async def main():
        server, task, client = await start(answer_slowly)
        late = [0.1, 0.5, 0.6, 0.8, 0.9, 0.95]
        callers = [
            await curio.spawn(call_late, server.port, 0.05 + after_s)
            for after_s in late
        ]
        await curio.sleep(0.05)
        assert await server.drain(1.0)
        for caller in callers:
            await caller.join()
        await task.join()
        await client.close()
        assert len(read) == len(answered)
        assert len(answered) >= 3

    curio.run(main)


def test_a_socket_opened_while_draining_can_be_read():
    """A request on a new connection was cut off during a graceful stop.

    Symptom: ``ReadResourceBusy`` in the log, and a caller without an answer.
    Sequence: the server drains and closes its listener; the next socket gets the
    listener's descriptor number; its first read fails.
    Cause: the accepting task still waited on that number.
    """

    async def main():
        server, task, client = await start()
        await client.call("GET", "/", timeout=2)
        # An idle connection keeps the drain going while other sockets are opened.
        drain = await curio.spawn(server.drain, 0.5)
        await curio.sleep(0.05)
        opened = [curio.socket.socketpair() for _ in range(8)]
        for near, far in opened:
            await far.sendall(b"x")
            assert await near.recv(1) == b"x"
            reader = await curio.spawn(near.recv, 1)
            await curio.sleep(0)
            await far.sendall(b"y")
            assert await reader.join() == b"y"
        for near, far in opened:
            await near.close()
            await far.close()
        await drain.join()
        await task.join()
        await client.close()

    curio.run(main)
