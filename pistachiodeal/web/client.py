"""An HTTP/1.1 client with kept-alive connections to one address."""

from __future__ import annotations

from pistachiodeal.exceptions import Outcome, PistachiodealError
from pistachiodeal.web.messages import Headers, WebResponse


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


class WebClient:
    """Calls one address; at most ``connections`` at once, the rest wait."""

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> WebResponse:
        """Return the whole answer.

        :param timeout: seconds for everything, waiting for a connection included.
        :raises CallError: there was no whole answer in time.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Close the idle connections."""
        raise NotImplementedError


def create_client(
    address: str, *, connections: int = 8, max_body: int = 8_388_608
) -> WebClient:
    """Return a client for ``ip:port``; connects on first use."""
    raise NotImplementedError
