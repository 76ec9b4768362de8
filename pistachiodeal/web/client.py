"""An HTTP/1.1 client with a pool of kept-alive connections to one address."""

from __future__ import annotations

import socket as stdlib_socket
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

import curio
import h11
from curio.io import Socket

from pistachiodeal.addresses import split_address
from pistachiodeal.exceptions import Outcome, PistachiodealError
from pistachiodeal.web.connection import decode_headers, encode_headers
from pistachiodeal.web.messages import Headers, WebResponse

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MANAGED_HEADERS = frozenset(
    ("content-length", "transfer-encoding", "connection", "host")
)

DataHandler = Callable[[int], None]
"""Called with the number of bytes of each received part of a response."""


class CallError(PistachiodealError):
    """A call got no complete response.

    :ivar outcome: ``not_run`` if no byte of the request can have reached the peer,
        ``ran`` if the response had begun, ``unknown`` otherwise.
    """

    code = "call_failed"

    def __init__(
        self, detail: str, outcome: Outcome, *, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.outcome = outcome


class OtherPeerError(CallError):
    """The address belongs to another peer than intended; the request was not sent."""

    code = "other_peer"


class UnsendableError(CallError):
    """The request is not valid HTTP and was not sent; this is no fault of the peer."""

    code = "unsendable"


@dataclass(frozen=True, slots=True)
class PeerCheck:
    """The first request on each connection, which identifies the peer.

    :param expected: name of the peer that a call is meant for.
    :param read_name: returns the peer's name from its response, empty if the peer
        refused; this response is then returned as that of the call.
    """

    expected: str
    method: str
    target: str
    headers: Headers
    body: bytes
    read_name: Callable[[WebResponse], str]


@dataclass(slots=True)
class _PooledConnection:
    """A connection with its protocol state.

    :param raw: the socket inside ``sock``, for non-blocking calls.
    :param peer: name of the peer, empty until a :class:`PeerCheck` has confirmed it.
    """

    raw: stdlib_socket.socket
    sock: Socket
    conn: h11.Connection
    peer: str = ""

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread data.

        The peer may have closed it while it was idle. A request sent on it would then
        be lost with an unknown outcome, although no peer could have run it.
        """
        try:
            self.raw.recv(1, stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        conn = self.conn
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True


class _Deadline:
    """The time-out of a call, whose steps share it.

    :param idle_s: see ``idle_timeout`` of :meth:`WebClient.call`.
    """

    def __init__(self, timeout_s: float, idle_s: float | None) -> None:
        self._idle_s = idle_s
        self._ends_at = time.monotonic() + timeout_s

    def apply(self) -> AbstractAsyncContextManager[object]:
        """Return a context that raises ``TaskTimeout`` once the time is over."""
        limit: AbstractAsyncContextManager[object] = curio.timeout_after(
            max(0.0, self._ends_at - time.monotonic())
        )
        return limit

    def record_data(self) -> None:
        """Wait for the next part of the response from now on."""
        if self._idle_s is not None:
            self._ends_at = time.monotonic() + self._idle_s


class _Exchange:
    """One request on one connection, and its outcome so far.

    :param on_data: see :meth:`WebClient.call`.
    """

    def __init__(
        self, max_body: int, deadline: _Deadline, on_data: DataHandler | None = None
    ) -> None:
        self.outcome = Outcome.NOT_RUN
        self._max_body = max_body
        self._deadline = deadline
        self._on_data = on_data

    async def run(
        self, sock: Socket, conn: h11.Connection, request: h11.Request, body: bytes
    ) -> WebResponse:
        async with self._deadline.apply():
            await self._send(sock, conn, request, body)
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await self._receive(sock))
            elif isinstance(event, h11.Response):
                head = event
                self.outcome = Outcome.RAN
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body:
                    raise ValueError(
                        f"the response body exceeds {self._max_body} bytes"
                    )
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = decode_headers(head.headers)
                return WebResponse(head.status_code, headers, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the peer closed the connection without a response")

    async def _receive(self, sock: Socket) -> bytes:
        async with self._deadline.apply():
            data: bytes = await sock.recv(READ_BYTES)
        self._deadline.record_data()
        if self._on_data is not None and data:
            self._on_data(len(data))
        return data

    async def _send(
        self, sock: Socket, conn: h11.Connection, request: h11.Request, body: bytes
    ) -> None:
        data = conn.send(request) or b""
        if body:
            data += conn.send(h11.Data(data=body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        # If the first send fails, the kernel has accepted no byte, so the peer cannot
        # have run the request.
        sent = await sock.send(data)
        self.outcome = Outcome.UNKNOWN
        if sent < len(data):
            await sock.sendall(data[sent:])


class WebClient:
    """Sends requests to one address, over a pool of connections.

    :param connections: maximum number of concurrent calls; further calls wait.
    :param max_body: maximum size of a response body, bytes.
    """

    def __init__(self, address: str, connections: int, max_body: int) -> None:
        self._address = address
        self._endpoint = split_address(address)
        self._max_body = max_body
        self._call_slots = curio.Semaphore(connections)
        self._idle: list[_PooledConnection] = []

    @property
    def address(self) -> str:
        """Return the address ``ip:port``."""
        return self._address

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
        idle_timeout: float | None = None,
        on_data: DataHandler | None = None,
        peer_check: PeerCheck | None = None,
    ) -> WebResponse:
        """Send a request and return the complete response.

        :param timeout: seconds for the whole call, including the wait for a connection.
        :param idle_timeout: if given, seconds for each part of the response after the
            first: a large response may take as long as its link needs, while one that
            stops arriving still times out.
        :param on_data: called for each received part of the response.
        :param peer_check: identifies the peer of a new connection first, so that the
            request is sent only to the intended peer.
        :raises CallError: there was no complete response in time.
        :raises OtherPeerError: another peer is at the address.
        :raises UnsendableError: the request is not valid HTTP.
        """
        request = self._build_request(method, target, headers, body)
        deadline = _Deadline(timeout, idle_timeout)
        exchange = _Exchange(self._max_body, deadline, on_data)
        try:
            async with deadline.apply():
                await self._call_slots.acquire()
            try:
                return await self._call(exchange, deadline, request, body, peer_check)
            finally:
                await self._call_slots.release()
        except curio.TaskTimeout:
            raise self._fail(exchange, f"no answer within {timeout:.3g} s") from None
        except (OSError, EOFError, ValueError, h11.ProtocolError) as error:
            raise self._fail(exchange, repr(error)) from None

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _call(
        self,
        exchange: _Exchange,
        deadline: _Deadline,
        request: h11.Request,
        body: bytes,
        peer_check: PeerCheck | None,
    ) -> WebResponse:
        async with deadline.apply():
            pooled = await self._acquire(peer_check.expected if peer_check else "")
        reusable = False
        try:
            if peer_check is not None and not pooled.peer:
                refusal = await self._check_peer(pooled, deadline, peer_check)
                if refusal is not None:
                    return refusal
            response = await exchange.run(pooled.sock, pooled.conn, request, body)
            reusable = pooled.start_next_cycle()
            return response
        finally:
            if reusable:
                self._idle.append(pooled)
            else:
                await pooled.sock.close()

    async def _check_peer(
        self, pooled: _PooledConnection, deadline: _Deadline, peer_check: PeerCheck
    ) -> WebResponse | None:
        """Identify the peer; return its response if it refuses, else None.

        :raises OtherPeerError: it is not the intended peer.
        """
        request = self._build_request(
            peer_check.method,
            peer_check.target,
            peer_check.headers,
            peer_check.body,
        )
        exchange = _Exchange(self._max_body, deadline)
        answer = await exchange.run(pooled.sock, pooled.conn, request, peer_check.body)
        peer = peer_check.read_name(answer)
        if not peer:
            return answer
        if peer != peer_check.expected:
            raise OtherPeerError(
                peer, Outcome.NOT_RUN, step="http.introduce", peer=self._address
            )
        if not pooled.start_next_cycle():
            raise EOFError("the peer closed the connection after the peer check")
        pooled.peer = peer
        return None

    async def _acquire(self, peer: str) -> _PooledConnection:
        """Return an idle connection, to ``peer`` if that is given, or a new one."""
        while self._idle:
            pooled = self._idle.pop()
            if (not peer or pooled.peer == peer) and pooled.is_usable():
                return pooled
            await pooled.sock.close()
        return await self._connect()

    async def _connect(self) -> _PooledConnection:
        raw = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
        raw.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        sock = Socket(raw)
        try:
            await sock.connect(self._endpoint)
        except BaseException:
            await sock.close()
            raise
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        return _PooledConnection(raw, sock, conn)

    def _build_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Request:
        managed = [("host", self._address)]
        if body or method in ("POST", "PUT", "PATCH"):
            managed.append(("content-length", str(len(body))))
        caller_headers = [pair for pair in headers if pair[0] not in MANAGED_HEADERS]
        try:
            return h11.Request(
                method=method,
                target=target,
                headers=encode_headers(managed + caller_headers),
            )
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise UnsendableError(
                str(error), Outcome.NOT_RUN, step="http.call", peer=self._address
            ) from None

    def _fail(self, exchange: _Exchange, detail: str) -> CallError:
        return CallError(detail, exchange.outcome, step="http.call", peer=self._address)


def create_client(
    address: str, *, connections: int = 8, max_body: int = 8_388_608
) -> WebClient:
    """Return a client for ``ip:port``; it connects on first use."""
    return WebClient(address, connections, max_body)
