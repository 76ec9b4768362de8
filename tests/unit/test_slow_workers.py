"""Tests how the leader uses the speeds of workers: placement, moves and its row."""

from __future__ import annotations

import time
from dataclasses import replace
from unittest import mock

import curio
import orjson
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import FeatureSettings
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.model import Job, Step
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader import planner, slow_workers
from pistachiodeal.leader.commits import CONTROL_TABLE
from pistachiodeal.leader.deadlines import is_late
from pistachiodeal.leader.learned_state import (
    LEARNED_STATE_KEY,
    LearnedState,
    LearnedStatePersister,
    encode_learned_state,
)
from pistachiodeal.leader.slow_workers import REASON
from pistachiodeal.leader.speed_row import MAX_BYTES, decode_speeds, encode_speeds
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling import slow_moves
from pistachiodeal.scheduling.durations import DurationModel
from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.store.row_store import RowWrite, Transaction
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_leader_learned_state import start_term
from tests.unit.test_leader_planner import QUEUE, Cluster

SHORT = Step(1, Resources(4_000, 1_000, 0), 1.0)
LONG = replace(SHORT, estimate_s=20.0)
SERVING = replace(SHORT, count=2, lasts=True, serves_ms=50, image="s")


class Leader(Cluster):
    """A planner with workers ``n0``, which is slow, and ``n1``, ``n2``."""

    def __init__(self, *, enabled: bool = True) -> None:
        super().__init__(3, FeatureSettings(worker_speeds=enabled))
        self.speeds.adopt({"n0/w": 0.2}, read_boot_clock())

    def submit(self, step: Step, age_s: float = 0.0) -> list[Task]:
        """Add a job of one step; return its tasks."""
        now = time.time()
        job_id = f"{len(self.registry.records):016x}"
        self.registry.add(Job(job_id, QUEUE, "", (step,), now - age_s), now)
        return list(self.registry.records[job_id].iterate_tasks())

    def start(
        self, step: Step, place: str = "n0/w", percent: int = 0, age_s: float = 0.0
    ) -> list[Task]:
        """Add a job whose tasks run at a place."""
        tasks = self.submit(step, age_s)
        for task in tasks:
            self.registry.place(task, 1, place, lambda: None)
            task.running, task.percent = True, percent
            task.worked, task.slow_since = 1.0, read_boot_clock()
        return tasks


def test_a_slow_worker_gets_only_what_no_other_can_take():
    """Guards against short urgent jobs that wait for a task on a slow worker."""
    leader = Leader()
    tasks = leader.submit(replace(SHORT, count=10))
    leader.planner.plan()
    places = [task.place for task in tasks]
    assert places[:8] == [f"n{one}/w" for one in (1, 2)] * 4
    assert places[8:] == ["n0/w"] * 2


def test_late_filling_tasks_use_slow_workers():
    """Guards against late work that takes fast workers from work in time."""
    leader = Leader()
    filling = replace(SHORT, count=3, fills=True, image="f")
    late = leader.submit(filling, age_s=100.0)
    leader.planner.plan()
    assert "n0/w" in {task.place for task in late}
    leader = Leader()
    in_time = leader.submit(replace(filling, estimate_s=100.0))
    leader.planner.plan()
    assert "n0/w" not in {task.place for task in in_time}


def test_a_worker_on_probation_gets_one_task():
    """Guards against a batch of tasks on a worker whose speed is too old."""
    leader = Leader()
    leader.fleet.get("n0").on_probation = True
    leader.speeds.model.is_on_probation = lambda place: place == "n0/w"
    leader.speeds.model.get_speed = lambda place, now: 1.0
    leader.planner.plan()
    tasks = leader.submit(replace(SHORT, count=12))
    leader.planner.plan()
    assert sum(task.place == "n0/w" for task in tasks) == 1


@pytest.mark.parametrize(
    ("step", "percent", "moves"),
    [
        (LONG, 10, True),
        (replace(LONG, checkpoints=True), 50, True),
        (LONG, 90, False),
        (SHORT, 80, False),
        (replace(LONG, gang=True), 10, False),
    ],
)
def test_a_task_moves_if_it_ends_earlier_elsewhere(step, percent, moves):
    """Guards against awaiting a run on a slow worker, and against moves that lose."""
    leader = Leader()
    (task,) = leader.start(step, percent=percent)
    leader.planner.plan()
    assert task.stopping == (REASON if moves else "")


@pytest.mark.parametrize("free", [0, 1])
def test_no_more_tasks_move_than_have_room_elsewhere(free):
    """Guards against a stopped task that waits longer than it would have run."""
    leader = Leader()
    for place in ("n1/w", "n2/w"):
        leader.start(replace(LONG, count=4 - free), place)
    tasks = leader.start(replace(LONG, count=4))
    leader.planner.plan()
    assert sum(bool(task.stopping) for task in tasks) == 2 * free


