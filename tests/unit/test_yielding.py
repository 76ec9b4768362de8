"""Runs of expired jobs that make room for jobs that can be in time."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiodeal.config.deployment import NO_FEATURES, FeatureSettings
from pistachiodeal.jobs.model import Step
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.placement import Obstacle, PlacementRequest, find_obstacle
from pistachiodeal.scheduling.views import WorkerView
from pistachiodeal.scheduling.yielding import (
    MAX_STOPS_PER_ROUND,
    MAX_STOPS_PER_S,
    PROTECTED_AFTER_S,
    YIELD_PAUSE_S,
    ExpiredRun,
    RoomSeeker,
    YieldHistory,
    YieldingRoom,
    choose_yielding,
)
from tests.unit.overload_replay import HEAVY, Arrival, Replay, draw_burst

YIELDING = FeatureSettings(yielding=True)
WORKERS = 8
STEP = Step(1, Resources(4_000, 1_000, 0), 20.0)
FILLING = Step(1, Resources(1_000, 1_000, 0), 20.0, image="f", fills=True)
RUN = ExpiredRun("0000000000000001.0.0.0", ("old", 0, 0), STEP, 1, 10, 20.0)
NEW = ("new", 0, 0)


def build_expired(count: int) -> list[Arrival]:
    return [Arrival(0.0, 1, 20.0, age_s=500.0)] * count


def build_room(*runs: ExpiredRun, serving: int = 0) -> YieldingRoom:
    view = WorkerView("n/w", "n", "r", frozenset(), Resources(8_500, 64_000, 0))
    for run in runs:
        view.reserve(run.key, run.step)
    serving_step = Step(1, Resources(1_000, 0, 0), 0.3, image="s", serves_ms=50)
    for _ in range(serving):
        view.reserve(("serving", 0, 0), serving_step)
    losses = sorted((run.compute_loss(1.0), run.task, run) for run in runs)
    return YieldingRoom(view, [(loss, run) for loss, _, run in losses])


def choose(room: YieldingRoom, step: Step = STEP, priority: int = 1) -> list[str]:
    seeker = RoomSeeker(PlacementRequest(step, NEW), priority)
    choice = choose_yielding(seeker, [room], InterferenceModel(), limit=8)
    return [run.task for run in choice[1]] if choice else []


def replay_expired(patch: pytest.MonkeyPatch, features: FeatureSettings, seed: int):
    """Replay a burst of 2.5 times the queue while expired jobs hold all workers."""
    with patch.context() as inner:
        replay = Replay(inner, features, WORKERS)
        expired = build_expired(3 * WORKERS)
        replay.run(expired + draw_burst(seed, 1.5), 90.0)
    return replay


@pytest.mark.parametrize("seed", range(4))
def test_expired_runs_make_room_for_a_burst(monkeypatch, seed):
    """Guards against jobs that become late behind runs without any value."""
    without = replay_expired(monkeypatch, NO_FEATURES, seed)
    yielding = replay_expired(monkeypatch, YIELDING, seed)
    assert not without.stops
    assert yielding.sum_value()[0] > 1.5 * without.sum_value()[0]
    assert len(yielding.took_s) == len(yielding.arrived)
    rounds = Counter(at for at, _ in yielding.stops)
    assert max(rounds.values()) <= MAX_STOPS_PER_ROUND
    last: dict[str, float] = {}
    for at, task in yielding.stops:
        assert at - last.get(task, 0.0) >= YIELD_PAUSE_S
        last[task] = at


def test_a_burst_without_expired_runs_stops_nothing(monkeypatch):
    """Guards against stops of late jobs, which still have part of their value."""
    with monkeypatch.context() as patch:
        replay = Replay(patch, YIELDING, WORKERS)
        replay.run(draw_burst(0, 2.0), 45.0)
        assert not replay.stops


def test_a_task_that_yields_survives_a_change_of_leader(monkeypatch):
    """Guards against tasks that are lost or never end after a change of leader."""
    replay = Replay(monkeypatch, YIELDING, WORKERS)
    replay.run(build_expired(3 * WORKERS) + [Arrival(2.0, 4, 2.0)], 2.5)
    assert replay.stops
    replay.lead(YIELDING)
    replay.run([Arrival(0.1, 2, 2.0)], 60.0)
    assert len(replay.took_s) == len(replay.arrived)


def test_after_a_lost_stop_another_run_yields(monkeypatch):
    """Guards against a task that waits for the room of a worker that doesn't answer."""
    replay = Replay(monkeypatch, YIELDING, WORKERS)
    replay.run(build_expired(3 * WORKERS), 1.0)
    job = replay.submit(Arrival(0.0, 1, 4.0))
    replay.loses_stops = True
    replay.run([], 1.0)
    assert len(replay.stops) == 1
    replay.loses_stops = False
    replay.run([], 4.0)
    assert replay.registry.find_task(replay.stops[0][1]).stopping
    assert replay.count_placed(job) == 1


