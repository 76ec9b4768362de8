"""Links: codec, authentication, versions, invalid input, time-outs, closing."""

import socket
import struct
from contextlib import asynccontextmanager

import curio
import pytest
from curio.io import Socket
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiodeal.exceptions import (
    AuthenticationError,
    FrameTooLargeError,
    LinkClosedError,
    LinkSilentError,
    PistachiodealError,
    ProtocolError,
)
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.listener import bind_listener
from pistachiodeal.wire import handshake
from pistachiodeal.wire.codec import (
    LENGTH_BYTES,
    decode_message,
    encode_message,
    parse_length,
)
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import LinkTimings
from pistachiodeal.wire.messages import Ping, Report, Request, Response, ServiceLoad
from pistachiodeal.wire.opening import accept_link, dial_link
from pistachiodeal.wire.task_messages import TaskRef

SECRET = "a-secret-of-tests"
SHORT_TIMINGS = LinkTimings(ping_s=0.05, silent_s=0.2, handshake_s=5.0)
LONG_TIMINGS = LinkTimings(ping_s=5.0, silent_s=60.0, handshake_s=5.0)
ENTRY = Identity("entry", "e1", 1, "dc1")
AGENT = Identity("agent", "a1", 2, "dc1", "w1", "r1")


class Acceptor:
    """Accepts one link, echoes requests on it, and keeps the error that ended it."""

    def __init__(self, listener, timings):
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.error = None
        self.done = curio.Event()
        self._listener = listener
        self._timings = timings

    async def run(self):
        sock, _ = await Socket(self._listener).accept()
        try:
            async with accept_link(sock, ENTRY, SECRET, self._timings) as link:
                while True:
                    message = await link.receive()
                    await link.send(Response(message.request_id, 200, (), message.body))
        except PistachiodealError as error:
            self.error = error
        await self.done.set()


@asynccontextmanager
async def run_acceptor(timings=LONG_TIMINGS):
    listener = bind_listener("127.0.0.1", 0)
    acceptor = Acceptor(listener, timings)
    task = await curio.spawn(acceptor.run)
    try:
        yield acceptor
    finally:
        await task.cancel()
        listener.close()


def build_request(number: int, body: bytes = b"") -> Request:
    return Request(number, "orders", "shop", "GET", "/", (("a", "b"),), body, 100)


def test_messages_are_unchanged_by_encoding_and_decoding():
    loads = (ServiceLoad("orders", 8, 3, 1, 250),)
    refs = (TaskRef("0001-x", 2, 9),)
    report = Report(7, True, Resources(1, 2, 3), Resources(0, -1, 0), loads, refs)
    for message in (report, build_request(1, b"body")):
        frame = encode_message(message)
        size, packed = parse_length(frame[:LENGTH_BYTES])
        assert size == len(frame) - LENGTH_BYTES
        assert decode_message(frame[LENGTH_BYTES:], packed) == message


def test_memory_for_a_packed_frame_is_limited():
    """Guards against a small frame that takes gigabytes of memory.

    A packed frame can declare a message of 4 GB that consists of zero bytes. Packing
    shrinks these a thousandfold, so a limit on the size of the frame is not enough.
    """
    words = (512 * 1024 * 1024).to_bytes(4, "little")
    bomb = b"\xff" + b"\x00\x00\x00\x00" + words + b"\x00" + b"\x00\xff" * 1000
    with pytest.raises(ProtocolError):
        decode_message(bomb, packed=True)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200), st.booleans())
def test_garbage_is_a_protocol_error(data, packed):
    """Symptom: a stranger's bytes end the process with an error of the codec.

    Sequence: any bytes in a well-formed frame.
    Cause: the codec's own exceptions let through.
    """
    try:
        decode_message(data, packed)
    except ProtocolError as error:
        assert error.code == "protocol"


def test_large_frames_are_received_completely():
    async def main():
        async with run_acceptor() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS) as link:
                body = b"x" * 3_000_000
                await link.send(build_request(1, body))
                assert (await link.receive()).body == body

    curio.run(main)


def test_peer_without_the_secret_is_refused():
    async def main():
        async with run_acceptor() as acceptor:
            with pytest.raises(LinkClosedError):
                async with dial_link(
                    acceptor.address, AGENT, "wrong" * 4, LONG_TIMINGS
                ):
                    pass
            await acceptor.done.wait()
            assert isinstance(acceptor.error, AuthenticationError)

    curio.run(main)


