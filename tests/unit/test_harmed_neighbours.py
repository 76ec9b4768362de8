"""Serving tasks that filling tasks keep over their latency objective."""

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
# Load of a filling task that keeps a serving task 5% over its objective.
SLIGHT_OVERLOAD = 0.36


class Simulation:
    """One worker with a serving task of constant load, and others of its image.

    :param load: load that a filling task adds to each of them.
    :param interference: estimate of the slack that it takes from them.
    """

    def __init__(
        self, seed: int, load: float, interference: float, *others: ServingTask
    ) -> None:
        self.now = 100.0
        self.serving = ServingTask("serving", 0.0, load_amplitude=0.0)
        self.worker = PacedWorker(
            [self.serving, *others], {PAIR: load}, random.Random(seed), INTERFERENCE_S
        )
        self.worker.ledger.presses[PAIR] = interference

    async def advance(self, length_s: float) -> None:
        """Advance the simulation."""
        until = self.now + length_s
        while self.now < until:
            self.now += STEP_S
            self.worker.advance(self.now)
            if self.now >= self.worker.next_listing:
                await self.worker.list(self.now)


def test_filling_tasks_that_have_just_started_count_as_running():
    """Guards against a serving task that counts as slow by itself beside new tasks."""

    async def main() -> None:
        for number in range(10):
            simulation = Simulation(number, load=0.5, interference=0.0)
            await simulation.advance(2.0 + number * LISTING_INTERVAL_S / 10)
            for _ in range(3):
                simulation.worker.start_filling(
                    "filling", 60.0, simulation.now, pinned=True
                )
            await simulation.advance(8.0)
            assert simulation.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_one_sample_within_the_objective_does_not_restart_the_guard():
    """Guards against neighbours that are never paused beside a slight overload."""

    async def main() -> None:
        for number in range(60):
            simulation = Simulation(number, load=SLIGHT_OVERLOAD, interference=0.0)
            filling = simulation.worker.start_filling(
                "filling", 1_000.0, simulation.now, pinned=True
            )
            filling.phase_until = float("inf")
            await simulation.advance(60.0)
            assert simulation.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_pace_that_the_runner_does_not_have_is_sent_again():
    """Guards against a task that keeps a pace from an order carried out late."""

    async def main() -> None:
        simulation = Simulation(1, load=0.5, interference=100.0)
        filling = simulation.worker.start_filling(
            "filling", 60.0, simulation.now, pinned=True
        )
        await simulation.advance(6.0)
        assert filling.percent == 0
        filling.due.append((simulation.now, 100))
        await simulation.advance(12.0)
        assert simulation.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_tail_that_is_still_falling_is_no_proof_of_an_own_fault():
    """Guards against a serving task that a late sample marks as slow by itself."""
    guard = TailGuard(guard_delay_s=1.8)

    def update(latency_ratio: float, at_work: bool, now: float) -> bool:
        tail_ms = int(latency_ratio * 1_000)
        tail = ServingTail("t", "serving", tail_ms, tail_ms, 1_000)
        return guard.update([tail], at_work, now)

    assert [update(6.0, True, 10.0 + 0.5 * beat) for beat in range(5)][-1]
    for latency_ratio, now in ((6.0, 12.5), (3.0, 13.0), (1.6, 13.5)):
        assert update(latency_ratio, False, now)
    assert not guard.own_faults
    assert not update(0.8, False, 14.0)


def test_a_task_over_its_objective_without_neighbours_is_slow_by_itself():
    """Guards against filling tasks that stay paused for ever beside a broken task."""
    guard = TailGuard(guard_delay_s=1.8)
    tail = ServingTail("t", "serving", 20_000, 20_000, 1_000)
    paused = [guard.update([tail], False, 10.0 + 0.5 * beat) for beat in range(4)]
    assert guard.own_faults == {"t"}
    assert not paused[-1]
    # Neighbours may slow it since then, so the proof has to be repeated.
    assert [guard.update([tail], True, 12.0 + 0.5 * beat) for beat in range(5)][-1]
    assert not guard.own_faults


def test_a_task_that_has_left_keeps_no_neighbour_paused():
    """Guards against filling tasks that stay paused for a task that has left."""
    guard = TailGuard(guard_delay_s=1.8)
    tail = ServingTail("t", "serving", 2_000, 2_000, 1_000)
    assert [guard.update([tail], True, 10.0 + 0.5 * beat) for beat in range(5)][-1]
    assert not guard.update([], False, 12.5)


def test_filling_tasks_run_on_beside_a_broken_task():
    """Guards against a broken serving task that stops all filling tasks on a worker."""

    async def main() -> None:
        simulation = Simulation(1, 0.0, 0.0)
        simulation.serving.slow_until = float("inf")
        simulation.worker.start_filling("filling", 60.0, simulation.now, pinned=True)
        await simulation.advance(30.0)
        assert simulation.worker.done_s > 10.0

    curio.run(main)


def test_a_fast_task_does_not_hide_a_slow_one_of_its_image():
    """Guards against a guard timer that the sibling of a slow task resets."""

    async def main() -> None:
        calm = ServingTask("serving", 0.0, load=0.1, load_amplitude=0.0)
        simulation = Simulation(1, 0.4, 0.0, calm)
        simulation.worker.start_filling("filling", 60.0, simulation.now, pinned=True)
        await simulation.advance(30.0)
        assert simulation.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)


def test_a_broken_task_does_not_hide_another_of_its_image():
    """Guards against a slowed task that counts as slow by itself like its sibling."""

    def decide(now: float, harmed_ms: int, paused: int) -> int:
        tails = [
            ServingTail("broken", "serving", 20_000, 20_000, 1_000),
            ServingTail("harmed", "serving", harmed_ms, harmed_ms, 1_000),
        ]
        fills = {"filling": FillingLoad(1, 1.0 - paused, paused)}
        return pacer.decide(tails, fills, lambda *_: 1.0, now)["filling"]

    pacer = Pacer()
    for beat in range(8):
        decide(10.0 + 0.5 * beat, 500, 1)
    assert pacer.guard.own_faults == {"broken"}
    assert decide(14.0, 1_500, 0) < 50


@pytest.mark.parametrize("late", [0.0, 0.05])
@pytest.mark.parametrize("wrong", [None, 0.4])
def test_neighbours_keep_no_serving_task_over_its_objective_for_long(
    wrong: float | None, late: float
):
    """Guards against interference due to late and noisy samples or wrong estimates."""
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


def test_a_task_that_runs_on_while_it_should_be_paused_is_detected():
    """Guards against a proof of an own fault while a late pace is in force."""

    async def main() -> None:
        simulation = Simulation(1, load=0.5, interference=0.0)
        filling = simulation.worker.start_filling(
            "filling", 60.0, simulation.now, pinned=True
        )
        while not any(percent == 0 for _, percent in filling.due):
            await simulation.advance(STEP_S)
        filling.phase_until = float("inf")
        # Carried out late, just after the order to pause.
        filling.due.append((filling.due[-1][0], 100))
        await simulation.advance(12.0)
        assert simulation.serving.longest_over_s < INTERFERENCE_S

    curio.run(main)
