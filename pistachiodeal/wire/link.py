"""A link: one authenticated connection between two processes of the system."""

from __future__ import annotations

import socket as stdlib_socket
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass

import curio
from curio.io import Socket
from logbook import Logger

from pistachiodeal.exceptions import (
    FrameTooLargeError,
    LinkClosedError,
    LinkSilentError,
    ProtocolError,
)
from pistachiodeal.wire.codec import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    decode_message,
    encode_message,
    parse_length,
)
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import Message, Ping

log = Logger("wire")

READ_BYTES = 65_536
OUTBOX_BYTES = 32 * 1024 * 1024
FLUSH_TIMEOUT_S = 0.5
# Limits what an unauthenticated peer can make this process buffer.
HANDSHAKE_FRAME_BYTES = 4_096
CHECKS_PER_PING = 2
STEP_RECEIVE = "link.receive"
PING_FRAME = encode_message(Ping())


@dataclass(frozen=True, slots=True)
class LinkTimings:
    """Intervals and time-outs of a link, in seconds.

    :param ping_s: a side that has sent nothing for this long sends a ping.
    :param silent_s: a side that has received nothing for this long closes the link.
    :param handshake_s: time-out for connecting and the handshake together.
    """

    ping_s: float = 0.5
    silent_s: float = 2.0
    handshake_s: float = 2.0


