"""The demo's checks detect violations."""

from __future__ import annotations

from typing import Any

from demo.checks import check_availability, check_capacity, check_requests, check_tasks
from demo.load import Case


def describe_case(name: str, outcome: str, method: str = "POST", **more: Any) -> Case:
    status = 200 if outcome == "ran" else 503
    fields = {"service": "s", "status": status, "own": True, **more}
    return Case(name=name, method=method, outcome=outcome, **fields)


def describe_run(attempt: int, start: float, end: float | None, ended: str) -> dict:
    event = "start" if end is None else "end"
    return {
        "event": event,
        "task_id": "t",
        "worker": f"w{attempt}",
        "attempt": attempt,
        "start": start,
        "end": end,
        "ended": ended,
    }


def test_each_wrong_outcome_is_detected() -> None:
    cases = [
        describe_case("good", "ran"),
        describe_case("lied", "not_run"),
        describe_case("doubled", "unknown"),
        describe_case("nowhere", "ran"),
        describe_case("foreign", "ran", own=False),
    ]
    ran = ["good", "lied", "doubled", "doubled", "foreign"]
    executions = [{"event": "start", "case": name} for name in ran]
    faults = check_requests(cases, executions)
    assert sorted(fault.split()[0] for fault in faults) == [
        "doubled",
        "foreign",
        "lied",
        "nowhere",
    ]


def test_requests_without_an_answer_are_detected() -> None:
    cases = [describe_case("a", "not_run", "GET"), describe_case("b", "unknown")]
    assert len(check_availability(cases, unknown_limit=1)) == 1
    assert len(check_availability(cases, unknown_limit=0)) == 2


def test_a_task_in_two_places_or_finished_twice_is_detected() -> None:
    task = {"task_id": "t", "state": "finished"}
    good = [describe_run(1, 0.0, 1.0, "expired"), describe_run(2, 1.0, 2.0, "finished")]
    assert check_tasks([task], good) == []
    still_running = [describe_run(1, 0.0, None, ""), good[1]]
    assert check_tasks([task], still_running) == ["t ran in two places at once"]
    twice = [describe_run(1, 0.0, 1.0, "finished"), good[1]]
    assert check_tasks([task], twice) == ["t finished 2 times"]
    assert check_capacity([{"event": "over_capacity", "worker": "w1"}])
