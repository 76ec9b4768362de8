"""An HTTP/1.1 client with kept-alive connections to one address."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import Callable
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
OWN_HEADERS = frozenset(("content-length", "transfer-encoding", "connection", "host"))


class CallError(PistachiodealError):
    """A call got no whole answer.

    :ivar outcome: ``not_run`` when no byte of the request can have reached the
        peer, else ``unknown`` (``ran`` when the answer had begun).
    """

    code = "call_failed"

    def __init__(
        self, detail: str, outcome: Outcome, *, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.outcome = outcome


class OtherPeerError(CallError):
    """Another peer than the intended one is at the address; it was sent nothing."""

    code = "other_peer"


class UnsendableError(CallError):
    """The request itself cannot be sent as HTTP; the peer is not to blame."""

    code = "unsendable"


@dataclass(frozen=True, slots=True)
class PeerCheck:
    """The first request on each connection, which asks who is at the other end.

    :param expected: name of the peer that a call is meant for.
    :param read_name: returns the peer's name from its answer, empty where it is a
        refusal, which then answers the call itself.
    """

    expected: str
    method: str
    target: str
    headers: Headers
    body: bytes
    read_name: Callable[[WebResponse], str]


@dataclass(slots=True)
class _Line:
    """A connection and its place in the protocol.

    :param raw: the socket under ``sock``, for calls that never wait.
    :param peer: name of who is at the other end, empty before it has said so.
    """

    raw: stdlib_socket.socket
    sock: Socket
    conn: h11.Connection
    peer: str = ""

    def is_fresh(self) -> bool:
        """Tell whether the connection is open and has nothing unread.

        The peer may have closed it while it was idle; a request sent on it would
        be lost with an unknown outcome although no one could have run it.
        """
        try:
            self.raw.recv(1, stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def start_next_cycle(self) -> bool:
        """Get ready for the next request; tell whether there can be one."""
        conn = self.conn
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True


class _Exchange:
    """One request on one connection, and how far it got."""

    def __init__(self, max_body: int) -> None:
        self.outcome = Outcome.NOT_RUN
        self._max_body = max_body

    async def run(
        self, sock: Socket, conn: h11.Connection, request: h11.Request, body: bytes
    ) -> WebResponse:
        await self._send(sock, conn, request, body)
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                head = event
                self.outcome = Outcome.RAN
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body:
                    raise ValueError(f"the answer is over {self._max_body} bytes")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = decode_headers(head.headers)
                return WebResponse(head.status_code, headers, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the peer closed the connection without an answer")

    async def _send(
        self, sock: Socket, conn: h11.Connection, request: h11.Request, body: bytes
    ) -> None:
        data = conn.send(request) or b""
        if body:
            data += conn.send(h11.Data(data=body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        # The first send tells whether anything left: an error on it means that
        # the kernel took no byte, so the peer cannot have run the request.
        sent = await sock.send(data)
        self.outcome = Outcome.UNKNOWN
        if sent < len(data):
            await sock.sendall(data[sent:])


class WebClient:
    """Calls one address; at most ``connections`` at once, the rest wait."""

    def __init__(self, address: str, connections: int, max_body: int) -> None:
        self._address = address
        self._endpoint = split_address(address)
        self._max_body = max_body
        self._free = curio.Semaphore(connections)
        self._idle: list[_Line] = []

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
        peer_check: PeerCheck | None = None,
    ) -> WebResponse:
        """Return the whole answer.

        :param timeout: seconds for everything, waiting for a connection included.
        :param peer_check: sends the request only to the peer that it is meant for.
        :raises CallError: there was no whole answer in time.
        :raises OtherPeerError: another peer is at the address.
        """
        request = self._build_request(method, target, headers, body)
        exchange = _Exchange(self._max_body)
        try:
            async with curio.timeout_after(timeout):
                async with self._free:
                    return await self._call(exchange, request, body, peer_check)
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
        request: h11.Request,
        body: bytes,
        peer_check: PeerCheck | None,
    ) -> WebResponse:
        line = await self._take(peer_check.expected if peer_check else "")
        reusable = False
        try:
            if peer_check is not None and not line.peer:
                refusal = await self._introduce(line, peer_check)
                if refusal is not None:
                    return refusal
            response = await exchange.run(line.sock, line.conn, request, body)
            reusable = line.start_next_cycle()
            return response
        finally:
            if reusable:
                self._idle.append(line)
            else:
                await line.sock.close()

    async def _introduce(
        self, line: _Line, peer_check: PeerCheck
    ) -> WebResponse | None:
        """Learn who is at the other end; return the answer where it refuses to say.

        :raises OtherPeerError: it is not the intended peer.
        """
        request = self._build_request(
            peer_check.method,
            peer_check.target,
            peer_check.headers,
            peer_check.body,
        )
        exchange = _Exchange(self._max_body)
        answer = await exchange.run(line.sock, line.conn, request, peer_check.body)
        peer = peer_check.read_name(answer)
        if not peer:
            return answer
        if peer != peer_check.expected:
            raise OtherPeerError(
                peer, Outcome.NOT_RUN, step="http.introduce", peer=self._address
            )
        if not line.start_next_cycle():
            raise EOFError("the peer closed the connection after its introduction")
        line.peer = peer
        return None

    async def _take(self, peer: str) -> _Line:
        """Return a connection, to a certain peer where one is named."""
        while self._idle:
            line = self._idle.pop()
            if (not peer or line.peer == peer) and line.is_fresh():
                return line
            await line.sock.close()
        return await self._connect()

    async def _connect(self) -> _Line:
        raw = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
        raw.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        sock = Socket(raw)
        try:
            await sock.connect(self._endpoint)
        except BaseException:
            await sock.close()
            raise
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        return _Line(raw, sock, conn)

    def _build_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Request:
        own = [("host", self._address)]
        if body or method in ("POST", "PUT", "PATCH"):
            own.append(("content-length", str(len(body))))
        kept = [pair for pair in headers if pair[0] not in OWN_HEADERS]
        try:
            return h11.Request(
                method=method, target=target, headers=encode_headers(own + kept)
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
    """Return a client for ``ip:port``; connects on first use."""
    return WebClient(address, connections, max_body)
