"""Tests of the log lines about serving tasks that exceed their objective."""

from __future__ import annotations

from typing import Any

import curio

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.wire.job_messages import RunningTask, RunOrder
from tests.standins.job_cluster import create_quiet_log

SERVING = "0000000000000001.0.0.0"
FILLING = "0000000000000002.0.0.0"


class RecordingLog(EventLog):
    """Records events with their fields."""

    def __init__(self) -> None:
        super().__init__(-1, "agent")
        self.events: list[tuple[str, dict[str, Any]]] = []

    def emit(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def find(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the events of one name."""
        return [fields for name, fields in self.events if name == event]


class FakeRuntime:
    """Accepts each pace."""

    async def pace(self, worker, token, task, run, percent) -> CallResult:
        return CallResult.DONE


def apply_listings(tails_ms: list[int], *, listed_s: float = 0.5) -> RecordingLog:
    """Return the log of an agent whose serving task lists these tail latencies.

    The objective is 50 ms. One filling task of an image with a press of 0 runs beside
    it.

    :param listed_s: time between two listings, seconds.
    """
    events = RecordingLog()
    ledger = AgentLedger(create_quiet_log())
    ledger.run_specs[SERVING, 1] = RunOrder(SERVING, 1, "", "", False, 50, "s")
    ledger.run_specs[FILLING, 1] = RunOrder(FILLING, 1, "", "", True, 0, "f", 2_000)
    ledger.presses["f", "s"] = 0.0
    controller = PaceController(ledger, FakeRuntime(), events, 4.0)

    async def main() -> None:
        for number, tail_ms in enumerate(tails_ms):
            now = 128.0 + listed_s * number
            running = (
                RunningTask(SERVING, 1, "", 100, tail_ms),
                RunningTask(FILLING, 1, "", 10, 1_900),
            )
            clock_ms = 1_000 + 400 * number
            ledger.apply_listing(Listing(CallResult.DONE, clock_ms, running), now, now)
            await controller.apply(now)

    curio.run(main)
    return events


def test_a_long_violation_is_logged_with_its_circumstances():
    """Guards against a serving task that is slow for seconds without a log line."""
    events = apply_listings([30, 60, 62, 61, 64, 63, 61, 30])
    first, *_ = events.find("tail.over")
    assert (first["task"], first["aim_ms"], first["listed_ms"]) == (SERVING, 50, 61)
    assert first["over_ms"] == 1_000
    assert first["counted_ms"] <= first["over_ms"]
    assert first["fills"]["f"]["used_milli"] == 1_900
    assert first["fills"]["f"]["press"] == 0.0
    assert first["fills"]["f"]["percent"] == 100
    (last,) = events.find("tail.within")
    assert (last["over_ms"], last["worst_ms"]) == (3_000, 64)


def test_a_load_peak_is_not_logged():
    """Guards against dozens of lines on a worker that meets its objectives."""
    events = apply_listings([30, 60, 30, 55, 51, 30] * 20)
    assert not events.find("tail.over")
    assert not events.find("tail.within")


def test_a_long_violation_is_logged_once_a_second():
    """Guards against a log line for each listing."""
    events = apply_listings([60] * 80, listed_s=0.125)
    assert 8 <= len(events.find("tail.over")) <= 10
