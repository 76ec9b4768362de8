"""Keeps filling tasks at the pace that their serving neighbours bear."""

from __future__ import annotations

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.ledger import AgentLedger, RunKey
from pistachiodeal.jobs.runtime import CallResult, Runtime
from pistachiodeal.scheduling.pacing import FULL, Pacer, ServingTail


class PaceKeeper:
    """Applies one pace to all filling tasks of the worker."""

    def __init__(self, ledger: AgentLedger, runtime: Runtime, events: EventLog) -> None:
        self._ledger = ledger
        self._runtime = runtime
        self._events = events
        self._pacer = Pacer()
        self._applied: dict[RunKey, int] = {}

    async def apply(self) -> None:
        """Decide by the newest figures, and tell the runner what has changed."""
        fills = [key for key in self._ledger.running if self._is_filling(key)]
        before = self._pacer.percent
        percent = self._pacer.decide(self._list_tails(), read_boot_clock())
        self._ledger.pace_percent = percent
        if percent != before:
            self._events.emit("pace.changed", percent=percent, was=before)
        self._applied = {key: self._applied.get(key, FULL) for key in fills}
        for key in fills:
            if self._applied[key] != percent:
                self._applied[key] = percent
                await curio.spawn(self._pace, key, percent, daemon=True)

    def _list_tails(self) -> list[ServingTail]:
        tails = []
        for key, running in self._ledger.running.items():
            described = self._ledger.described.get(key)
            if described is not None and described.serves_ms:
                tails.append(ServingTail(running.figure, described.serves_ms))
        return tails

    def _is_filling(self, key: RunKey) -> bool:
        described = self._ledger.described.get(key)
        return described is not None and described.fills

    async def _pace(self, key: RunKey, percent: int) -> None:
        ledger = self._ledger
        task, run = key
        result = await self._runtime.pace(
            ledger.worker, ledger.authority.token, task, run, percent
        )
        if result is not CallResult.DONE:
            # Unknown counts as not applied: the next round tells it again.
            self._applied.pop(key, None)
