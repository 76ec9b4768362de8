"""Paces of filling tasks under simulated loads."""

from __future__ import annotations

import math
import random

from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.scheduling.pacing import FillingLoad, Pacer, allocate_slack
from pistachiodeal.scheduling.tails import PaceHistory, ServingTail, TailFilter
from tests.unit.test_scheduling_load import compute_serving_load


class SimulatedWorker:
    """A serving task with a varying load beside three filling images.

    Its runner lists a smoothed tail latency with 8% of noise.
    """

    ADDED_LOADS = {"mild": 0.0, "light": 0.06, "harsh": 0.2}

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.phase = self.rng.uniform(0, 14)
        self.now = 0.0
        self.figure = self.listed = 0.3
        self.paces = dict.fromkeys(self.ADDED_LOADS, 100)
        self.histories = {image: PaceHistory(0.0) for image in self.ADDED_LOADS}
        self.tails = TailFilter()
        self.sampled_at = 0.0
        self.done = self.over = 0.0

    def work(self, span_s: float) -> None:
        """Advance the simulation."""
        until = self.now + span_s
        while self.now < until:
            self.now += 0.02
            worked = {
                image: history.average(self.now - 0.02, self.now)
                for image, history in self.histories.items()
            }
            load = compute_serving_load(self.now + self.phase)
            load += sum(self.ADDED_LOADS[image] * worked[image] for image in worked)
            latency_ratio = 0.2 / max(0.02, 1 - load)
            self.figure += (latency_ratio - self.figure) * (1 - math.exp(-0.02 / 0.5))
            self.over += 0.02 * (latency_ratio > 1.0)
            self.done += 0.02 * sum(worked.values())

    def sample(self) -> tuple[float, dict[str, float]]:
        """Return the latency ratio, and the filling load beside the task by image."""
        self.listed = self.figure * self.rng.uniform(0.92, 1.08)
        latency_ratio = self.tails.estimate(self.listed, self.now)
        worked = {
            image: history.average(self.sampled_at, self.now)
            for image, history in self.histories.items()
        }
        self.sampled_at = self.now
        return latency_ratio, worked

    def set_paces(self, paces: dict[str, int]) -> None:
        """Apply the paces."""
        for image, percent in paces.items():
            if percent != self.histories[image].newest:
                self.histories[image].note(percent, self.now)


def simulate_pacing(*, by_image: bool) -> tuple[float, float]:
    """Return the shares of filling work done and of time over the objective."""
    done = over = 0.0
    for seed in range(12):
        worker = SimulatedWorker(seed)
        pacer = Pacer()
        while worker.now < 60.0:
            worker.work(0.4)
            latency_ratio, worked = worker.sample()
            tail_ms, listed_ms = int(latency_ratio * 1000), int(worker.listed * 1000)
            tails = [ServingTail("t", "s", tail_ms, listed_ms, 1000)]
            if by_image:
                fills = {
                    image: FillingLoad(1, worked[image], int(history.newest == 0))
                    for image, history in worker.histories.items()
                }
                paces = pacer.decide(
                    tails, fills, find_simulated_interference, worker.now
                )
            else:
                whole = {"all": FillingLoad(3, sum(worked.values()))}
                pace = pacer.decide(tails, whole, lambda *_: 0.43, worker.now)["all"]
                paces = dict.fromkeys(worked, pace)
            worker.set_paces(paces)
        done += worker.done / 180.0 / 12
        over += worker.over / 60.0 / 12
    return done, over


def find_simulated_interference(filling: str, _: str) -> float:
    """Return the estimate for a pair, which is a quarter too high."""
    return SimulatedWorker.ADDED_LOADS[filling] * 5 * 1.25


def test_paces_by_image_keep_the_objective_and_slow_only_interfering_images():
    """Load: serving tasks with varying load, beside harmful and harmless images.

    One pace for all images, as a worker had before, slows the harmless ones as well.
    """
    done, over = simulate_pacing(by_image=True)
    done_with_one_pace, _ = simulate_pacing(by_image=False)
    assert over < 0.03
    assert done > 0.7
    assert done > done_with_one_pace + 0.05


