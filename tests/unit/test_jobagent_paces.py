"""Tests of the paces of filling tasks that an agent sends to its runner."""

from __future__ import annotations

from math import exp

import curio

from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.scheduling.tails import SMOOTHING_S, PaceHistory
from pistachiodeal.wire.job_messages import RunningTask, RunOrder
from tests.standins.job_cluster import create_quiet_log

TASK = "0000000000000001.0.0.0"


class FakeRuntime:
    """Records paces."""

    def __init__(self) -> None:
        self.paces: list[int] = []

    async def pace(self, worker, token, task, run, percent) -> CallResult:
        self.paces.append(percent)
        return CallResult.DONE


def apply_first_listing(*, ordered: bool) -> list[int]:
    """Return the paces sent after an agent's first listing of a filling task."""
    ledger = AgentLedger(create_quiet_log())
    runtime = FakeRuntime()
    ledger.run_specs[TASK, 1] = RunOrder(TASK, 1, "", "", True, 0, "filling")
    if ordered:
        ledger.orders[TASK, 1] = Order(TASK, 1)
    running = (RunningTask(TASK, 1, "", 10, 500),)
    ledger.apply_listing(Listing(CallResult.DONE, 1_000, running), 1.0, 1.0)

    async def main() -> None:
        await PaceController(ledger, runtime, create_quiet_log(), 4.0).apply(1.0)
        await curio.sleep(0.01)

    curio.run(main)
    return runtime.paces


def test_a_restarted_agent_sends_the_pace_of_runs_that_it_finds():
    """Guards against a filling task that never makes progress.

    Its agent sets its pace to zero and is killed. The next agent decides on full speed,
    and sends nothing, as it assumes that a run it first lists is at full speed.
    """
    assert apply_first_listing(ordered=False) == [100]


def test_no_pace_is_sent_for_a_run_that_has_just_started():
    """A run starts at full speed; a call for each start would double the calls."""
    assert apply_first_listing(ordered=True) == []


def test_use_beyond_a_pace_shows_that_the_runner_does_not_have_it():
    """Guards against a task that runs while its agent assumes that it is stopped."""
    history = PaceHistory(10.0)
    history.note(0, 10.0)
    assert not history.is_consistent(0.9, 12.0)
    assert history.is_consistent(0.1, 12.0)


def test_a_figure_from_before_a_pace_contradicts_nothing():
    """Guards against paces that are sent again because a figure is older."""
    history = PaceHistory(10.0)
    history.note(0, 10.0)
    for late_s in (0.0, 0.1, 0.3, 0.45):
        assert history.is_consistent(1.05, 10.0 + late_s)


def test_a_figure_that_decays_after_a_task_is_stopped_contradicts_nothing():
    """Guards against paces that are sent again at each listing."""
    history = PaceHistory(10.0)
    history.note(0, 10.0)
    for beat in range(10):
        now = 10.1 + 0.3 * beat
        assert history.is_consistent(1.08 * exp(-0.3 * beat / SMOOTHING_S), now)
