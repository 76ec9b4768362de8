"""Order of placements, their fit, and how they spread over racks."""

from __future__ import annotations

from pistachiodeal.batch.placement import (
    RESERVE_AFTER_S,
    PendingTask,
    PlacementPlanner,
    WorkerCandidate,
)
from pistachiodeal.batch.waiting import WaitingTasks
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec

BIG = Resources(8_000, 8_000)


def candidate(name: str, rack: str, free: Resources = BIG) -> WorkerCandidate:
    return WorkerCandidate(name, "dc1", rack, BIG, free)


def task(name: str, team: str = "t", cpu: int = 1_000, **more) -> PendingTask:
    return PendingTask(name, 0, team, Resources(cpu, 100), **more)


def plan(levels, candidates, quotas=None, held=None, usable=lambda worker: True):
    planner = PlacementPlanner(usable)
    return [
        (p.task.task_id, p.worker)
        for p in planner.plan(levels, candidates, held or {}, quotas or {}, 0.0)
    ]


def test_urgent_first_then_fair_shares_within_quota():
    levels = [
        {"b": [task("urgent", "b")]},
        {"a": [task("a1", "a"), task("a2", "a")], "b": [task("b1", "b", share=4)]},
    ]
    candidates = [candidate("w", "r", Resources(3_000, 8_000))]
    placed = [name for name, _ in plan(levels, candidates)]
    assert placed == ["urgent", "a1", "b1"]
    candidates = [candidate("w", "r", Resources(3_000, 8_000))]
    placed = [name for name, _ in plan(levels, candidates, {"a": 0})]
    assert placed == ["urgent", "b1"]


def test_placements_spread_over_racks_within_the_free_resources():
    candidates = [candidate("w1", "r1"), candidate("w2", "r1"), candidate("w3", "r2")]
    levels = [{"t": [task(str(n), cpu=5_000) for n in range(5)]}]
    placed = plan(levels, candidates)
    assert {worker for _, worker in placed} == {"w1", "w2", "w3"}
    assert len(placed) == 3
    assert placed[1][1] == "w3"


def test_failed_task_goes_to_another_worker_and_quarantine_holds():
    candidates = [candidate("w1", "r1"), candidate("w2", "r2")]
    levels = [{"t": [task("x", failed_workers=("w1",))]}]
    assert plan(levels, candidates) == [("x", "w2")]
    assert plan(levels, candidates, usable=lambda worker: worker != "w2") == []
    levels = [{"t": [task("x", failed_workers=("w1", "w2"))]}]
    assert len(plan(levels, candidates)) == 1, (
        "no untried worker is left: any worker may be used"
    )


def test_large_task_is_not_starved_by_small_ones():
    """A worker is reserved for a large task that small tasks would starve.

    Small tasks that keep arriving fit into all capacity that becomes free, so a task
    as large as a whole worker used to wait for ever.
    """
    planner = PlacementPlanner(lambda worker: True)
    small = Resources(2_000, 8_000)
    for now in (0.0, RESERVE_AFTER_S):
        candidates = [candidate("w1", "r1", small)]
        levels = [{"t": [task("large", cpu=8_000)]}, {"u": [task("small", "u")]}]
        placed = planner.plan(levels, candidates, {}, {}, now)
        assert [p.task.task_id for p in placed] == (["small"] if now == 0.0 else [])


def test_wait_is_measured_from_admission():
    now = [100.0]
    waiting = WaitingTasks(lambda: now[0])
    waiting.add(TaskSpec("0000-a", "press", "hall", "batch", Resources(1)), 0)
    now[0] = 101.5
    assert waiting.compute_wait_s("0000-a") == 1.5
    waiting.remove("0000-a")
    assert waiting.compute_wait_s("0000-a") == 0
