"""Simulates a fleet of workers whose serving tasks share cores with filling tasks.

The leader's own model learns the interference of pairs of images and chooses workers.
Besides wrong estimates, the faults are serving tasks that are slow by themselves for a
while, restarts of agents, and paces that get lost or take effect late.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from pistachiodeal.jobs.model import Step
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import (
    InterferenceModel,
    Pair,
    PairEstimate,
    ServingSample,
)
from pistachiodeal.scheduling.pacing import MIN_VALID_LATENCY_RATIO
from pistachiodeal.scheduling.placement import PlacementRequest, choose_worker
from pistachiodeal.scheduling.views import WorkerView
from tests.standins.paced_worker import (
    AIM_MS,
    IDLE_LATENCY_RATIO,
    LISTING_INTERVAL_S,
    LOAD_PERIOD_S,
    STEP_S,
    PacedWorker,
    PaceFaults,
    ServingTask,
)

FILLING_IMAGES = 18
SERVING_IMAGES = 3
# Share of the tasks that the leader never moves, since they have no checkpoint and are
# nearly done.
PINNED_SHARE = 0.15
SLOWDOWN_S = 6.0


@dataclass(frozen=True, slots=True)
class FleetFaults:
    """Rates of the faults on each worker.

    :param late: share of the paces that get no answer and take effect late.
    :param lost: share of the paces that get no answer and never take effect.
    :param slowdowns: how often a second a serving task becomes slow by itself.
    :param agent_restarts: how often a second the agent restarts.
    """

    late: float = 0.0
    lost: float = 0.0
    slowdowns: float = 0.0
    agent_restarts: float = 0.0


NO_FAULTS = FleetFaults()


class PacedFleet:
    """Workers that share one interference model, and filling tasks placed by it.

    :param estimates: fixed interference estimates of pairs; None lets the model learn.
    """

    def __init__(
        self,
        seed: int,
        *,
        workers: int = 6,
        interference_s: float = 4.0,
        estimates: dict[Pair, float] | None = None,
        loads: dict[Pair, float] | None = None,
        faults: FleetFaults = NO_FAULTS,
    ) -> None:
        self.rng = random.Random(seed)
        self.loads = loads or draw_loads(self.rng)
        self.model = InterferenceModel()
        self.now = 100.0
        self._faults = faults
        self._learns = estimates is None
        self._images = sorted({filling for filling, _ in self.loads})
        if estimates is not None:
            self.model.adopt(
                PairEstimate(*pair, press, 0.04) for pair, press in estimates.items()
            )
        offsets = [self.rng.uniform(0, LOAD_PERIOD_S) for _ in range(SERVING_IMAGES)]
        self.workers = []
        for _ in range(workers):
            usual = self.rng.randrange(SERVING_IMAGES)
            servings = []
            for _ in range(self.rng.randint(2, 4)):
                other = self.rng.randrange(SERVING_IMAGES)
                image = usual if self.rng.random() < 0.8 else other
                servings.append(ServingTask(f"i{image}", offsets[image]))
            worker = PacedWorker(servings, self.loads, self.rng, interference_s)
            worker.next_listing = self.now + self.rng.uniform(0, LISTING_INTERVAL_S)
            worker.faults = PaceFaults(late=faults.late, lost=faults.lost)
            self.workers.append(worker)

    @property
    def longest_over_s(self) -> float:
        """Return the longest time for which neighbours kept a task over its target."""
        return max(
            serving.longest_over_s
            for worker in self.workers
            for serving in worker.servings.values()
        )

    @property
    def over_share(self) -> float:
        """Return the share of time that neighbours kept serving tasks over target."""
        whole = sum(worker.time_s for worker in self.workers)
        return sum(worker.over_s for worker in self.workers) / whole

    @property
    def work_done(self) -> float:
        """Return the filling work done, as tasks at full speed per worker."""
        whole = sum(worker.time_s for worker in self.workers)
        return sum(worker.done_s for worker in self.workers) / whole

    async def simulate(self, length_s: float, *, max_fillings: int = 6) -> None:
        """Simulate a length of time.

        :param length_s: simulated time in seconds.
        :param max_fillings: limit of filling tasks on a worker.
        """
        until = self.now + length_s
        while self.now < until:
            self.now += STEP_S
            for worker in self.workers:
                self._inject_faults(worker)
                worker.advance(self.now)
                if self.now < worker.next_listing:
                    continue
                await worker.list(self.now)
                mix = worker.measure_mix()
                if self._learns:
                    self._learn(worker, mix)
                self._place(worker, mix, max_fillings)
                self._send_interference(worker)

    def _inject_faults(self, worker: PacedWorker) -> None:
        if self.rng.random() < self._faults.slowdowns * STEP_S:
            serving = self.rng.choice(list(worker.servings.values()))
            serving.slow_until = self.now + SLOWDOWN_S
        if self.rng.random() < self._faults.agent_restarts * STEP_S:
            worker.restart_agent(self.now)

    def _learn(self, worker: PacedWorker, mix: dict[str, float]) -> None:
        for task, serving in worker.servings.items():
            latency_ratio = worker.ledger.running[task, 1].figure / AIM_MS
            described = (task, 1) in worker.ledger.run_specs
            if latency_ratio < MIN_VALID_LATENCY_RATIO or not described:
                continue
            # Here, each image is one step, so all its tasks are siblings.
            name = f"{id(worker)}.{task}"
            step = (serving.image, 0, 0)
            self.model.observe(
                ServingSample(
                    step, name, serving.image, latency_ratio, dict(mix), self.now
                )
            )

    def _send_interference(self, worker: PacedWorker) -> None:
        for serving in {task.image for task in worker.servings.values()}:
            for filling in {task.image for task in worker.fillings.values()}:
                press = self.model.get_interference(filling, serving)
                worker.ledger.presses[filling, serving] = press

    def _place(
        self, worker: PacedWorker, mix: dict[str, float], max_fillings: int
    ) -> None:
        while len(worker.fillings) < max_fillings:
            image = self.rng.choice(self._images)
            step = Step(1, Resources(0, 1_000, 0), 4.0, image=image, fills=True)
            view = self._build_view(worker, mix)
            if (
                choose_worker(PlacementRequest(step, ("job", 0, 0)), [view], self.model)
                is None
            ):
                return
            pinned = self.rng.random() < PINNED_SHARE
            worker.start_filling(
                image, self.rng.uniform(1.5, 7.0), self.now, pinned=pinned
            )

    def _build_view(self, worker: PacedWorker, mix: dict[str, float]) -> WorkerView:
        room = Resources(64_000, 64_000, 0)
        view = WorkerView("n/w", "n", "r1", frozenset(), room)
        view.serving = dict(Counter(one.image for one in worker.servings.values()))
        view.filling = dict(Counter(one.image for one in worker.fillings.values()))
        for task, serving in worker.servings.items():
            latency_ratio = worker.ledger.running[task, 1].figure / AIM_MS
            alone = 1 / max(latency_ratio, 0.2) + self.model.compute_interference(
                (serving.image,), mix
            )
            known = view.solo_slack.get(serving.image, alone)
            view.solo_slack[serving.image] = min(alone, known)
        return view


def draw_loads(rng: random.Random, harmful: float = 0.5) -> dict[Pair, float]:
    """Return the load that one filling task puts on a serving task, by images.

    :param harmful: share of the pairs that interfere.
    """
    loads = {}
    for filling in range(FILLING_IMAGES):
        for serving in range(SERVING_IMAGES):
            disturbs = rng.random() < harmful
            load = rng.uniform(0.1, 0.5) if disturbs else rng.uniform(0.0, 0.01)
            loads[f"f{filling}", f"i{serving}"] = load
    return loads


def draw_estimates(
    loads: dict[Pair, float], rng: random.Random, wrong: float
) -> dict[Pair, float]:
    """Return interference estimates of pairs, some of them wrongly zero.

    :param wrong: share of the pairs whose estimate is zero.
    """
    beliefs = {}
    for pair, load in loads.items():
        press = load / IDLE_LATENCY_RATIO * rng.uniform(0.7, 1.3)
        beliefs[pair] = 0.0 if rng.random() < wrong else press
    return beliefs
