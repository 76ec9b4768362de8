"""Tests that slow workers are found, and no others, under replayed loads."""

from __future__ import annotations

import pytest

from pistachiodeal.jobs.model import Step
from pistachiodeal.leader import reconcile, registry, run_ends
from pistachiodeal.scheduling.worker_speed import HOLD_S, MAX_SLOWNESS, SpeedModel
from tests.unit.fake_speed_fleet import SIZE, FindSpeed, SpeedFleet

WORKERS = 59
BEGIN, END = 110.0, 118.0


@pytest.fixture(name="create_fleet")
def _create_fleet(monkeypatch):
    def create(find_speed: FindSpeed, workers: int = WORKERS, **options) -> SpeedFleet:
        fleet = None

        def read_clock() -> float:
            return fleet.clock if fleet is not None else 100.0

        monkeypatch.setattr(reconcile, "read_boot_clock", read_clock)
        monkeypatch.setattr(run_ends, "read_boot_clock", read_clock)
        monkeypatch.setattr(registry, "read_boot_clock", read_clock)
        fleet = SpeedFleet(workers, find_speed, **options)
        return fleet

    return create


def run_day(fleet: SpeedFleet, duration_s: float, *, error: float = 0.0):
    """Run six jobs of tasks of about 1 s each 0.1 s; yield time and slow workers.

    :param error: standard deviation of the logarithm of wrong declared durations.
    """
    for now in fleet.run_for(duration_s):
        for _ in range(6):
            work_s = fleet.rng.uniform(0.7, 1.5)
            declared_s = work_s * fleet.rng.lognormvariate(0.0, error)
            count = fleet.rng.choice((1, 1, 2, 4))
            fleet.add_tasks(count, work_s, declared_s=declared_s)
        yield now, fleet.list_slow()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_tenth_of_the_workers_is_slow_for_some_seconds(create_fleet, seed):
    """Load: 6 of 59 workers five times slower for 8 s, many tasks of 1 s.

    Guards against short urgent jobs that are placed there for as long as that.
    """
    slow = set(range(0, WORKERS, 10))
    fleet = create_fleet(
        lambda worker, now: 0.2 if worker in slow and BEGIN <= now < END else 1.0,
        seed=seed,
        serving=4,
    )
    for now, found in run_day(fleet, 22.0):
        assert found <= (slow if now > BEGIN else set())
        if BEGIN + 2.0 < now < END:
            assert found == slow
        assert not found or now < END + 2.0


def test_workers_without_serving_tasks_are_found_too(create_fleet):
    slow = set(range(0, WORKERS, 10))
    fleet = create_fleet(lambda worker, now: 0.2 if worker in slow else 1.0)
    found_ever = set()
    for _, found in run_day(fleet, 8.0):
        found_ever |= found
    assert found_ever == slow
    speeds = [fleet.fleet.get(f"n{worker}").speed for worker in slow]
    assert all(0.12 < speed < 0.34 for speed in speeds)


@pytest.mark.parametrize("slow_of_ten", [4, 5])
def test_half_of_the_workers_seem_slow(create_fleet, slow_of_ten):
    """Guards against a fleet of which more than a third gets no tasks."""
    fleet = create_fleet(
        lambda worker, _: 0.25 if worker % 10 < slow_of_ten else 1.0, serving=2
    )
    for _, found in run_day(fleet, 8.0):
        assert len(found) <= WORKERS / 3
    # Four of ten are told apart from the others, and then none counts as slow.
    assert slow_of_ten == 5 or (fleet.speeds.model.ignored and not found)


def test_wrong_declared_durations_make_no_worker_slow(create_fleet):
    """Guards against workers that are blamed for what callers declare."""
    fleet = create_fleet(lambda *_: 1.0, serving=4)
    assert not any(found for _, found in run_day(fleet, 10.0, error=1.2))


@pytest.mark.parametrize("case", ["declared too short", "long by itself", "paced"])
def test_one_job_blames_no_worker(create_fleet, case):
    """Guards against a worker that is blamed for its tasks.

    These are twelve tasks with one wrong declaration; two that are seven times as long
    as their siblings; and filling tasks that their agent holds back.
    """
    fleet = create_fleet(lambda *_: 1.0, workers=12)
    for _ in range(2):
        step = Step(12, SIZE, 1.0, image="f", fills=case == "paced")
        for worker, task in enumerate(fleet.add_job(step)):
            if case == "declared too short":
                fleet.start(task, 3, 7.0)
            elif case == "long by itself":
                fleet.start(task, worker, 1.0 if worker else 7.0)
            else:
                fleet.start(task, worker, 2.0, pace=1.0 if worker else 0.35)
    for _ in fleet.run_for(8.0):
        assert not fleet.list_slow()


