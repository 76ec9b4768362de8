"""Calls of the adapter to the service that approves workers."""

from __future__ import annotations

import curio

from pistachiodeal.platform.advice import create_adviser
from tests.harness.ports import reserve_port
from tests.standins import base


class AdviceService(base.StandIn):
    """Approves one of the requested runners, and one that was not requested."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[dict] = []

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Answer a call."""
        self.requests.append(call.document())
        approved = [["i-1", "ticket"], ["i-9", "other"]]
        return base.answer_json({"approved": approved, "valid_ms": 2_000})


def test_calls_use_runner_ids_and_tickets_use_incarnations():
    """The service doesn't know the names of incarnations, and would refuse all."""

    async def main():
        service = AdviceService()
        address = f"{base.HOST}:{reserve_port()}"
        port = int(address.rpartition(":")[2])
        await curio.spawn(base.run_stand_in, service, port, daemon=True)
        await curio.sleep(0.05)
        advice = await create_adviser(address).advise("j.0.0", ("i-1@5", "i-2@6"))
        assert service.requests == [{"step": "j.0.0", "workers": ["i-1", "i-2"]}]
        assert advice.tickets == {"i-1@5": "ticket"}

    curio.run(main)
