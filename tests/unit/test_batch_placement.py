"""Order, fit and spread of placements."""

from __future__ import annotations

from pistachiodeal.batch.placement import (
    HOLD_S,
    PendingTask,
    PlacementPlanner,
    WorkerCandidate,
)
from pistachiodeal.batch.waiting import WaitingTasks
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec

BIG = Resources(8_000, 8_000)


def room(name: str, rack: str, free: Resources = BIG) -> WorkerCandidate:
    return WorkerCandidate(name, "dc1", rack, BIG, free)


def task(name: str, team: str = "t", cpu: int = 1_000, **more) -> PendingTask:
    return PendingTask(name, 0, team, Resources(cpu, 100), **more)


def plan(levels, rooms, quotas=None, held=None, usable=lambda worker: True):
    planner = PlacementPlanner(usable)
    return [
        (p.task.task_id, p.worker)
        for p in planner.plan(levels, rooms, held or {}, quotas or {}, 0.0)
    ]


def test_urgent_first_then_fair_shares_within_quota():
    levels = [
        {"b": [task("urgent", "b")]},
        {"a": [task("a1", "a"), task("a2", "a")], "b": [task("b1", "b", share=4)]},
    ]
    one = [room("w", "r", Resources(3_000, 8_000))]
    placed = [name for name, _ in plan(levels, one)]
    assert placed == ["urgent", "a1", "b1"]
    one = [room("w", "r", Resources(3_000, 8_000))]
    placed = [name for name, _ in plan(levels, one, {"a": 0})]
    assert placed == ["urgent", "b1"]


def test_spreads_over_racks_and_never_over_the_room():
    rooms = [room("w1", "r1"), room("w2", "r1"), room("w3", "r2")]
    levels = [{"t": [task(str(n), cpu=5_000) for n in range(5)]}]
    placed = plan(levels, rooms)
    assert {worker for _, worker in placed} == {"w1", "w2", "w3"}
    assert len(placed) == 3
    assert placed[1][1] == "w3"


def test_failed_task_goes_to_another_worker_and_quarantine_holds():
    rooms = [room("w1", "r1"), room("w2", "r2")]
    levels = [{"t": [task("x", failed_workers=("w1",))]}]
    assert plan(levels, rooms) == [("x", "w2")]
    assert plan(levels, rooms, usable=lambda worker: worker != "w2") == []
    levels = [{"t": [task("x", failed_workers=("w1", "w2"))]}]
    assert len(plan(levels, rooms)) == 1, "nowhere is new: tries again"


def test_large_task_is_not_starved_by_small_ones():
    """A worker is kept for a large task that small ones would starve.

    Symptom: a task of a whole worker's size waited for ever.
    Sequence: small tasks keep coming and fit into whatever comes free.
    Cause: nothing was ever left free for long enough.
    """
    planner = PlacementPlanner(lambda worker: True)
    small = Resources(2_000, 8_000)
    for now in (0.0, HOLD_S):
        rooms = [room("w1", "r1", small)]
        levels = [{"t": [task("large", cpu=8_000)]}, {"u": [task("small", "u")]}]
        placed = planner.plan(levels, rooms, {}, {}, now)
        assert [p.task.task_id for p in placed] == (["small"] if now == 0.0 else [])


def test_waits_are_counted_from_admission():
    now = [100.0]
    waiting = WaitingTasks(lambda: now[0])
    waiting.add(TaskSpec("0000-a", "press", "hall", "batch", Resources(1)), 0)
    now[0] = 101.5
    assert waiting.waited("0000-a") == 1.5
    waiting.remove("0000-a")
    assert waiting.waited("0000-a") == 0
