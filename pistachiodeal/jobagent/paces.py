"""Keeps filling tasks at the pace that their serving neighbours bear."""

from __future__ import annotations

import curio

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.tail_watch import TailWatch
from pistachiodeal.jobs.runtime import CallResult, Runtime
from pistachiodeal.scheduling.interference import FIRST_PRESS, compute_effort
from pistachiodeal.scheduling.pacing import (
    FillingLoad,
    Pacer,
)
from pistachiodeal.scheduling.tail_guard import TailGuard, compute_guard_s
from pistachiodeal.scheduling.tails import PaceHistory, ServingTail


class PaceController:
    """Applies a pace to the filling tasks of each image.

    :param interference_s: a serving task may be over its aim for this long.
    """

    def __init__(
        self,
        ledger: AgentLedger,
        runtime: Runtime,
        events: EventLog,
        interference_s: float,
    ) -> None:
        self._ledger = ledger
        self._runtime = runtime
        self._events = events
        self._pacer = Pacer(TailGuard(compute_guard_s(interference_s)))
        self._tail_watch = TailWatch(ledger, events)

    async def apply(self, now: float) -> None:
        """Decide by the newest figures, and tell the runner what has changed.

        :param now: when they were listed, seconds of the boot clock.
        """
        self._forget_contradicted(now)
        before = self._pacer.paces
        paces = self._pacer.decide(
            self._list_tails(), self._count_fills(), self._find_press, now
        )
        changed = {
            image: percent
            for image, percent in paces.items()
            if percent != before.get(image)
        }
        if changed:
            self._events.emit("pace.changed", paces=changed)
        self._tail_watch.note(self._pacer, now)
        for key, history in list(self._ledger.figures.histories.items()):
            percent = paces[self._ledger.run_specs[key].image]
            if history.newest != percent:
                history.note(percent, now)
                await curio.spawn(self._pace, key, percent, daemon=True)

    def _forget_contradicted(self, now: float) -> None:
        """Forget paces that the runner can't have, so that they are told again.

        A call that got no answer may be carried out late, after a newer one.
        """
        ledger = self._ledger
        for key, history in ledger.figures.histories.items():
            used_milli = ledger.running[key].figure
            asked_milli = ledger.run_specs[key].cpu_milli
            if not asked_milli or history.allows(used_milli / asked_milli, now):
                continue
            self._events.emit(
                "pace.contradicted",
                task=key[0],
                run=key[1],
                percent=history.newest,
                used_milli=used_milli,
                asked_milli=asked_milli,
            )
            ledger.figures.histories[key] = PaceHistory(now, fresh=False)

    def _list_tails(self) -> list[ServingTail]:
        tails = []
        for key, running in self._ledger.running.items():
            described = self._ledger.run_specs.get(key)
            if described is not None and described.serves_ms:
                tails.append(
                    ServingTail(
                        described.task,
                        described.image,
                        running.figure,
                        self._ledger.figures.listed_tails[key],
                        described.serves_ms,
                    )
                )
        return tails

    def _count_fills(self) -> dict[str, FillingLoad]:
        loads: dict[str, FillingLoad] = {}
        for key, history in self._ledger.figures.histories.items():
            described = self._ledger.run_specs[key]
            running = self._ledger.running[key]
            load = loads.setdefault(described.image, FillingLoad())
            load.count += 1
            load.standing += history.newest == 0
            load.worked += compute_effort(
                running.worked_milli / 1000, running.figure, described.cpu_milli
            )
        return loads

    def _find_press(self, filling: str, serving: str) -> float:
        return self._ledger.presses.get((filling, serving), FIRST_PRESS)

    async def _pace(self, key: RunKey, percent: int) -> None:
        ledger = self._ledger
        task, run = key
        result = await self._runtime.pace(
            ledger.worker, ledger.authority.token, task, run, percent
        )
        if result is not CallResult.DONE:
            # What the runner does now is unknown; the next round tells it again.
            ledger.figures.histories.pop(key, None)
