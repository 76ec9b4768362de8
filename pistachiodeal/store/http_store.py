"""HTTP calls to a store through a circuit breaker."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from pistachiodeal.exceptions import StoreUncertainError
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.store.breaker import Breaker, create_breaker
from pistachiodeal.store.http_errors import map_call_error, map_status
from pistachiodeal.web.client import CallError, WebClient, create_client
from pistachiodeal.web.messages import WebResponse

T = TypeVar("T")

MAX_ANSWER_BYTES = 67_108_864
NOT_FOUND = 404


class StoreCaller:
    """Makes HTTP calls to one store and maps their failures."""

    def __init__(
        self, client: WebClient, breaker: Breaker, peer: str, timeout: float
    ) -> None:
        self._client = client
        self._breaker = breaker
        self._peer = peer
        self._timeout = timeout

    @property
    def breaker(self) -> Breaker:
        """Return the circuit breaker."""
        return self._breaker

    async def call(
        self,
        step: str,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        changes: bool,
        may_be_absent: bool = False,
    ) -> WebResponse:
        """Make a call and return its successful answer.

        :param changes: whether the call may change anything.
        :param may_be_absent: whether status 404 counts as success.
        :raises StoreUnavailableError: the call took no effect.
        :raises StoreUncertainError: it may have taken effect.
        :raises StoreError: the store rejected the request.
        """
        with self._breaker.watch(step):
            try:
                response = await self._client.call(
                    method, target, body=body, timeout=self._timeout
                )
            except CallError as error:
                raise map_call_error(
                    error, step, self._peer, changes=changes
                ) from error
            if may_be_absent and response.status == NOT_FOUND:
                return response
            refusal = map_status(response, step, self._peer, changes=changes)
            if refusal is not None:
                raise refusal
            return response

    def parse(self, step: str, response: WebResponse, build: Callable[[Any], T]) -> T:
        """Decode the JSON body of a successful answer with ``build``.

        :raises StoreUncertainError: the body doesn't conform to the protocol.
        """
        try:
            return build(orjson.loads(response.body))
        except MALFORMED as error:
            detail = f"malformed answer: {describe(error)}"
            raise StoreUncertainError(detail, step=step, peer=self._peer) from error


def create_store_caller(address: str, timeout: float, connections: int) -> StoreCaller:
    """Return a :class:`StoreCaller` for the store at ``ip:port``."""
    client = create_client(address, connections=connections, max_body=MAX_ANSWER_BYTES)
    breaker = create_breaker(address, timeout=timeout, connections=connections)
    return StoreCaller(client, breaker, address, timeout)