def test_no_run_yields_for_room_that_was_taken_in_the_same_round(monkeypatch):
    """Guards against a run that is stopped although too little room becomes free.

    The first step fits nowhere, the second is placed, and the third would fit only
    without the second.
    """
    replay = Replay(monkeypatch, YIELDING, 1)
    replay.run([Arrival(0.0, 1, 20.0, cpu_milli=8_000, age_s=500.0)], 1.0)
    replay.submit(Arrival(0.0, 1, 8.0, cpu_milli=32_000), replace(HEAVY, priority=0))
    placed = replay.submit(Arrival(0.0, 1, 8.0, cpu_milli=4_000))
    replay.submit(Arrival(0.0, 1, 8.0, cpu_milli=14_000))
    replay.run([], 4.0)
    assert replay.count_placed(placed) == 1
    assert not replay.stops


def test_a_job_that_is_cancelled_while_it_yields_is_not_placed_again(monkeypatch):
    """Guards against a run of a cancelled job after its stop."""
    replay = Replay(monkeypatch, YIELDING, WORKERS)
    replay.run(build_expired(3 * WORKERS), 1.0)
    replay.submit(Arrival(0.0, 1, 4.0))
    replay.advance()
    replay.advance()
    task = replay.registry.find_task(replay.stops[0][1])
    for other in replay.registry.cancel(task.name.job_id):
        replay.reconciler.stop(other, "its job is cancelled")
    replay.run([], 30.0)
    assert (task.run, task.place) == (1, "")


def test_the_cheapest_runs_that_suffice_are_chosen():
    """Guards against stops that lose more work than needed, or free too little."""
    near = replace(RUN, task="near", percent=39)
    small = replace(RUN, task="small", step=replace(STEP, size=Resources(1_000, 1, 0)))
    assert choose(build_room(RUN, near)) == [RUN.task]
    assert choose(build_room(small, RUN, serving=3)) == [RUN.task]
    assert choose(build_room(replace(RUN, priority=0), near)) == ["near"]
    assert choose(build_room(replace(RUN, priority=0))) == []


def test_runs_that_would_lose_much_or_that_last_are_not_stopped():
    """Guards against stops of long-running tasks, gangs and nearly completed runs."""
    assert RUN.stoppable
    assert not replace(RUN, percent=40).stoppable
    assert replace(RUN, percent=90, step=replace(STEP, checkpoints=True)).stoppable
    assert not replace(RUN, step=replace(STEP, lasts=True)).stoppable
    assert not replace(RUN, step=replace(STEP, gang=True)).stoppable


def test_a_filling_run_yields_the_slack_of_its_neighbours():
    """Guards against filling steps that find no room since they reserve no processor.

    Two tasks of an unobserved image may run beside a serving task, a third may not.
    """
    runs = [replace(RUN, task=f"{number}", step=FILLING) for number in range(2)]
    room = build_room(*runs, serving=1)
    request = PlacementRequest(FILLING, NEW)
    obstacle = find_obstacle(request, room.view, InterferenceModel())
    assert obstacle is Obstacle.NEIGHBOURS
    assert len(choose(room, FILLING)) == 1


@given(
    st.lists(st.tuples(st.floats(0.1, 20.0), st.integers(0, 100)), max_size=400),
    st.booleans(),
)
def test_a_task_that_yielded_always_completes(moments, checkpoints):
    """Guards against a task that is stopped for ever, whatever it reaches each time."""
    history, now, stops = YieldHistory(), 0.0, 0
    step = replace(STEP, checkpoints=checkpoints)
    for pause_s, percent in moments:
        now += pause_s
        run = replace(RUN, step=step, percent=percent)
        if history.allows(run, now):
            history.record_stop(run, now)
            stops += 1
    most = PROTECTED_AFTER_S / YIELD_PAUSE_S + 1
    assert stops <= most * (101 if checkpoints else 1)


@given(st.lists(st.floats(0.0, 0.3), max_size=60))
def test_stops_are_bounded_in_every_second(pauses):
    """Guards against a burst of stops that makes all workers restart their runs."""
    history, now, at = YieldHistory(), 0.0, []
    for pause_s in pauses:
        now += pause_s
        budget = history.get_budget(now)
        assert budget <= MAX_STOPS_PER_ROUND
        for _ in range(budget):
            history.record_stop(RUN, now)
            at.append(now)
    for begin in at:
        assert sum(begin <= one < begin + 1.0 for one in at) <= MAX_STOPS_PER_S
