"""Tests planning rounds on a large fleet: evaluated workers and duration."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import (
    NO_FEATURES,
    FeatureSettings,
    LimitSettings,
)
from pistachiodeal.jobs.model import EndKind, Job, Queue, Step
from pistachiodeal.leader.planner import SLICE_S, Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling import placement
from pistachiodeal.scheduling.health import FAILURES_TO_SUSPECT, PROBE_S
from pistachiodeal.scheduling.interference import InterferenceModel
from tests.standins.job_cluster import create_quiet_log

WORKERS = 160
ROOM = Resources(16_000, 64_000, 0)
QUEUE = Queue("q", "host", "/q/", "svc", 0, 4, 2.0, 1.0)


class Cluster:
    """A planner with a fleet of workers that have no agents behind them."""

    def __init__(
        self, workers: int = WORKERS, features: FeatureSettings = NO_FEATURES
    ) -> None:
        self.events = create_quiet_log()
        self.registry, self.fleet = JobRegistry(self.events), Fleet()
        self.lead(features)
        for number in range(workers):
            worker = self.fleet.get(f"n{number}")
            worker.attach(Attachment(worker.node, 1))
            worker.worker, worker.service, worker.listed = "w", "svc", True
            worker.capacity = ROOM
            worker.labels = ("a", f"r{number // 16}")

    def lead(self, features: FeatureSettings) -> None:
        """Continue with the state of a new leader."""
        model = InterferenceModel()
        self.speeds = SpeedMonitor(self.registry, model, self.events, 1.5)
        self.reconciler = Reconciler(
            self.registry,
            self.fleet,
            model,
            self.events,
            speeds=self.speeds if features.worker_speeds else None,
        )
        self.planner = Planner(
            self.registry,
            self.fleet,
            self.reconciler,
            model,
            lambda queue: queue,
            limits=LimitSettings(),
            events=self.events,
            features=features,
        )

    def add(self, number: int, count: int, cpu_milli: int, label: str = "") -> Job:
        """Add a job of one step."""
        step = Step(count, Resources(cpu_milli, 1_000, 0), 2.0, label=label)
        job = Job(f"{number:016x}", QUEUE, "text", (step,), time.time())
        self.registry.add(job, time.time())
        return job

    def plan_all(self) -> None:
        """Run rounds until all steps have been considered."""
        while not self.planner.plan():
            pass

    def count_placed(self, job: Job) -> int:
        """Return how many tasks of a job are placed."""
        record = self.registry.records[job.job_id]
        return sum(1 for task in record.iterate_tasks() if task.place)


@contextmanager
def record_evaluated(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """Collect the nodes of the workers that are evaluated for any step."""
    evaluated: list[str] = []
    find_obstacle = placement.find_obstacle

    def find(request, view, model):
        evaluated.append(view.node)
        return find_obstacle(request, view, model)

    with monkeypatch.context() as patch:
        patch.setattr(placement, "find_obstacle", find)
        yield evaluated


def test_waiting_steps_are_evaluated_against_changed_workers_only(monkeypatch):
    """Guards against rounds that evaluate every worker for every waiting step.

    With all workers full and 50 steps waiting, such a round took 90 ms at 160 workers
    and 800 ms at 592, during which the leader processed no reports.
    """
    cluster = Cluster()
    cluster.add(1, WORKERS, 16_000)
    cluster.plan_all()
    for number in range(50):
        cluster.add(2 + number, 5, 8_000)
    cluster.plan_all()
    cluster.fleet.get("n7").generation += 1
    with record_evaluated(monkeypatch) as evaluated:
        cluster.plan_all()
    assert set(evaluated) == {"n7"}
    assert len(evaluated) == 50


def test_a_waiting_step_is_placed_on_a_worker_with_new_room():
    """Guards against a step that waits although a run ended and left room.

    This happens if only a report counts as a change of a worker.
    """
    cluster = Cluster()
    first = cluster.add(1, WORKERS, 15_000)
    cluster.plan_all()
    second = cluster.add(2, 1, 15_000)
    cluster.plan_all()
    assert (cluster.count_placed(first), cluster.count_placed(second)) == (WORKERS, 0)
    task = next(cluster.registry.records[first.job_id].iterate_tasks())
    cluster.registry.end_run(task, EndKind.DONE, "", lambda: None)
    cluster.plan_all()
    assert cluster.count_placed(second) == 1


def test_a_waiting_step_is_placed_on_a_new_worker():
    """Guards against an added worker that stays empty while a step waits.

    This happens if a worker that was absent before does not count as changed.
    """
    cluster = Cluster(workers=1)
    first, second = cluster.add(1, 1, 15_000), cluster.add(2, 1, 15_000)
    cluster.plan_all()
    assert cluster.count_placed(first) + cluster.count_placed(second) == 1
    worker = cluster.fleet.get("new")
    worker.attach(Attachment("new", 2))
    worker.worker, worker.service, worker.listed = "w", "svc", True
    worker.capacity = ROOM
    cluster.plan_all()
    assert cluster.count_placed(first) + cluster.count_placed(second) == 2


def test_a_round_ends_after_its_time_slice_and_the_next_continues():
    """Guards against a round that places a whole burst at once.

    With 600 steps and 160 workers such a round took 0.4 s of the leader's core,
    followed by a pause three times as long, so that nothing was placed for 1.7 s.
    """
    cluster = Cluster()
    jobs = [cluster.add(number, 4, 900) for number in range(600)]
    rounds = []
    done = False
    while not done:
        began_at = time.monotonic()
        done = cluster.planner.plan()
        rounds.append(time.monotonic() - began_at)
    assert len(rounds) > 1
    assert all(cluster.count_placed(job) == 4 for job in jobs)
    # The median, because a busy machine slows down only some of the rounds.
    assert sorted(rounds)[len(rounds) // 2] < 3 * SLICE_S


@pytest.mark.parametrize(("age", "expected"), [(0.5, [1, 1, 1]), (1.5, [1, 2, 3])])
def test_tasks_do_not_wait_for_the_end_of_a_long_task_on_a_suspect_worker(
    age, expected
):
    """Guards against tasks that wait as long as another one takes on their only worker.

    The worker has failed two tasks, and got one task at a time until one ended well.
    """
    cluster = Cluster(4)
    worker = cluster.fleet.get("n0")
    worker.labels = ("only", "r0")
    worker.health.failures = FAILURES_TO_SUSPECT
    jobs = [cluster.add(number, 1, 500, "only") for number in range(1, 4)]
    began = []
    for _ in range(3):
        cluster.planner.plan()
        cluster.planner.plan()
        began.append(sum(cluster.count_placed(job) for job in jobs))
        for run in cluster.registry.get_runs(worker.place).values():
            run.running = True
            run.began_at = read_boot_clock() - age * PROBE_S
    assert began == expected
