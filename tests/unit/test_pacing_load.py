"""Paces of filling work replayed on the loads that they answer."""

from __future__ import annotations

import math
import random

from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.scheduling.pacing import FillingLoad, Pacer, share_slack
from pistachiodeal.scheduling.tails import PaceHistory, ServingTail, TailFilter
from tests.unit.test_scheduling_load import swing


class PlayedWorker:
    """A serving task with a swinging load beside three filling images, 60 s long.

    Its runner lists a figure that follows the tail slowly, with 8% of noise.
    """

    PRESSES = {"mild": 0.0, "light": 0.06, "harsh": 0.2}

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.phase = self.rng.uniform(0, 14)
        self.now = 0.0
        self.figure = self.listed = 0.3
        self.paces = dict.fromkeys(self.PRESSES, 100)
        self.histories = {image: PaceHistory(0.0) for image in self.PRESSES}
        self.tails = TailFilter()
        self.sampled_at = 0.0
        self.done = self.over = 0.0

    def work(self, span_s: float) -> None:
        """Let time pass."""
        until = self.now + span_s
        while self.now < until:
            self.now += 0.02
            worked = {
                image: history.average(self.now - 0.02, self.now)
                for image, history in self.histories.items()
            }
            load = swing(self.now + self.phase)
            load += sum(self.PRESSES[image] * worked[image] for image in worked)
            strain = 0.2 / max(0.02, 1 - load)
            self.figure += (strain - self.figure) * (1 - math.exp(-0.02 / 0.5))
            self.over += 0.02 * (strain > 1.0)
            self.done += 0.02 * sum(worked.values())

    def sample(self) -> tuple[float, dict[str, float]]:
        """Return the tail as a share of its aim, and what worked beside it."""
        self.listed = self.figure * self.rng.uniform(0.92, 1.08)
        strain = self.tails.estimate(self.listed, self.now)
        worked = {
            image: history.average(self.sampled_at, self.now)
            for image, history in self.histories.items()
        }
        self.sampled_at = self.now
        return strain, worked

    def set_paces(self, paces: dict[str, int]) -> None:
        """Tell the runner the paces."""
        for image, percent in paces.items():
            if percent != self.histories[image].newest:
                self.histories[image].note(percent, self.now)


def play_pacing(*, by_image: bool) -> tuple[float, float]:
    """Return the shares of filling work done and of time over the aim, twelve times."""
    done = over = 0.0
    for seed in range(12):
        worker = PlayedWorker(seed)
        pacer = Pacer()
        while worker.now < 60.0:
            worker.work(0.4)
            strain, worked = worker.sample()
            tail_ms, listed_ms = int(strain * 1000), int(worker.listed * 1000)
            tails = [ServingTail("t", "s", tail_ms, listed_ms, 1000)]
            if by_image:
                fills = {
                    image: FillingLoad(1, worked[image], int(history.newest == 0))
                    for image, history in worker.histories.items()
                }
                paces = pacer.decide(tails, fills, find_played_press, worker.now)
            else:
                whole = {"all": FillingLoad(3, sum(worked.values()))}
                pace = pacer.decide(tails, whole, lambda *_: 0.43, worker.now)["all"]
                paces = dict.fromkeys(worked, pace)
            worker.set_paces(paces)
        done += worker.done / 180.0 / 12
        over += worker.over / 60.0 / 12
    return done, over


def find_played_press(filling: str, _: str) -> float:
    """Return what was learnt of a pair, a quarter too much."""
    return PlayedWorker.PRESSES[filling] * 5 * 1.25


def test_a_pace_by_image_keeps_the_aim_and_holds_back_only_who_disturbs():
    """The load: serving tasks that swing, beside work that harms and work that doesn't.

    One pace for all images, as a worker had before, holds the harmless ones back too.
    """
    done, over = play_pacing(by_image=True)
    done_as_one, _ = play_pacing(by_image=False)
    assert over < 0.03
    assert done > 0.7
    assert done > done_as_one + 0.05


def test_a_tail_is_worked_out_from_figures_that_lag():
    """Symptom: filling work was blamed for, or kept back by, a tail that was over.

    Sequence: a neighbour stops; the figure falls by half every 0.3 s, for 1.3 s.
    Cause: figures were taken for the tail of the moment.
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


def test_a_pair_that_is_learnt_roughly_works_on_at_the_peak():
    """Guards against harmless filling work that stands at each peak of the load."""
    model = InterferenceModel()
    model.adopt(
        (PairEstimate("mild", "s", 0.28, 0.04), PairEstimate("harsh", "s", 0.9, 0.04))
    )
    tails = [ServingTail("t", "s", 72, 72, 100)]
    fills = {"mild": FillingLoad(6, 0.0), "harsh": FillingLoad(1, 0.0)}
    paces = share_slack(tails, fills, model.get_interference)
    assert paces == {"mild": 100, "harsh": 0}


def test_harmless_work_goes_on_at_the_peak_of_a_neighbours_load():
    """Guards against filling work that stands for its neighbour's own load."""
    pacer = Pacer()
    for beat in range(8):
        paces = pacer.decide(
            [ServingTail("t", "s", 970, 970, 1_000)],
            {"calm": FillingLoad(4, 4.0)},
            lambda *_: 0.0,
            10.0 + 0.4 * beat,
        )
        assert paces == {"calm": 100}


def test_a_neighbour_over_its_aim_has_all_filling_work_stand():
    """The load: a filling image is believed harmless and is not.

    It is no suspect for that belief; after two seconds it stands, whatever is believed.
    One that may press is suspected at once.
    """
    feared = Pacer().decide(
        [ServingTail("t", "s", 1_050, 1_050, 1_000)],
        {"f": FillingLoad(1, 1.0)},
        lambda *_: 0.34,
        10.0,
    )
    assert feared["f"] < 50
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


def test_a_harmless_image_is_no_suspect_while_another_may_have_pressed():
    """Symptom: work that harms nobody gets 0.6 of its speed beside serving tasks.

    Sequence: a harmful image drives a tail over its aim; for seconds, all images
    beside it are held back. Cause: all were suspected alike.
    """
    pacer = Pacer()
    presses = {"calm": 0.0, "harsh": 1.2}

    def decide(strain: float, harsh_at_work: float, now: float) -> dict[str, int]:
        fills = {"calm": FillingLoad(2, 2.0), "harsh": FillingLoad(1, harsh_at_work)}
        tail_ms = int(strain * 1_000)
        tails = [ServingTail("t", "s", tail_ms, tail_ms, 1_000)]
        return pacer.decide(tails, fills, lambda filling, _: presses[filling], now)

    assert decide(1.2, 1.0, 10.0)["calm"] == 100
    paces = decide(0.9, 0.0, 10.4)
    assert paces == {"calm": 100, "harsh": 0}


def test_a_serving_task_that_is_slow_by_itself_holds_nobody_back():
    """The load: a serving task stands still for seconds, whoever is beside it."""
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
