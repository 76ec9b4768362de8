"""Client of the platform's service that approves workers for a step."""

from __future__ import annotations

from typing import Any

import orjson

from pistachiodeal.exceptions import AdviceError
from pistachiodeal.jobs.advice import Advice
from pistachiodeal.jobs.incarnations import get_runner
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.web.client import CallError, WebClient, create_client

OK = 200
ADVISE_PATH = "/api/advise"
# The service's latency grows with the number of workers in a call: 30 take up to a
# second on known deployments. Calls of one VM are processed one after another.
CALL_TIMEOUT_S = 5.0
CONNECTIONS = 2
# Each start of a task carries the ticket.
MAX_TICKET_LENGTH = 1_000


class PlatformAdviser:
    """Implements ``Adviser`` by calls to the service."""

    def __init__(self, client: WebClient) -> None:
        self._client = client

    async def advise(self, step: str, workers: tuple[str, ...]) -> Advice:
        """Return the workers that the service approves; see ``Adviser``."""
        # The service identifies a runner by its id without the incarnation.
        workers_by_runner = {get_runner(worker): worker for worker in workers}
        body = orjson.dumps({"step": step, "workers": list(workers_by_runner)})
        headers = (("content-type", "application/json"),)
        peer = self._client.address
        try:
            response = await self._client.call(
                "POST", ADVISE_PATH, headers=headers, body=body, timeout=CALL_TIMEOUT_S
            )
        except CallError as error:
            await self._client.close()
            raise AdviceError(error.detail, step="advice.ask", peer=peer) from None
        if response.status != OK:
            detail = f"status {response.status}"
            raise AdviceError(detail, step="advice.ask", peer=peer)
        try:
            return _decode(orjson.loads(response.body), workers_by_runner)
        except MALFORMED as error:
            raise AdviceError(
                describe(error), step="advice.decode", peer=peer
            ) from None


def create_adviser(address: str) -> PlatformAdviser:
    """Return a client of the service at ``ip:port``."""
    return PlatformAdviser(create_client(address, connections=CONNECTIONS))


def _decode(document: dict[str, Any], workers_by_runner: dict[str, str]) -> Advice:
    tickets = {
        workers_by_runner[runner]: str(ticket)
        for runner, ticket in document["approved"]
        if runner in workers_by_runner
    }
    if any(len(ticket) > MAX_TICKET_LENGTH for ticket in tickets.values()):
        raise ValueError("a ticket is too long")
    return Advice(tickets, float(document["valid_ms"]) / 1000)
