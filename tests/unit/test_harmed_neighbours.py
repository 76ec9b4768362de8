"""Serving tasks that filling work keeps over their aim."""

from __future__ import annotations

import random

import curio
import pytest

from pistachiodeal.scheduling.pacing import FillingLoad, Pacer
from pistachiodeal.scheduling.tail_guard import TailGuard
from pistachiodeal.scheduling.tails import ServingTail
from tests.standins.paced_fleet import (
    FleetFaults,
    PacedFleet,
    draw_estimates,
    draw_loads,
)
from tests.standins.paced_worker import (
    LISTING_INTERVAL_S,
    STEP_S,
    PacedWorker,
    ServingTask,
)

INTERFERENCE_S = 4.0
PAIR = ("filling", "serving")
# Of the load that keeps a serving task 5% over its aim.
JUST_TOO_MUCH = 0.36


class Play:
    """One worker with a serving task whose load doesn't swing, and others of its image.

    :param load: that a filling task puts on each of them.
    :param press: what it is believed to take from their slack.
    """

    def __init__(
        self, seed: int, load: float, press: float, *others: ServingTask
    ) -> None:
        self.now = 100.0
        self.serving = ServingTask("serving", 0.0, load_amplitude=0.0)
        self.worker = PacedWorker(
            [self.serving, *others], {PAIR: load}, random.Random(seed), INTERFERENCE_S
        )
        self.worker.ledger.presses[PAIR] = press

    async def advance(self, length_s: float) -> None:
        """Let time pass."""
        until = self.now + length_s
        while self.now < until:
            self.now += STEP_S
            self.worker.advance(self.now)
            if self.now >= self.worker.next_listing:
                await self.worker.list(self.now)


def test_work_that_has_just_come_is_not_overlooked():
    """Guards against a serving task taken for slow by itself beside new work."""

    async def main() -> None:
        for number in range(10):
            play = Play(number, load=0.5, press=0.0)
            await play.advance(2.0 + number * LISTING_INTERVAL_S / 10)
            for _ in range(3):
                play.worker.start_filling("filling", 60.0, play.now, pinned=True)
            await play.advance(8.0)
            assert play.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_one_figure_within_the_aim_does_not_restart_the_guard():
    """Guards against a serving task just over its aim whose neighbours never stand."""

    async def main() -> None:
        for number in range(60):
            play = Play(number, load=JUST_TOO_MUCH, press=0.0)
            filling = play.worker.start_filling(
                "filling", 1_000.0, play.now, pinned=True
            )
            filling.phase_until = float("inf")
            await play.advance(60.0)
            assert play.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_pace_that_the_runner_does_not_have_is_told_again():
    """Guards against work that goes on at a pace from an order carried out late."""

    async def main() -> None:
        play = Play(1, load=0.5, press=100.0)
        filling = play.worker.start_filling("filling", 60.0, play.now, pinned=True)
        await play.advance(6.0)
        assert filling.percent == 0
        filling.due.append((play.now, 100))
        await play.advance(12.0)
        assert play.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_tail_that_is_still_coming_down_proves_nothing():
    """Guards against a serving task taken for slow by itself by a late figure."""
    guard = TailGuard(guard_s=1.8)

    def judge(strain: float, at_work: bool, now: float) -> bool:
        tail_ms = int(strain * 1_000)
        tail = ServingTail("t", "serving", tail_ms, tail_ms, 1_000)
        return guard.judge([tail], at_work, now)

    assert [judge(6.0, True, 10.0 + 0.5 * beat) for beat in range(5)][-1]
    for strain, now in ((6.0, 12.5), (3.0, 13.0), (1.6, 13.5)):
        assert judge(strain, False, now)
    assert not guard.own_faults
    assert not judge(0.8, False, 14.0)