def test_other_version_is_named_in_the_error(monkeypatch):
    async def main():
        async with run_acceptor() as acceptor:
            monkeypatch.setattr(handshake, "_check_version", refuse_version)
            with pytest.raises(ProtocolError, match="version"):
                async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS):
                    pass

    def refuse_version(version: int) -> None:
        raise ProtocolError(f"version {version}")

    curio.run(main)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", FrameTooLargeError),
        (b"\x00\x00\x00\x08" + b"\xff" * 8, ProtocolError),
        (b"\x80\x00\x00\x08" + b"\xff" * 8, ProtocolError),
        (encode_message(build_request(1)), ProtocolError),
    ],
)
def test_unauthenticated_peer_may_send_only_a_small_frame(data, error):
    """Guards against memory growth from invalid data sent to the internal port.

    An unauthenticated peer sends HTTP, random bytes or a frame before the handshake.
    The length that it declares must not be trusted before it has authenticated.
    """

    async def main():
        async with run_acceptor() as acceptor:
            host, _, port = acceptor.address.rpartition(":")
            sock = await curio.open_connection(host, int(port))
            async with sock:
                await sock.sendall(data)
                await acceptor.done.wait()
            assert isinstance(acceptor.error, error)

    curio.run(main)


def test_silent_connection_is_closed():
    """Guards against requests that wait for ever on a connection that seems open.

    After the handshake no data passes in either direction, because a device between
    both ends has dropped the connection's state. TCP does not notice this.
    """

    async def main():
        async with run_acceptor(SHORT_TIMINGS) as acceptor:
            # The dialling side pings too rarely for the acceptor's silence time-out.
            async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS):
                await acceptor.done.wait()
            assert isinstance(acceptor.error, LinkSilentError)

    curio.run(main)


def test_pings_keep_an_idle_link_open():
    async def main():
        async with run_acceptor(SHORT_TIMINGS) as acceptor:
            async with dial_link(
                acceptor.address, AGENT, SECRET, SHORT_TIMINGS
            ) as link:
                await curio.sleep(3 * SHORT_TIMINGS.silent_s)
                await link.send(build_request(1, b"x"))
                assert (await link.receive()).body == b"x"

    curio.run(main)


def test_send_on_a_closed_link_raises_link_closed():
    async def main():
        async with run_acceptor() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS) as link:
                await link.close()
                with pytest.raises(LinkClosedError):
                    await link.send(Ping())

    curio.run(main)


def test_close_wakes_the_receiving_task():
    """Guards against a task that waits for ever on a link that another has closed.

    Closing a descriptor removes it from the selector without waking the task that
    reads from it.
    """

    async def main():
        async with run_acceptor() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS) as link:
                reader = await curio.spawn(link.receive)
                await curio.sleep(0)
                await link.close()
                with pytest.raises(curio.TaskError) as caught:
                    await reader.join()
                assert isinstance(caught.value.__cause__, LinkClosedError)

    curio.run(main)


def test_peer_that_disconnects_before_it_is_accepted():
    """Guards against an unhandled OSError in the task of a link.

    A peer connects and resets the connection before it is accepted. The peer's address
    is then no longer available.
    """

    async def main():
        listener = bind_listener("127.0.0.1", 0)
        peer = socket.create_connection(listener.getsockname())
        reset = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        peer.close()
        sock, _ = await Socket(listener).accept()
        with pytest.raises(LinkClosedError):
            async with accept_link(sock, ENTRY, SECRET, LONG_TIMINGS):
                pass
        listener.close()

    curio.run(main)


def test_a_link_that_is_closed_under_its_reader_does_not_end_the_process():
    """Guards against a FileNotFoundError from the selector that ends the process.

    One task reads from a link, another closes it, and a new connection gets the same
    descriptor number before the reader has run again. Curio keeps the descriptor of a
    task that it has just woken registered, and takes the new connection for the old
    one.
    """

    async def read_until_closed(link):
        with pytest.raises(LinkClosedError):
            await link.receive()

    async def main():
        async with run_acceptor() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, LONG_TIMINGS) as link:
                reader = await curio.spawn(read_until_closed, link)
                await curio.sleep(0)
                await link.close()
                ends = [Socket(end) for end in socket.socketpair()]
                await curio.ignore_after(0.01, ends[0].recv, 1)
                await reader.join()
                for end in ends:
                    await end.close()

    curio.run(main)
