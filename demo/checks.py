"""Checks of the demo's results against the records of runners and workers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from demo.load import Case

Event = dict[str, Any]
Interval = tuple[float, float]
CLOCK_SLACK_S = 1e-6


def check_requests(cases: Sequence[Case], executions: Iterable[Event]) -> list[str]:
    """Return contradictions between callers' outcomes and runners' executions."""
    ran = Counter(event["case"] for event in executions if event["event"] == "start")
    faults = []
    for case in cases:
        executed = ran[case.name]
        if not case.own:
            faults.append(f"{case.name} got an answer that is not its own")
        if case.outcome == "not_run" and executed:
            faults.append(f"{case.name} was told not_run and ran {executed} times")
        if case.outcome == "ran" and not executed:
            faults.append(f"{case.name} was answered and ran nowhere")
        if case.method == "POST" and executed > 1:
            faults.append(f"{case.name} must not repeat and ran {executed} times")
    return faults


def check_availability(cases: Sequence[Case], unknown_limit: int) -> list[str]:
    """Return a fault for each failed GET, and one for too many unknown outcomes.

    :param unknown_limit: number of requests that could be in flight at the agent
        when it was killed; only these may end unknown.
    """
    failed = [case for case in cases if case.method == "GET" and case.status != 200]
    faults = [f"{case.name} (GET) got status {case.status}" for case in failed]
    unknown = sum(case.outcome == "unknown" for case in cases)
    if unknown > unknown_limit:
        faults.append(f"{unknown} requests ended unknown, {unknown_limit} could")
    return faults


def check_tasks(tasks: Sequence[Event], runs: Sequence[Event]) -> list[str]:
    """Return contradictions between tasks' states and the runs of workers."""
    faults = []
    for task in tasks:
        task_id = task["task_id"]
        if task["state"] != "finished":
            faults.append(f"{task_id} is {task['state']}: {task.get('reason', '')}")
        own = [run for run in runs if run.get("task_id") == task_id]
        finished = sum(run["ended"] == "finished" for run in own)
        if finished != 1:
            faults.append(f"{task_id} finished {finished} times")
        if overlap(list_intervals(own)):
            faults.append(f"{task_id} ran in two places at once")
    return faults


def list_intervals(runs: Iterable[Event]) -> list[Interval]:
    """Return the interval of each attempt; one without an end is still running."""
    intervals: dict[tuple[str, int], Interval] = {}
    for run in runs:
        end = math.inf if run["event"] == "start" else run["end"]
        intervals[run["worker"], run["attempt"]] = (run["start"], end)
    return list(intervals.values())


def overlap(intervals: Iterable[Interval]) -> bool:
    """Return whether any two intervals overlap."""
    ordered = sorted(intervals)
    return any(
        later[0] < earlier[1] - CLOCK_SLACK_S
        for earlier, later in zip(ordered, ordered[1:], strict=False)
    )


def check_capacity(runs: Iterable[Event]) -> list[str]:
    """Return a fault for each start that exceeded a worker's capacity."""
    return [
        f"{run['worker']} got more than its capacity"
        for run in runs
        if run["event"] == "over_capacity"
    ]