def test_a_task_over_its_aim_with_nobody_beside_it_is_slow_by_itself():
    """Guards against filling work that stands for good beside a broken task."""
    guard = TailGuard(guard_s=1.8)
    tail = ServingTail("t", "serving", 20_000, 20_000, 1_000)
    stands = [guard.judge([tail], False, 10.0 + 0.5 * beat) for beat in range(4)]
    assert guard.own_faults == {"t"}
    assert not stands[-1]
    # It may have been harmed since then: its neighbours have to prove it again.
    assert [guard.judge([tail], True, 12.0 + 0.5 * beat) for beat in range(5)][-1]
    assert not guard.own_faults


def test_a_task_that_has_left_keeps_nobody_standing():
    """Guards against filling work that stands for a serving task that has left."""
    guard = TailGuard(guard_s=1.8)
    tail = ServingTail("t", "serving", 2_000, 2_000, 1_000)
    assert [guard.judge([tail], True, 10.0 + 0.5 * beat) for beat in range(5)][-1]
    assert not guard.judge([], False, 12.5)


def test_filling_work_goes_on_beside_a_broken_task():
    """Guards against a broken serving task that costs its worker all filling work."""

    async def main() -> None:
        play = Play(1, 0.0, 0.0)
        play.serving.slow_until = float("inf")
        play.worker.start_filling("filling", 60.0, play.now, pinned=True)
        await play.advance(30.0)
        assert play.worker.done_s > 10.0

    curio.run(main)


def test_a_calm_task_does_not_hide_another_of_its_image():
    """Guards against a clock that the sibling of a harmed task sets back."""

    async def main() -> None:
        calm = ServingTask("serving", 0.0, load=0.1, load_amplitude=0.0)
        play = Play(1, 0.4, 0.0, calm)
        play.worker.start_filling("filling", 60.0, play.now, pinned=True)
        await play.advance(30.0)
        assert play.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_broken_task_does_not_hide_another_of_its_image():
    """Guards against a harmed task that counts as slow by itself with its sibling."""

    def decide(now: float, harmed_ms: int, standing: int) -> int:
        tails = [
            ServingTail("broken", "serving", 20_000, 20_000, 1_000),
            ServingTail("harmed", "serving", harmed_ms, harmed_ms, 1_000),
        ]
        fills = {"filling": FillingLoad(1, 1.0 - standing, standing)}
        return pacer.decide(tails, fills, lambda *_: 1.0, now)["filling"]

    pacer = Pacer()
    for beat in range(8):
        decide(10.0 + 0.5 * beat, 500, 1)
    assert pacer.guard.own_faults == {"broken"}
    assert decide(14.0, 1_500, 0) < 50


@pytest.mark.parametrize("late", [0.0, 0.05])
@pytest.mark.parametrize("wrong", [None, 0.4])
def test_neighbours_keep_no_serving_task_over_its_aim_for_long(
    wrong: float | None, late: float
):
    """Guards against harm by figures that are late and off, and by wrong beliefs."""
    for seed in range(4):
        rng = random.Random(seed)
        loads = draw_loads(rng)
        estimates = None if wrong is None else draw_estimates(loads, rng, wrong)
        fleet = PacedFleet(
            seed,
            loads=loads,
            estimates=estimates,
            interference_s=INTERFERENCE_S,
            faults=FleetFaults(late=late),
        )
        curio.run(fleet.simulate, 40.0)
        assert fleet.longest_over_s < INTERFERENCE_S


def test_work_that_goes_on_while_it_should_stand_is_noticed():
    """Guards against a proof of an own fault while a late pace is in force."""

    async def main() -> None:
        play = Play(1, load=0.5, press=0.0)
        filling = play.worker.start_filling("filling", 60.0, play.now, pinned=True)
        while not any(percent == 0 for _, percent in filling.due):
            await play.advance(STEP_S)
        filling.phase_until = float("inf")
        # Carried out late, and just after the order to stand.
        filling.due.append((filling.due[-1][0], 100))
        await play.advance(12.0)
        assert play.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)