@pytest.mark.parametrize("work_s", [300.0, 600.0, 1_500.0])
def test_new_siblings_of_long_tasks_make_no_worker_slow(create_fleet, work_s):
    """Guards against healthy workers that count as slow while a step's tasks begin.

    The rates of tasks that had just begun were references, and were too high.
    """
    fleet = create_fleet(lambda worker, now: 1.0, 12)
    tasks = fleet.add_job(Step(40, SIZE, work_s))
    for number in range(12):
        fleet.start(tasks[number], number % 2, work_s)
    for _ in fleet.run_for(30.0):
        assert not fleet.list_slow()
    for number in range(12, 40):
        fleet.start(tasks[number], 2 + number % 10, work_s)
    for _ in fleet.run_for(10.0):
        assert not fleet.list_slow()


def test_a_worker_that_is_slow_for_good_gets_one_task_at_a_time(create_fleet):
    """Load: one worker five times slower for good; it gets no tasks once it is found.

    Guards against a whole batch of tasks that is placed there once its speed is too
    old.
    """
    fleet = create_fleet(lambda worker, _: 1.0 if worker else 0.2, workers=10)
    worker = fleet.fleet.get("n0")
    while fleet.clock < 106.0 and not fleet.list_slow():
        for task in fleet.add_job(Step(10, SIZE, 1.0)):
            fleet.start(task, task.name.index, 1.0)
        for _ in fleet.run_for(0.4):
            pass
    assert fleet.list_slow() == {0}
    for _ in fleet.run_for(HOLD_S + 8.0):
        pass
    assert worker.speed == 1.0
    assert worker.on_probation
    for task in fleet.add_job(Step(10, SIZE, 1.0)):
        fleet.start(task, task.name.index, 1.0)
    for _ in fleet.run_for(3.0):
        pass
    assert fleet.list_slow() == {0}


def start_on_all(fleet: SpeedFleet) -> None:
    for task in fleet.add_job(Step(30, SIZE, 10.0)):
        fleet.start(task, task.name.index % fleet.workers, 10.0)


def test_a_suspended_agent_makes_no_worker_slow(create_fleet):
    """Guards against counting time in which an agent listed nothing."""
    fleet = create_fleet(lambda *_: 1.0, workers=10, serving=3)
    start_on_all(fleet)
    for now in fleet.run_for(9.0):
        fleet.silent = {3} if 103.0 < now < 106.0 else set()
        assert not fleet.list_slow()


def test_a_late_report_makes_no_worker_slow(create_fleet):
    """Guards against a report that is late by most of a listing interval."""
    fleet = create_fleet(lambda *_: 1.0, workers=10)
    start_on_all(fleet)
    for now in fleet.run_for(3.0):
        if now > 102.0:
            # The worker's work stands still in the listings of one interval.
            for run in fleet.runs[3]:
                run.done_s = max(0.0, run.done_s - 0.1 * (now < 102.45))
        assert not fleet.list_slow()


def test_a_restarted_runner_has_the_usual_speed(create_fleet):
    """Guards against a machine that gets no tasks after a restart has mended it."""
    fleet = create_fleet(lambda worker, _: 1.0 if worker else 0.2, workers=10)
    start_on_all(fleet)
    for _ in fleet.run_for(4.0):
        pass
    assert fleet.list_slow() == {0}
    worker = fleet.fleet.get("n0")
    worker.reset_incarnation("other")
    fleet.speeds.refresh(fleet.fleet, fleet.clock)
    assert worker.speed == 1.0


def test_a_successor_uses_the_speeds_until_they_are_too_old():
    """Guards against a new leader that places urgent tasks on slow workers."""
    model = SpeedModel()
    model.adopt({"n0/w": 0.2, "n1/w": 0.001}, 100.0)
    model.limit(set(), 101.0)
    assert model.get_speed("n0/w", 100.0 + HOLD_S - 1) == 0.2
    assert model.get_speed("n1/w", 101.0) == 1 / MAX_SLOWNESS
    changes = model.expire(100.0 + HOLD_S + 1)
    assert {change.worker for change in changes} == {"n0/w", "n1/w"}
    assert model.get_speed("n0/w", 100.0 + HOLD_S + 1) == 1.0
    assert model.is_on_probation("n0/w")


def test_a_task_done_on_a_slow_worker_teaches_its_usual_duration(create_fleet):
    """Guards against expected times that grow with each slow worker."""
    fleet = create_fleet(lambda worker, _: 1.0 if worker else 0.2, workers=10)
    fleet.speeds.adopt({"n0/w": 0.2}, fleet.clock)
    (task,) = fleet.add_job(Step(1, SIZE, 2.0))
    fleet.start(task, 0, 2.0)
    for _ in fleet.run_for(11.0):
        pass
    assert task.done
    fit = fleet.registry.estimator.durations.fits["q"]
    assert fit.error == pytest.approx(0.0, abs=0.15)
