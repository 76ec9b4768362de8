"""Links between our processes: secret, version, garbage, silence."""

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
from pistachiodeal.web.server import bind_listener
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
QUICK = LinkTimings(ping_s=0.05, silent_s=0.2, handshake_s=5.0)
PATIENT = LinkTimings(ping_s=5.0, silent_s=60.0, handshake_s=5.0)
ENTRY = Identity("entry", "e1", 1, "dc1")
AGENT = Identity("agent", "a1", 2, "dc1", "w1", "r1")


class Acceptor:
    """Accepts one link, keeps it or its error, and echoes requests."""

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
async def accepting(timings=PATIENT):
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


def test_messages_come_back_as_they_were():
    loads = (ServiceLoad("orders", 8, 3, 1, 250),)
    refs = (TaskRef("0001-x", 2, 9),)
    report = Report(7, True, Resources(1, 2, 3), Resources(0, -1, 0), loads, refs)
    for message in (report, build_request(1, b"body")):
        frame = encode_message(message)
        size, packed = parse_length(frame[:LENGTH_BYTES])
        assert size == len(frame) - LENGTH_BYTES
        assert decode_message(frame[LENGTH_BYTES:], packed) == message


def test_packed_frame_cannot_blow_up_memory():
    """Symptom: a small frame takes gigabytes of memory.

    Sequence: a packed frame announces a message of 4 GB and holds its zero bytes.
    Cause: packing shrinks zeroes a thousandfold, and only the frame was limited.
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


def test_large_frames_pass_whole():
    async def main():
        async with accepting() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, PATIENT) as link:
                body = b"x" * 3_000_000
                await link.send(build_request(1, body))
                assert (await link.receive()).body == body

    curio.run(main)


def test_peer_without_the_secret_is_refused():
    async def main():
        async with accepting() as acceptor:
            with pytest.raises(LinkClosedError):
                async with dial_link(acceptor.address, AGENT, "wrong" * 4, PATIENT):
                    pass
            await acceptor.done.wait()
            assert isinstance(acceptor.error, AuthenticationError)

    curio.run(main)


def test_other_version_is_named_in_the_error(monkeypatch):
    async def main():
        async with accepting() as acceptor:
            monkeypatch.setattr(handshake, "_check_version", refuse_version)
            with pytest.raises(ProtocolError, match="version"):
                async with dial_link(acceptor.address, AGENT, SECRET, PATIENT):
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
def test_stranger_costs_one_small_frame(data, error):
    """Symptom: memory grows on garbage sent to the internal port.

    Sequence: a stranger connects and sends HTTP, noise, or a frame too early.
    Cause: the announced length believed before the peer has shown the secret.
    """

    async def main():
        async with accepting() as acceptor:
            host, _, port = acceptor.address.rpartition(":")
            sock = await curio.open_connection(host, int(port))
            async with sock:
                await sock.sendall(data)
                await acceptor.done.wait()
            assert isinstance(acceptor.error, error)

    curio.run(main)


def test_silent_connection_is_given_up():
    """Symptom: requests wait for ever on a connection that looks open.

    Sequence: handshake, then nothing passes in either direction any more.
    Cause: something between the ends forgot the connection; TCP doesn't notice.
    """

    async def main():
        async with accepting(QUICK) as acceptor:
            # The dialler pings so rarely that it is silent for the acceptor.
            async with dial_link(acceptor.address, AGENT, SECRET, PATIENT):
                await acceptor.done.wait()
            assert isinstance(acceptor.error, LinkSilentError)

    curio.run(main)


def test_idle_link_stays_open_by_pings():
    async def main():
        async with accepting(QUICK) as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, QUICK) as link:
                await curio.sleep(3 * QUICK.silent_s)
                await link.send(build_request(1, b"x"))
                assert (await link.receive()).body == b"x"

    curio.run(main)


def test_send_on_a_closed_link_says_that_nothing_was_sent():
    async def main():
        async with accepting() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, PATIENT) as link:
                await link.close()
                with pytest.raises(LinkClosedError):
                    await link.send(Ping())

    curio.run(main)


def test_close_wakes_the_receiving_task():
    """Symptom: a task waits for ever on a link that another task has closed.

    Sequence: one task receives, another closes the link.
    Cause: a closed descriptor leaves the selector without waking its reader.
    """

    async def main():
        async with accepting() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, PATIENT) as link:
                reader = await curio.spawn(link.receive)
                await curio.sleep(0)
                await link.close()
                with pytest.raises(curio.TaskError) as caught:
                    await reader.join()
                assert isinstance(caught.value.__cause__, LinkClosedError)

    curio.run(main)


def test_peer_that_is_gone_before_it_is_accepted():
    """Symptom: an unknown error of the operating system in the task of a link.

    Sequence: a peer connects and resets; only then is its connection accepted.
    Cause: the address of a connection that is gone can't be asked for.
    """

    async def main():
        listener = bind_listener("127.0.0.1", 0)
        peer = socket.create_connection(listener.getsockname())
        reset = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        peer.close()
        sock, _ = await Socket(listener).accept()
        with pytest.raises(LinkClosedError):
            async with accept_link(sock, ENTRY, SECRET, PATIENT):
                pass
        listener.close()

    curio.run(main)


def test_a_link_that_is_closed_under_its_reader_does_not_end_the_process():
    """Symptom: a process ends with FileNotFoundError from the selector.

    Sequence: one task reads from a link, another closes it, and a new connection gets
    the number of its descriptor before the reader has run again. Cause: curio keeps
    the descriptor of a task that it has just woken registered, and takes the new
    connection for the old one.
    """

    async def read_until_closed(link):
        with pytest.raises(LinkClosedError):
            await link.receive()

    async def main():
        async with accepting() as acceptor:
            async with dial_link(acceptor.address, AGENT, SECRET, PATIENT) as link:
                reader = await curio.spawn(read_until_closed, link)
                await curio.sleep(0)
                await link.close()
                ends = [Socket(end) for end in socket.socketpair()]
                await curio.ignore_after(0.01, ends[0].recv, 1)
                await reader.join()
                for end in ends:
                    await end.close()

    curio.run(main)
