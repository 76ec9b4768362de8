"""Replays a load through the leader's planner in simulated time, without a network."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import pytest

from pistachiodeal.config.deployment import FeatureSettings
from pistachiodeal.jobs.model import EndKind, Job, Queue, Step
from pistachiodeal.jobs.record import Task
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.ordering import LATE_FACTOR
from tests.unit.test_leader_planner import Cluster

BEAT_S = 0.25
STOP_S = 0.5
HEAVY = Queue("heavy", "host", "/h/", "svc", 1, 4, 2.0, 1.0)


@dataclass(frozen=True)
class Arrival:
    """A job of one step of equal tasks.

    :param takes_s: duration of a task.
    :param age_s: how long ago it was accepted.
    """

    at: float
    count: int
    takes_s: float
    cpu_milli: int = 4_000
    age_s: float = 0.0

    @property
    def work(self) -> float:
        return self.count * self.takes_s * self.cpu_milli / 1000


def draw_burst(seed: int, rate: float) -> list[Arrival]:
    """Return 24 s of arrivals, with 2.5 times the rate for seven seconds of them."""
    rng = random.Random(seed)
    arrivals, now = [], 0.0
    while now < 24.0:
        now += rng.expovariate(rate * (2.5 if 5.0 < now < 12.0 else 1.0))
        arrivals.append(Arrival(now, rng.randint(1, 3), rng.uniform(1.0, 8.0)))
    return arrivals


class Replay(Cluster):
    """Workers that run what the planner places; stopped tasks lose their work."""

    def __init__(
        self, patch: pytest.MonkeyPatch, features: FeatureSettings, workers: int
    ) -> None:
        self.now = 1_000.0
        patch.setattr(time, "time", lambda: self.now)
        patch.setattr(time, "clock_gettime", lambda _: self.now)
        super().__init__(workers, features)
        self.arrived: dict[str, Arrival] = {}
        self.took_s: dict[str, float] = {}
        self.stops: list[tuple[float, str]] = []
        self.loses_stops = False
        self._ordered: set[str] = set()
        self._stopping: dict[str, float] = {}

    def submit(self, arrival: Arrival, queue: Queue = HEAVY) -> Job:
        """Add a job now."""
        size = Resources(arrival.cpu_milli, 1_000, 0)
        step = Step(arrival.count, size, arrival.takes_s, image="i")
        job = Job(
            f"{len(self.arrived):016x}", queue, "", (step,), self.now - arrival.age_s
        )
        self.arrived[job.job_id] = arrival
        self.registry.add(job, self.now)
        return job

    def run(self, arrivals: list[Arrival], until_s: float) -> None:
        """Replay arrivals, and go on until a time."""
        began_at, waiting = self.now, sorted(arrivals, key=lambda one: one.at)
        while self.now < began_at + until_s:
            while waiting and waiting[0].at <= self.now - began_at:
                self.submit(waiting.pop(0))
            self.advance()

    def advance(self) -> None:
        """Go on by one beat."""
        self.now += BEAT_S
        for place in self.registry.list_places():
            for name, task in list(self.registry.get_runs(place).items()):
                self._advance_task(name, task)
        self.plan_all()
        for record, _ in self.registry.begin_writes(10_000):
            self.registry.finish_write(record.job_id)

    def sum_value(self, *, least_work: float = 0.0) -> tuple[float, float]:
        """Return the value of the jobs of at least this work, and its maximum."""
        value = total = 0.0
        for job_id, arrival in self.arrived.items():
            if arrival.work < least_work:
                continue
            objective_s = HEAVY.stretch * arrival.takes_s + HEAVY.aim_s
            took_s = self.took_s.get(job_id, float("inf"))
            total += arrival.work
            if took_s <= objective_s:
                value += arrival.work
            elif took_s <= LATE_FACTOR * objective_s:
                value += 0.15 * arrival.work
        return value, total

    def _advance_task(self, name: str, task: Task) -> None:
        if not task.running:
            task.running, task.began_at = True, self.now
        if task.stopping and name not in self._ordered:
            self._ordered.add(name)
            self.stops.append((self.now, name))
            if not self.loses_stops:
                self._stopping[name] = self.now
        takes_s = self.arrived[task.name.job_id].takes_s
        task.percent = min(100, int(100 * (self.now - task.began_at) / takes_s))
        task.seen_at = task.progressed_at = self.now
        if task.percent >= 100:
            self._end(name, task, EndKind.DONE)
        elif self.now - self._stopping.get(name, self.now) >= STOP_S:
            self._end(name, task, EndKind.STOPPED)

    def _end(self, name: str, task: Task, kind: EndKind) -> None:
        self._stopping.pop(name, None)
        self._ordered.discard(name)
        self.registry.end_run(task, kind, "", lambda: None)
        record = self.registry.records[task.name.job_id]
        if record.state.final:
            self.took_s[record.job_id] = self.now - record.job.accepted_s
