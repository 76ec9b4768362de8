"""Logs how long serving tasks exceed their latency objective, and the reaction."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.figures import RunKey
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.scheduling.pacing import Pacer

# A shorter violation is a load peak, and is not logged.
REPORTED_S = 1.0
# Interval of the log lines while a violation lasts.
REPEAT_S = 1.0


@dataclass(slots=True)
class LatencyViolation:
    """A period in which a serving task exceeds its latency objective.

    :ivar aim_ms: the tail latency that the task must keep, milliseconds.
    :ivar since: when the period began, seconds of the agent's clock.
    :ivar reported_at: when the last line was logged, 0 before the first.
    :ivar worst_ms: the highest listed tail latency, milliseconds.
    """

    aim_ms: int
    since: float
    reported_at: float = 0.0
    worst_ms: int = 0


@dataclass(slots=True)
class TailWatch:
    """Logs violations of the latency objectives of serving tasks.

    A violation ends with the first listed tail latency within the objective. Listed
    tails are smoother than the ones computed from them, so noise ends fewer violations
    early.
    """

    ledger: AgentLedger
    events: EventLog
    violations: dict[RunKey, LatencyViolation] = field(default_factory=dict)

    def update(self, pacer: Pacer, now: float) -> None:
        """Compare the newest listed tail latencies with their objectives.

        :param pacer: the pacer that has just decided the paces.
        :param now: seconds of the agent's clock.
        """
        listed = self.ledger.figures.listed_tails
        for key, violation in list(self.violations.items()):
            if listed.get(key, 0) <= violation.aim_ms:
                del self.violations[key]
                self._end(key, violation, now)
        for key, tail_ms in listed.items():
            aim_ms = self.ledger.run_specs[key].serves_ms
            if tail_ms <= aim_ms:
                continue
            violation = self.violations.setdefault(key, LatencyViolation(aim_ms, now))
            violation.worst_ms = max(violation.worst_ms, tail_ms)
            long_enough = now - violation.since >= REPORTED_S
            if long_enough and now - violation.reported_at >= REPEAT_S:
                violation.reported_at = now
                self._report(key, violation, pacer, now)

    def _report(
        self, key: RunKey, violation: LatencyViolation, pacer: Pacer, now: float
    ) -> None:
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
            over_ms=int((now - violation.since) * 1000),
            counted_ms=int(counted_s * 1000),
            own_fault=order.task in pacer.guard.own_faults,
            fills=self._describe_fills(order.image, pacer.paces),
        )

    def _end(self, key: RunKey, violation: LatencyViolation, now: float) -> None:
        if not violation.reported_at:
            return
        self.events.emit(
            "tail.within",
            task=key[0],
            run=key[1],
            worst_ms=violation.worst_ms,
            over_ms=int((now - violation.since) * 1000),
        )

    def _describe_fills(
        self, serving: str, paces: Mapping[str, int]
    ) -> dict[str, dict[str, Any]]:
        """Return runs, pace, use and interference of each filling image."""
        ledger = self.ledger
        described: dict[str, dict[str, Any]] = {}
        for key in ledger.figures.histories:
            image = ledger.run_specs[key].image
            summary = described.setdefault(
                image,
                {
                    "runs": 0,
                    "percent": paces.get(image),
                    "used_milli": 0,
                    "asked_milli": 0,
                    "press": ledger.presses.get((image, serving)),
                },
            )
            summary["runs"] += 1
            summary["used_milli"] += ledger.running[key].figure
            summary["asked_milli"] += ledger.run_specs[key].cpu_milli
        return described