class Link:
    """Sends and receives messages, keeps the connection alive and detects its loss.

    Any task may send; only one task may receive.
    """

    def __init__(self, sock: Socket, address: str, timings: LinkTimings) -> None:
        self._sock = sock
        self._address = address
        self._timings = timings
        self._peer = Identity("", "", 0, "")
        self._max_frame = HANDSHAKE_FRAME_BYTES
        self._inbox = bytearray()
        self._outbox: deque[bytes] = deque()
        self._outbox_bytes = 0
        self._writer_wakeup = curio.Event()
        self._sender_wakeup = curio.Event()
        self._closing = False
        self._reading = False
        self._error: LinkClosedError | None = None
        self._received_at = time.monotonic()
        self._sent_at = time.monotonic()
        self._tasks: list[curio.Task] = []

    @property
    def peer(self) -> Identity:
        """Return the authenticated identity of the peer."""
        return self._peer

    @property
    def address(self) -> str:
        """Return the peer's address ``ip:port``."""
        return self._address

    @property
    def closed(self) -> bool:
        """Return whether the link is closed, closing or broken."""
        return self._closing or self._error is not None

    async def send(self, message: Message) -> None:
        """Queue a message; wait while the outbox is full.

        :raises LinkClosedError: the message was not sent, and will not be.
        """
        frame = encode_message(message)
        while self._outbox_bytes > OUTBOX_BYTES and not self.closed:
            self._sender_wakeup.clear()
            await self._sender_wakeup.wait()
        if self.closed:
            raise self._error or LinkClosedError(step="link.send", peer=self._address)
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        if not self._writer_wakeup.is_set():
            await self._writer_wakeup.set()

    async def receive(self) -> Message:
        """Return the next message that is not a ping.

        :raises LinkClosedError: the link is closed; ``LinkSilentError`` if nothing was
            received for ``silent_s``.
        :raises ProtocolError: the peer sent an invalid message.
        """
        while True:
            frame = self._pop_frame()
            if frame is None:
                await self._read()
                continue
            message = decode_message(*frame)
            if type(message) is not Ping:
                return message

    async def close(self) -> None:
        """Send the queued messages within :data:`FLUSH_TIMEOUT_S`, then close."""
        if self._closing:
            return
        self._closing = True
        await self._writer_wakeup.set()
        await self._sender_wakeup.set()
        if self._tasks and self._error is None:
            await curio.ignore_after(FLUSH_TIMEOUT_S, self._tasks[0].wait)
        while self._tasks:
            await self._tasks.pop().cancel()
        # Closing a descriptor removes it from the selector without waking the task that
        # reads from it, which would then wait for ever; shutting the socket down wakes
        # it first. Curio keeps the descriptor of a task that it has woken registered
        # until that task waits again. If a new connection got the same descriptor
        # number by then, the selector would raise FileNotFoundError and end the
        # process, so wait until the reader has run.
        await self._shut_down()
        await curio.sleep(0)
        while self._reading:
            await curio.sleep(0)
        await self._sock.close()

    async def finish_handshake(self, peer: Identity) -> None:
        """Set the authenticated peer, allow full-size frames and start the tasks."""
        self._peer = peer
        self._max_frame = MAX_FRAME_BYTES
        self._tasks.append(await curio.spawn(self._write, daemon=True))
        self._tasks.append(await curio.spawn(self._monitor, daemon=True))

    async def send_now(self, message: Message) -> None:
        """Write a handshake message to the socket; the writer has not started yet."""
        await self._sock.sendall(encode_message(message))

    def _pop_frame(self) -> tuple[bytes, bool] | None:
        """Remove and return the next whole frame, and whether it is packed."""
        inbox = self._inbox
        if len(inbox) < LENGTH_BYTES:
            return None
        size, packed = parse_length(inbox[:LENGTH_BYTES])
        if packed and not self._peer.role:
            raise ProtocolError(
                "packed frame in the handshake", step=STEP_RECEIVE, peer=self._address
            )
        if size > self._max_frame:
            raise FrameTooLargeError(
                f"the frame's length field says {size} bytes",
                step=STEP_RECEIVE,
                peer=self._address,
            )
        end = LENGTH_BYTES + size
        if len(inbox) < end:
            return None
        frame = bytes(memoryview(inbox)[LENGTH_BYTES:end])
        del inbox[:end]
        return frame, packed

    async def _read(self) -> None:
        self._reading = True
        try:
            data = await self._sock.recv(READ_BYTES)
        except OSError as error:
            raise self._fail(LinkClosedError(repr(error))) from None
        finally:
            self._reading = False
        if not data:
            raise self._fail(LinkClosedError("closed by the peer"))
        self._received_at = time.monotonic()
        self._inbox += data

    def _fail(self, error: LinkClosedError) -> LinkClosedError:
        error.step = error.step or STEP_RECEIVE
        error.peer = self._peer.node or self._address
        if self._error is None:
            self._error = error
        return self._error

    async def _write(self) -> None:
        # Only this task writes to the socket. If senders wrote themselves, one that is
        # cancelled by a time-out could leave a partial frame in the stream, and the
        # peer could decode nothing after it.
        try:
            while self._outbox or not self._closing:
                await self._writer_wakeup.wait()
                self._writer_wakeup.clear()
                while self._outbox:
                    await self._sock.sendall(self._pop_outbox())
                    self._sent_at = time.monotonic()
        except OSError as error:
            self._fail(LinkClosedError(repr(error), step="link.send"))
            await self._shut_down()

    def _pop_outbox(self) -> bytes:
        data = b"".join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        return data

    async def _monitor(self) -> None:
        pause = self._timings.ping_s / CHECKS_PER_PING
        while True:
            before = time.monotonic()
            await curio.sleep(pause)
            now = time.monotonic()
            await self._sender_wakeup.set()
            if now - before > pause + self._timings.ping_s:
                # This process itself was suspended: messages that the peer sent
                # meanwhile may still be unread, so the peer does not count as silent.
                self._received_at = now
            if self._has_unread():
                # The receiving task is still processing an earlier message; the peer
                # is not silent.
                self._received_at = now
            if now - self._received_at > self._timings.silent_s:
                silence = now - self._received_at
                self._fail(LinkSilentError(f"nothing heard for {silence:.1f} s"))
                await self._shut_down()
                return
            if now - self._sent_at >= self._timings.ping_s and not self._outbox:
                self._outbox.append(PING_FRAME)
                self._outbox_bytes += len(PING_FRAME)
                await self._writer_wakeup.set()

    def _has_unread(self) -> bool:
        with self._sock.blocking() as raw:
            try:
                flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
                return bool(raw.recv(1, flags))
            except OSError:
                return False

    async def _shut_down(self) -> None:
        """Shut the socket down to wake the receiver; wake all waiting senders."""
        await self._sender_wakeup.set()
        with suppress(OSError):
            await self._sock.shutdown(stdlib_socket.SHUT_RDWR)
