"""An HTTP/1.1 server: one curio task for each connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pistachiodeal.web.messages import (
    WebCounters,
    WebLimits,
    WebRequest,
    WebResponse,
)

Handler = Callable[[WebRequest], Awaitable[WebResponse]]


class WebServer:
    """Accepts connections and answers each request by one handler.

    :meth:`run` serves until :meth:`drain` has been called and every request in
    flight is answered. A handler may raise RequestError.
    """

    @property
    def port(self) -> int:
        """Return the port in use (settings may ask for port 0)."""
        raise NotImplementedError

    @property
    def counters(self) -> WebCounters:
        """Return the counts so far."""
        raise NotImplementedError

    async def run(self) -> None:
        """Accept and serve until drained."""
        raise NotImplementedError

    async def drain(self, timeout: float) -> bool:
        """Stop accepting, let requests in flight end; False when time ran out."""
        raise NotImplementedError


def create_server(
    host: str, port: int, handler: Handler, limits: WebLimits
) -> WebServer:
    """Bind the listening socket now; accept only once :meth:`WebServer.run` runs."""
    raise NotImplementedError
