"""What the adapter asks the service that chooses workers."""

from __future__ import annotations

import curio

from pistachiodeal.platform.advice import create_advice
from tests.harness.ports import reserve_port
from tests.standins import base


class AdviceService(base.StandIn):
    """Approves one runner, and one that nobody asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[dict] = []

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Answer a question."""
        self.asked.append(call.document())
        approved = [["i-1", "ticket"], ["i-9", "other"]]
        return base.answer_json({"approved": approved, "valid_ms": 2_000})


def test_runners_are_named_by_their_ids_and_tickets_by_the_start():
    """The service knows no runner by the name of one start, and refuses all."""

    async def main():
        service = AdviceService()
        address = f"{base.HOST}:{reserve_port()}"
        port = int(address.rpartition(":")[2])
        await curio.spawn(base.run_stand_in, service, port, daemon=True)
        await curio.sleep(0.05)
        advice = await create_advice(address).advise("j.0.0", ("i-1@5", "i-2@6"))
        assert service.asked == [{"step": "j.0.0", "workers": ["i-1", "i-2"]}]
        assert advice.tickets == {"i-1@5": "ticket"}

    curio.run(main)
