"""The server side of an HTTP/1.1 connection."""

from __future__ import annotations

import math
import socket as stdlib_socket
import time
from collections.abc import Iterable
from contextlib import suppress

import curio
import h11
from curio.io import Socket

from pistachiodeal.exceptions import RequestError
from pistachiodeal.web.messages import Headers, WebLimits, WebRequest, WebResponse

READ_BYTES = 65_536
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
NO_BODY_STATUSES = (204, 304)
MANAGED_HEADERS = frozenset(("content-length", "transfer-encoding", "connection"))


class Connection:
    """Reads complete requests from a caller's socket and writes complete responses.

    :param peer: the caller's address ``ip:port``.
    """

    def __init__(self, sock: Socket, peer: str, limits: WebLimits) -> None:
        self._sock = sock
        self._peer = peer
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._deadline = time.monotonic() + limits.idle_s
        self._expired = False
        self._busy = False
        self._writing = False
        self._method = ""

    @property
    def peer(self) -> str:
        """Return the caller's address."""
        return self._peer

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, handled or answered."""
        return self._busy

    async def expire(self, now: float) -> None:
        """Wake the reading or writing task by a shutdown if its deadline has passed."""
        if now < self._deadline or self._expired:
            return
        self._expired = True
        reading = self._busy and not self._writing
        # A caller that sent its request too slowly still gets a 408 response.
        direction = stdlib_socket.SHUT_RD if reading else stdlib_socket.SHUT_RDWR
        with suppress(OSError):
            await self._sock.shutdown(direction)

    async def stop_reading(self) -> None:
        """End an idle connection; a request that has arrived already is still read."""
        if not self._busy:
            with suppress(OSError):
                await self._sock.shutdown(stdlib_socket.SHUT_RD)

    async def read_request(self) -> WebRequest | None:
        """Return the next complete request, or None if the caller sends no more.

        :raises RequestError: the request is malformed, too large or too slow.
        """
        self._deadline = time.monotonic() + self._limits.idle_s
        self._busy = False
        self._method = ""
        try:
            head = await self._read_head()
            if head is None:
                return None
            request = await self._read_body(head)
            self._deadline = math.inf
            return request
        except h11.RemoteProtocolError as error:
            raise RequestError(
                str(error),
                code="malformed_request",
                status=error.error_status_hint or 400,
                step="web.read",
                peer=self._peer,
            ) from None

    async def write_response(self, response: WebResponse, last: bool) -> bool:
        """Send a response.

        :param last: whether the connection is to be closed after this response.
        :return: whether the connection can be used for another request.
        """
        self._deadline = time.monotonic() + self._limits.body_s
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        data = self._encode(response, last)
        self._writing = True
        await self._sock.sendall(data)
        self._writing = False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return not last

    async def linger(self) -> None:
        """Discard input for a short time, so that a refused caller gets the response.

        Closing a socket with unread bytes resets the connection, and the reset can
        overtake the response: the caller would see a broken connection, not a 413.
        """
        await curio.ignore_after(LINGER_S, self._discard)

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    async def _discard(self) -> None:
        await self._sock.shutdown(stdlib_socket.SHUT_WR)
        left = LINGER_BYTES
        while left > 0:
            data = await self._sock.recv(READ_BYTES)
            if not data:
                return
            left -= len(data)

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._busy = True
                self._method = event.method.decode("ascii")
                return event
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None
            await self._receive()

    async def _read_body(self, head: h11.Request) -> WebRequest:
        self._deadline = time.monotonic() + self._limits.body_s
        headers = decode_headers(head.headers)
        self._refuse_declared_length(headers)
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._h11.send(continue_response) or b"")
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise self._refuse_body()
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif event is h11.NEED_DATA:
                await self._receive()
        return WebRequest(
            self._method,
            head.target.decode("latin-1"),
            headers,
            b"".join(chunks),
            self._peer,
        )

    async def _receive(self) -> None:
        data = await self._sock.recv(READ_BYTES)
        if self._expired and self._busy:
            raise RequestError(
                "the request was not received in time",
                code="request_timeout",
                status=408,
                step="web.read",
                peer=self._peer,
            )
        if data and not self._busy:
            # The time limit of a head counts from its first byte. Otherwise a caller
            # that sends a byte now and then could hold the connection for ever.
            self._busy = True
            self._deadline = time.monotonic() + self._limits.head_s
        self._h11.receive_data(data)

    def _refuse_declared_length(self, headers: Headers) -> None:
        for name, value in headers:
            if name != "content-length":
                continue
            if value.isdigit() and int(value) > self._limits.body_bytes:
                raise self._refuse_body()

    def _refuse_body(self) -> RequestError:
        return RequestError(
            f"the body exceeds {self._limits.body_bytes} bytes",
            code="body_too_large",
            status=413,
            step="web.read",
            peer=self._peer,
        )

    def _encode(self, response: WebResponse, last: bool) -> bytes:
        headers = [pair for pair in response.headers if pair[0] not in MANAGED_HEADERS]
        bodyless = self._method == "HEAD" or response.status in NO_BODY_STATUSES
        length = str(len(response.body))
        if self._method == "HEAD":
            length = response.header("content-length", length)
        if response.status not in NO_BODY_STATUSES:
            headers.append(("content-length", length))
        if last:
            headers.append(("connection", "close"))
        head = h11.Response(
            status_code=response.status, headers=encode_headers(headers)
        )
        data = self._h11.send(head) or b""
        if not bodyless and response.body:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return h11's headers as text; h11 gives their names in lower case."""
    return tuple(
        (name.decode("ascii"), value.decode("latin-1")) for name, value in headers
    )


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes; the reverse of :func:`decode_headers`.

    :raises UnicodeError: a name is not ASCII, or a value is not latin-1.
    """
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
