"""Exchange of interference measurements with the entries."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio
import logbook

from pistachiodeal.wire.messages import Evidence, Message, PairEvidence

log = logbook.Logger("agent")

EXCHANGE_S = 10.0
MAX_PAIRS = 2_000


class ExchangedModel(Protocol):
    """The interference model, as far as the exchange uses it."""

    def drain_measurements(self) -> tuple[PairEvidence, ...]:
        """Return the measurements added since the last call."""

    def merge(self, pairs: Iterable[PairEvidence], now: float) -> None:
        """Merge measurements of other workers."""


class InterferenceExchange:
    """Sends new measurements on one link periodically, and merges received ones."""

    def __init__(
        self,
        model: ExchangedModel,
        send_to_any: Callable[[Message], Awaitable[bool]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._model = model
        self._send_to_any = send_to_any
        self._clock = clock
        self._unsent: list[PairEvidence] = []

    async def run(self) -> None:
        """Send measurements periodically until cancelled."""
        while True:
            await curio.sleep(EXCHANGE_S)
            await self.send()

    async def send(self) -> None:
        """Send new measurements; if sending fails, keep them for the next time."""
        self._unsent.extend(self._model.drain_measurements())
        del self._unsent[:-MAX_PAIRS]
        if not self._unsent:
            return
        if await self._send_to_any(Evidence(tuple(self._unsent))):
            self._unsent.clear()

    def receive(self, message: Evidence) -> None:
        """Merge the measurements that an entry has collected from all agents."""
        self._model.merge(message.pairs, self._clock())