def test_a_large_fleet_moves_tasks_too(monkeypatch):
    """Guards against a service with more workers than evaluations, where none moves."""
    monkeypatch.setattr(slow_workers, "MAX_EVALUATIONS", 1)
    leader = Leader()
    tasks = leader.start(replace(LONG, count=2))
    leader.planner.plan()
    assert sum(bool(task.stopping) for task in tasks) == 1


@pytest.mark.parametrize("late", [False, True])
def test_late_filling_tasks_stay_on_slow_workers(late):
    """Guards against a task that moves away, is placed there again, and never ends."""
    leader = Leader()
    filling = replace(LONG, fills=True, image="f")
    (task,) = leader.start(filling, age_s=100.0 if late else 0.0)
    leader.planner.plan()
    assert task.stopping == ("" if late else REASON)


@pytest.mark.parametrize(("may_be_away", "moved"), [(0, 0), (1, 1), (2, 2)])
def test_serving_tasks_move_only_as_far_as_they_may_be_away(may_be_away, moved):
    """Guards against a service of which too much is away at a time."""
    leader = Leader()
    tasks = leader.start(replace(SERVING, may_be_away=may_be_away), percent=100)
    leader.planner.plan()
    assert sum(task.stopping == REASON for task in tasks) == moved


def test_a_serving_task_that_is_not_listed_yet_is_away():
    """Guards against a new leader that stops tasks while others are not back yet."""
    leader = Leader()
    first, second = leader.start(replace(SERVING, may_be_away=1), percent=100)
    second.running = False
    leader.planner.plan()
    assert not first.stopping


def test_a_check_looks_at_each_serving_task_of_a_step_once(monkeypatch):
    """Guards against a check that looks at all tasks of a step for each of its tasks.

    With 300 of 3,000 tasks of a step on 60 slow workers of 600, a check took 146 ms.
    """
    leader = Leader()
    step = replace(SERVING, count=40, may_be_away=5)
    for task in leader.start(step, percent=100)[20:]:
        leader.registry.move_run(task, "n1/w")
        task.running = True
    looked = []
    is_away = slow_moves.is_away
    monkeypatch.setattr(
        slow_moves, "is_away", lambda task: looked.append(task) or is_away(task)
    )
    leader.planner.plan()
    assert len(looked) <= 40


def test_without_the_feature_nothing_changes(monkeypatch):
    """Guards against cost and effects where the feature is off."""
    late = mock.Mock(side_effect=is_late)
    monkeypatch.setattr(planner, "is_late", late)
    leader = Leader(enabled=False)
    (long,) = leader.start(LONG)
    leader.submit(replace(SHORT, fills=True, image="f"))
    tasks = leader.submit(replace(SHORT, count=11))
    leader.planner.plan()
    assert not late.called
    assert not long.stopping
    assert sum(task.place == "n0/w" for task in tasks) == 3
    assert encode_learned_state(LearnedState([], {})) == b'{"pairs":[],"durations":{}}'


def test_the_speeds_survive_encoding_within_their_limit():
    """Guards against a row that the store refuses since too many workers are slow."""
    speeds = {"side-a-1/i-1": 0.2, "side-a-2/i-2": 0.5}
    assert decode_speeds(orjson.dumps(encode_speeds(speeds))) == speeds
    many = {f"side-centre-{one}/i-{one:010}": 0.25 for one in range(2_000)}
    value = orjson.dumps(encode_speeds(many))
    assert len(value) < MAX_BYTES
    assert len(decode_speeds(value)) > 500
    assert decode_speeds(b'{"pairs":[],"durations":{}}') == {}


@pytest.mark.parametrize("value", ["[]", "1", '{"a":"x"}', '{"a":0}', '{"a":true}'])
def test_malformed_speeds_leave_all_workers_as_usual(value):
    """Guards against a leader that fails on, or half uses, a row of another version."""
    document = f'{{"pairs":[["f","s",1.5,0.1]],"durations":{{}},"speeds":{value}}}'
    with pytest.raises(ProtocolError):
        decode_speeds(document.encode())
    leader, model = Cluster(1), InterferenceModel()

    async def main() -> None:
        store = MemoryRows(RowsState())
        writer = await start_term(store, 1)
        write = RowWrite(CONTROL_TABLE, LEARNED_STATE_KEY, document.encode())
        await store.commit(Transaction((), (write,)))
        events, durations = create_quiet_log(), DurationModel()
        persister = LearnedStatePersister(
            store, writer, model, durations, events, speeds=leader.speeds
        )
        await curio.ignore_after(0.2, persister.run)

    curio.run(main)
    assert not leader.speeds.model.list_slow()
    assert model.list_estimates(9) == [PairEstimate("f", "s", 1.5, 0.1)]
