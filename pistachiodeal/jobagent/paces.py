"""Limits the pace of filling tasks to protect the serving tasks beside them."""

from __future__ import annotations

import curio

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.tail_watch import TailWatch
from pistachiodeal.jobs.runtime import CallResult, Runtime
from pistachiodeal.scheduling.interference import (
    DEFAULT_INTERFERENCE,
    compute_intensity,
)
from pistachiodeal.scheduling.pacing import (
    FillingLoad,
    Pacer,
)
from pistachiodeal.scheduling.tail_guard import TailGuard, compute_guard_delay_s
from pistachiodeal.scheduling.tails import PaceHistory, ServingTail


class PaceController:
    """Applies a pace to the filling tasks of each image.

    :param interference_s: how long a serving task may exceed its latency objective,
        seconds.
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
        self._pacer = Pacer(TailGuard(compute_guard_delay_s(interference_s)))
        self._tail_watch = TailWatch(ledger, events)

    async def apply(self, now: float) -> None:
        """Decide the paces by the newest figures, and send those that have changed.

        :param now: when the figures were listed, seconds of the boot clock.
        """
        self._reset_contradicted(now)
        before = self._pacer.paces
        paces = self._pacer.decide(
            self._list_tails(), self._measure_loads(), self._find_interference, now
        )
        changed = {
            image: percent
            for image, percent in paces.items()
            if percent != before.get(image)
        }
        if changed:
            self._events.emit("pace.changed", paces=changed)
        self._tail_watch.update(self._pacer, now)
        for key, history in list(self._ledger.figures.histories.items()):
            percent = paces[self._ledger.run_specs[key].image]
            if history.newest != percent:
                history.note(percent, now)
                await curio.spawn(self._pace, key, percent, daemon=True)

    def _reset_contradicted(self, now: float) -> None:
        """Reset paces that measured use contradicts, so that they are sent again.

        A call that got no answer may take effect late, after a newer one.
        """
        ledger = self._ledger
        for key, history in ledger.figures.histories.items():
            used_milli = ledger.running[key].figure
            asked_milli = ledger.run_specs[key].cpu_milli
            if not asked_milli or history.is_consistent(used_milli / asked_milli, now):
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

    def _measure_loads(self) -> dict[str, FillingLoad]:
        loads: dict[str, FillingLoad] = {}
        for key, history in self._ledger.figures.histories.items():
            described = self._ledger.run_specs[key]
            running = self._ledger.running[key]
            load = loads.setdefault(described.image, FillingLoad())
            load.count += 1
            load.paused += history.newest == 0
            load.active += compute_intensity(
                running.worked_milli / 1000, running.figure, described.cpu_milli
            )
        return loads

    def _find_interference(self, filling: str, serving: str) -> float:
        return self._ledger.presses.get((filling, serving), DEFAULT_INTERFERENCE)

    async def _pace(self, key: RunKey, percent: int) -> None:
        ledger = self._ledger
        task, run = key
        result = await self._runtime.pace(
            ledger.worker, ledger.authority.token, task, run, percent
        )
        if result is not CallResult.DONE:
            # The pace of the run is unknown now; the next round sends it again.
            ledger.figures.histories.pop(key, None)
