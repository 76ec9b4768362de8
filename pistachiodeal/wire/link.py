"""A link: one authenticated connection between two of our processes."""

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
FLUSH_S = 0.5
# Before a peer has shown the secret, it may not make us hold more than this.
HANDSHAKE_FRAME_BYTES = 4_096
TICKS_PER_PING = 2
STEP_RECEIVE = "link.receive"
PING_FRAME = encode_message(Ping())


@dataclass(frozen=True, slots=True)
class LinkTimings:
    """When links ping and when they count as lost, in seconds.

    :param ping_s: a side that sent nothing for this long sends a ping.
    :param silent_s: a side that heard nothing for this long closes the link.
    :param handshake_s: for connecting and the handshake.
    """

    ping_s: float = 0.5
    silent_s: float = 2.0
    handshake_s: float = 2.0


class Link:
    """Sends and receives messages; pings and silence are its own business.

    Any task may send; one task receives.
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
        self._wake = curio.Event()
        self._room = curio.Event()
        self._closing = False
        self._reading = False
        self._error: LinkClosedError | None = None
        self._heard_at = time.monotonic()
        self._sent_at = time.monotonic()
        self._tasks: list[curio.Task] = []

    @property
    def peer(self) -> Identity:
        """Return who the other side has proved to be."""
        return self._peer

    @property
    def address(self) -> str:
        """Return the other side's address ``ip:port``."""
        return self._address

    @property
    def closed(self) -> bool:
        """Tell whether the link is of no more use."""
        return self._closing or self._error is not None

    async def send(self, message: Message) -> None:
        """Queue a message; waits while the outbox is full.

        :raises LinkClosedError: the message was not, and will not be, sent.
        """
        frame = encode_message(message)
        while self._outbox_bytes > OUTBOX_BYTES and not self.closed:
            self._room.clear()
            await self._room.wait()
        if self.closed:
            raise self._error or LinkClosedError(step="link.send", peer=self._address)
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        if not self._wake.is_set():
            await self._wake.set()

    async def receive(self) -> Message:
        """Return the next message that is not a ping.

        :raises LinkClosedError: closed; ``LinkSilentError`` after silence.
        :raises ProtocolError: the peer sent what is not of this protocol.
        """
        while True:
            frame = self._take_frame()
            if frame is None:
                await self._read()
                continue
            message = decode_message(*frame)
            if type(message) is not Ping:
                return message

    async def close(self) -> None:
        """Send what is queued if that is possible at once, then close."""
        if self._closing:
            return
        self._closing = True
        await self._wake.set()
        await self._room.set()
        if self._tasks and self._error is None:
            await curio.ignore_after(FLUSH_S, self._tasks[0].wait)
        while self._tasks:
            await self._tasks.pop().cancel()
        # Closing a descriptor takes it out of the selector without a word: a task
        # that reads from it would wait for ever. The shutdown wakes it first. Curio
        # keeps the descriptor of a task that it has woken until that task waits again;
        # a new connection that got the same number by then would end the process
        # (FileNotFoundError in the selector). So the reader has to have run.
        await self._break()
        await curio.sleep(0)
        while self._reading:
            await curio.sleep(0)
        await self._sock.close()

    async def open(self, peer: Identity) -> None:
        """Take the peer's identity and start writing; ends the handshake."""
        self._peer = peer
        self._max_frame = MAX_FRAME_BYTES
        self._tasks.append(await curio.spawn(self._write, daemon=True))
        self._tasks.append(await curio.spawn(self._tick, daemon=True))

    async def send_now(self, message: Message) -> None:
        """Send one message of the handshake, before the writer runs."""
        await self._sock.sendall(encode_message(message))

    def _take_frame(self) -> tuple[bytes, bool] | None:
        """Return the next whole frame, and whether it is packed."""
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
                f"{size} bytes announced", step=STEP_RECEIVE, peer=self._address
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
        self._heard_at = time.monotonic()
        self._inbox += data

    def _fail(self, error: LinkClosedError) -> LinkClosedError:
        error.step = error.step or STEP_RECEIVE
        error.peer = self._peer.node or self._address
        if self._error is None:
            self._error = error
        return self._error

    async def _write(self) -> None:
        # One task writes: a sendall that is cut by a sender's time-out has sent
        # a part of a frame, and the stream would be out of step for ever.
        try:
            while self._outbox or not self._closing:
                await self._wake.wait()
                self._wake.clear()
                while self._outbox:
                    await self._sock.sendall(self._take_outbox())
                    self._sent_at = time.monotonic()
        except OSError as error:
            self._fail(LinkClosedError(repr(error), step="link.send"))
            await self._break()

    def _take_outbox(self) -> bytes:
        data = b"".join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        return data

    async def _tick(self) -> None:
        pause = self._timings.ping_s / TICKS_PER_PING
        while True:
            before = time.monotonic()
            await curio.sleep(pause)
            now = time.monotonic()
            await self._room.set()
            if now - before > pause + self._timings.ping_s:
                # This process itself was stopped for a while: what the peer sent
                # meanwhile waits unread, so silence proves nothing yet.
                self._heard_at = now
            if self._has_unread():
                # The receiving task is at work on an earlier message; the peer
                # is not silent.
                self._heard_at = now
            if now - self._heard_at > self._timings.silent_s:
                silence = now - self._heard_at
                self._fail(LinkSilentError(f"nothing heard for {silence:.1f} s"))
                await self._break()
                return
            if now - self._sent_at >= self._timings.ping_s and not self._outbox:
                self._outbox.append(PING_FRAME)
                self._outbox_bytes += len(PING_FRAME)
                await self._wake.set()

    def _has_unread(self) -> bool:
        with self._sock.blocking() as raw:
            try:
                flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
                return bool(raw.recv(1, flags))
            except OSError:
                return False

    async def _break(self) -> None:
        """Wake the receiving task, and every sender that waits for room."""
        await self._room.set()
        with suppress(OSError):
            await self._sock.shutdown(stdlib_socket.SHUT_RDWR)