def test_the_current_tail_is_estimated_from_smoothed_figures():
    """Guards against smoothed figures that are used as the current tail latency.

    A neighbour stops, and the figure halves only every 0.3 s, for 1.3 s. Filling tasks
    were then blamed or slowed for a tail latency that was already normal.
    """
    tails = TailFilter()
    figure, now = 5.1, 1.0
    tails.estimate(figure, now)
    for _ in range(3):
        now += 0.3
        figure += (0.6 - figure) * (1 - math.exp(-0.3 / 0.5))
        estimate = tails.estimate(figure, now)
    assert figure > 1.0
    assert abs(estimate - 0.6) < 0.1


def test_an_image_with_a_small_rough_estimate_runs_on_at_load_peaks():
    """Guards against harmless filling tasks that are paused at each load peak."""
    model = InterferenceModel()
    model.adopt(
        (PairEstimate("mild", "s", 0.28, 0.04), PairEstimate("harsh", "s", 0.9, 0.04))
    )
    tails = [ServingTail("t", "s", 72, 72, 100)]
    fills = {"mild": FillingLoad(6, 0.0), "harsh": FillingLoad(1, 0.0)}
    paces = allocate_slack(tails, fills, model.get_interference)
    assert paces == {"mild": 100, "harsh": 0}


def test_harmless_tasks_run_on_at_a_neighbours_load_peak():
    """Guards against filling tasks that are paused for their neighbour's own load."""
    pacer = Pacer()
    for beat in range(8):
        paces = pacer.decide(
            [ServingTail("t", "s", 970, 970, 1_000)],
            {"calm": FillingLoad(4, 4.0)},
            lambda *_: 0.0,
            10.0 + 0.4 * beat,
        )
        assert paces == {"calm": 100}


def test_a_serving_task_over_its_objective_pauses_all_filling_tasks():
    """Load: a filling image is estimated to be harmless and is not.

    Because of that estimate it is not suspected, but it is paused after two seconds in
    any case. An image that may interfere is suspected immediately.
    """
    suspected = Pacer().decide(
        [ServingTail("t", "s", 1_050, 1_050, 1_000)],
        {"f": FillingLoad(1, 1.0)},
        lambda *_: 0.34,
        10.0,
    )
    assert suspected["f"] < 50
    pacer = Pacer()
    paces = []
    for beat in range(8):
        paces.append(
            pacer.decide(
                [ServingTail("t", "s", 1_050, 1_050, 1_000)],
                {"f": FillingLoad(1, 1.0)},
                lambda *_: 0.0,
                10.0 + 0.4 * beat,
            )["f"]
        )
    assert paces[0] == 100
    assert paces[-1] == 0


def test_a_harmless_image_is_not_suspected_beside_a_harmful_one():
    """Guards against harmless tasks that get 0.6 of their speed beside serving tasks.

    A harmful image raises a tail latency over its objective. When all images beside the
    serving task were suspected, all of them were slowed for seconds.
    """
    pacer = Pacer()
    interference = {"calm": 0.0, "harsh": 1.2}

    def decide(
        latency_ratio: float, harsh_at_work: float, now: float
    ) -> dict[str, int]:
        fills = {"calm": FillingLoad(2, 2.0), "harsh": FillingLoad(1, harsh_at_work)}
        tail_ms = int(latency_ratio * 1_000)
        tails = [ServingTail("t", "s", tail_ms, tail_ms, 1_000)]
        return pacer.decide(tails, fills, lambda filling, _: interference[filling], now)

    assert decide(1.2, 1.0, 10.0)["calm"] == 100
    paces = decide(0.9, 0.0, 10.4)
    assert paces == {"calm": 100, "harsh": 0}


def test_a_serving_task_that_is_slow_by_itself_slows_no_neighbour():
    """Load: a serving task stalls for seconds, regardless of its neighbours."""
    pacer = Pacer()
    worked = 1.0
    paces = {}
    for beat in range(20):
        fills = {"f": FillingLoad(1, worked, int(not worked))}
        tails = [ServingTail("t", "s", 20_000, 20_000, 50)]
        paces = pacer.decide(tails, fills, lambda *_: 0.0, 10.0 + 0.4 * beat)
        worked = paces["f"] / 100
    full = [paces["f"]]
    for beat in range(12):
        fills = {"f": FillingLoad(1, worked, int(not worked))}
        paces = pacer.decide(
            [ServingTail("t", "s", 20_000, 20_000, 50)],
            fills,
            lambda *_: 0.0,
            18.0 + 0.4 * beat,
        )
        worked = paces["f"] / 100
        full.append(paces["f"])
    assert max(full) > 50
