"""An HTTP/1.1 server that runs one curio task for each connection."""

from __future__ import annotations

import socket as stdlib_socket
import time
from collections.abc import Awaitable, Callable

import curio
import h11
from curio.io import Socket
from logbook import Logger

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.web.connection import Connection
from pistachiodeal.web.listener import accept_connection, bind_listener
from pistachiodeal.web.messages import (
    WebCounters,
    WebLimits,
    WebRequest,
    WebResponse,
    build_problem,
)

log = Logger("web")

Handler = Callable[[WebRequest], Awaitable[WebResponse]]

# Share of the drain time in which idle connections may still send a request. With a
# drain of a few seconds, the rest is enough to answer it, even if one answer of the
# store is lost.
DRAIN_IDLE_SHARE = 0.7
DEADLINE_CHECK_S = 0.25


class WebServer:
    """Accepts connections and passes each request to one handler.

    :meth:`run` serves until :meth:`drain` has finished. A handler may raise
    RequestError, which is answered by a problem document.
    """

    def __init__(
        self, listener: stdlib_socket.socket, handler: Handler, limits: WebLimits
    ) -> None:
        self._listener = listener
        self._handler = handler
        self._limits = limits
        self._counters = WebCounters()
        self._connections: dict[Connection, curio.Task] = {}
        self._acceptor: curio.Task | None = None
        self._draining = False
        self._all_closed = curio.Event()
        self._drained = curio.Event()

    @property
    def port(self) -> int:
        """Return the bound port; the system chooses it if port 0 was requested."""
        return self._listener.getsockname()[1]

    @property
    def counters(self) -> WebCounters:
        """Return the server's counters."""
        return self._counters

    @property
    def draining(self) -> bool:
        """Return whether :meth:`drain` has been called."""
        return self._draining

    async def run(self) -> None:
        """Accept and serve connections until the server is drained."""
        deadline_checker = await curio.spawn(self._check_deadlines)
        self._acceptor = await curio.spawn(self._accept)
        try:
            await self._drained.wait()
        finally:
            await self._stop_accepting()
            await deadline_checker.cancel()
            self._listener.close()
            for task in list(self._connections.values()):
                await task.cancel()

    async def drain(self, timeout: float) -> bool:
        """Stop accepting and wait for requests in flight.

        Idle connections stay open for most of the time: closing one at once would
        cut off a request that a caller is just sending on it. The next request on
        each is answered with ``connection: close``. The rest of the time is only for
        answers: a request read at the very end would otherwise be cut off.

        :param timeout: maximum time in seconds.
        :return: whether all requests were answered in time.
        """
        self._draining = True
        await self._stop_accepting()
        await self._accept_backlog()
        self._listener.close()
        if not self._connections:
            await self._all_closed.set()
        await curio.ignore_after(timeout * DRAIN_IDLE_SHARE, self._all_closed.wait)
        for connection in list(self._connections):
            await connection.stop_reading()
        await curio.ignore_after(
            timeout * (1 - DRAIN_IDLE_SHARE), self._all_closed.wait
        )
        busy = any(connection.busy for connection in self._connections)
        await self._drained.set()
        return not busy

    async def _stop_accepting(self) -> None:
        # The next socket reuses the number of a closed descriptor. If the acceptor
        # still waited on that number, the first read of the new socket would fail and
        # its request would be cut off.
        if self._acceptor is not None:
            await self._acceptor.cancel()
            self._acceptor = None

    async def _accept(self) -> None:
        listener = Socket(self._listener)
        while not self._draining:
            sock, address = await accept_connection(listener)
            await self._open(sock, address)

    async def _accept_backlog(self) -> None:
        # Connections in the kernel's backlog are reset when the listener closes, which
        # would cut off their callers' requests. So they are accepted before that.
        while True:
            try:
                sock, address = self._listener.accept()
            except (BlockingIOError, OSError):
                return
            await self._open(Socket(sock), address)

    async def _open(self, sock: Socket, address: tuple[str, int]) -> None:
        self._counters.connections += 1
        if len(self._connections) >= self._limits.connections:
            self._counters.rejected += 1
            await sock.close()
            return
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
        connection = Connection(sock, f"{address[0]}:{address[1]}", self._limits)
        task = await curio.spawn(self._serve, connection, daemon=True)
        self._connections[connection] = task
        self._counters.open_now = len(self._connections)

    async def _serve(self, connection: Connection) -> None:
        try:
            await self._serve_requests(connection)
        except (OSError, h11.ProtocolError) as error:
            log.debug("web: connection {} ended: {!r}", connection.peer, error)
        finally:
            await connection.close()
            self._connections.pop(connection, None)
            self._counters.open_now = len(self._connections)
            if self._draining and not self._connections:
                await self._all_closed.set()

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            try:
                request = await connection.read_request()
            except RequestError as error:
                self._counters.rejected += 1
                await connection.write_response(build_problem(error), last=True)
                await connection.linger()
                return
            if request is None:
                return
            self._counters.requests += 1
            response = await self._answer(request)
            reusable = await connection.write_response(response, last=self._draining)
            if not reusable:
                return

    async def _answer(self, request: WebRequest) -> WebResponse:
        try:
            return await self._handler(request)
        except RequestError as error:
            return build_problem(error)
        except Exception as error:
            log.exception("web: handler failed on {}", request.method)
            # The handler may have taken effect before it failed, so the outcome cannot
            # be reported as "not run".
            return build_problem(
                RequestError(
                    type(error).__name__,
                    code="internal",
                    outcome=Outcome.UNKNOWN,
                    step="web.handle",
                )
            )

    async def _check_deadlines(self) -> None:
        # One task checks the deadlines of all connections: a time-out for each read
        # would cost more than the read itself.
        while True:
            await curio.sleep(DEADLINE_CHECK_S)
            now = time.monotonic()
            for connection in list(self._connections):
                await connection.expire(now)


def create_server(
    host: str, port: int, handler: Handler, limits: WebLimits
) -> WebServer:
    """Return a server with a bound socket; :meth:`WebServer.run` starts accepting."""
    listener = bind_listener(host, port)
    return WebServer(listener, handler, limits)
