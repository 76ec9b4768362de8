"""Logs how long serving tasks are over their aim, and what was done about it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.scheduling.pacing import Pacer

# A shorter time over the aim is a peak of the load, and leaves no line.
REPORTED_S = 1.0
# While it lasts, a line this often.
REPEAT_S = 1.0


@dataclass(slots=True)
class OverAim:
    """One stretch of time in which a serving task is over its aim.

    :ivar aim_ms: the tail that the task must keep.
    :ivar since: when it began, seconds of the agent's clock.
    :ivar reported_at: when the last line was written, 0 before the first.
    :ivar worst_ms: the highest listed tail.
    """

    aim_ms: int
    since: float
    reported_at: float = 0.0
    worst_ms: int = 0


@dataclass(slots=True)
class TailWatch:
    """Writes the lines about serving tasks over their aim.

    A stretch ends with the first listed tail within the aim. Listed tails are smoother
    than those worked out from them, so noise ends fewer of them too soon.
    """

    ledger: AgentLedger
    events: EventLog
    over: dict[RunKey, OverAim] = field(default_factory=dict)

    def note(self, pacer: Pacer, now: float) -> None:
        """Set the newest listed tails against their aims.

        :param pacer: what has just decided the paces.
        :param now: seconds of the agent's clock.
        """
        listed = self.ledger.figures.listed_tails
        for key, stretch in list(self.over.items()):
            if listed.get(key, 0) <= stretch.aim_ms:
                del self.over[key]
                self._end(key, stretch, now)
        for key, tail_ms in listed.items():
            aim_ms = self.ledger.run_specs[key].serves_ms
            if tail_ms <= aim_ms:
                continue
            stretch = self.over.setdefault(key, OverAim(aim_ms, now))
            stretch.worst_ms = max(stretch.worst_ms, tail_ms)
            long_enough = now - stretch.since >= REPORTED_S
            if long_enough and now - stretch.reported_at >= REPEAT_S:
                stretch.reported_at = now
                self._report(key, stretch, pacer, now)

    def _report(self, key: RunKey, stretch: OverAim, pacer: Pacer, now: float) -> None:
        ledger = self.ledger
        order = ledger.run_specs[key]
        counted_s = now - pacer.guard.over_since.get(order.task, now)
        self.events.emit(
            "tail.over",
            task=order.task,
            run=order.run,
            image=order.image,
            aim_ms=order.serves_ms,
            listed_ms=ledger.figures.listed_tails[key],
            tail_ms=ledger.running[key].figure,
            over_ms=int((now - stretch.since) * 1000),
            counted_ms=int(counted_s * 1000),
            own_fault=order.task in pacer.guard.own_faults,
            fills=self._describe_fills(order.image, pacer.paces),
        )

    def _end(self, key: RunKey, stretch: OverAim, now: float) -> None:
        if not stretch.reported_at:
            return
        self.events.emit(
            "tail.within",
            task=key[0],
            run=key[1],
            worst_ms=stretch.worst_ms,
            over_ms=int((now - stretch.since) * 1000),
        )

    def _describe_fills(
        self, serving: str, paces: Mapping[str, int]
    ) -> dict[str, dict[str, Any]]:
        """Return the filling work beside a serving image: told, seen and believed."""
        ledger = self.ledger
        described: dict[str, dict[str, Any]] = {}
        for key in ledger.figures.histories:
            image = ledger.run_specs[key].image
            one = described.setdefault(
                image,
                {
                    "runs": 0,
                    "percent": paces.get(image),
                    "used_milli": 0,
                    "asked_milli": 0,
                    "press": ledger.presses.get((image, serving)),
                },
            )
            one["runs"] += 1
            one["used_milli"] += ledger.running[key].figure
            one["asked_milli"] += ledger.run_specs[key].cpu_milli
        return described
