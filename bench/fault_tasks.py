"""Submits batch tasks at a low rate and evaluates them by the workers' records."""

from __future__ import annotations

import http.client
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bench.fault_load import Balancer
from tests.harness import documents
from tests.harness.calls import Reply, call, call_json
from tests.harness.cluster import FINAL_STATES

PERIOD_S = 0.5
RUN_S = 3.0
TIMEOUT_S = 5.0
ADMIT_S = 60.0
RETRY_S = 0.5
POLL_S = 0.2


@dataclass
class Task:
    """One task and the state of its submission."""

    key: str
    submitted_at: float
    task_id: str = ""
    admitted_at: float = 0.0
    refusals: Counter[str] = field(default_factory=Counter)
    state: str = ""


class TaskFeeder:
    """Submits one task per period, retrying with the same key until it is admitted."""

    def __init__(self, balancer: Balancer, addresses: list[str]) -> None:
        self.tasks: list[Task] = []
        self._balancer = balancer
        self._addresses = addresses
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._feed_thread = threading.Thread(target=self._feed, daemon=True)
        self._feed_thread.start()

    def stop(self) -> None:
        """Stop submitting; wait until the submitted tasks are admitted."""
        self._stop.set()
        self._feed_thread.join()
        for thread in self._threads:
            thread.join(ADMIT_S)

    def wait_ends(self, limit_s: float) -> None:
        """Wait until every admitted task is in a final state, or the time limit."""
        until = time.monotonic() + limit_s
        waiting = [task for task in self.tasks if task.task_id]
        while waiting and time.monotonic() < until:
            waiting = [task for task in waiting if not self._is_final(task)]
            time.sleep(POLL_S)

    def _feed(self) -> None:
        number = 0
        while not self._stop.wait(PERIOD_S):
            task = Task(f"task-{number}", time.monotonic())
            self.tasks.append(task)
            run = threading.Thread(target=self._admit, args=(task, number), daemon=True)
            self._threads.append(run)
            run.start()
            number += 1

    def _admit(self, task: Task, turn: int) -> None:
        until = task.submitted_at + ADMIT_S
        while time.monotonic() < until:
            address = self._balancer.choose(turn)
            turn += 1
            try:
                reply = submit(address, task.key)
            except (OSError, http.client.HTTPException):
                task.refusals["broken"] += 1
                time.sleep(RETRY_S)
                continue
            if reply.status in (200, 201):
                task.task_id = reply.document()["id"]
                task.admitted_at = time.monotonic()
                return
            problem = reply.document()
            task.refusals[f"{problem['outcome']} {problem['code']}"] += 1
            time.sleep(float(reply.headers.get("retry-after", RETRY_S)))

    def _is_final(self, task: Task) -> bool:
        for address in self._addresses:
            try:
                target = f"/tasks/{task.task_id}"
                reply = call(address, "GET", target, timeout=TIMEOUT_S)
            except (OSError, http.client.HTTPException):
                continue
            if reply.status == 200:
                task.state = reply.document()["state"]
                return task.state in FINAL_STATES
        return False


def submit(address: str, key: str) -> Reply:
    """Submit one task with an idempotency key."""
    document = documents.build_task({"run_s": RUN_S})
    return call_json(address, "POST", "/tasks", document, {"idempotency-key": key})


def describe_tasks(
    tasks: list[Task], events: list[dict[str, Any]], baseline_at: float, fault_at: float
) -> dict[str, Any]:
    """Return the figures of the tasks; times leave out those of the warm-up.

    :param events: the workers' records, with one ``end`` for each run that ended.
    """
    ends = [event for event in events if event["event"] == "end"]
    finished = [end for end in ends if end["ended"] == "finished"]
    finished_at = {end["task_id"]: end["end"] for end in finished}
    times = Counter(end["task_id"] for end in finished)
    refusals: Counter[str] = Counter()
    for task in tasks:
        refusals.update(task.refusals)
    admitted = [task for task in tasks if task.task_id]

    def measure(chosen: list[Task]) -> list[float]:
        return sorted(
            finished_at[task.task_id] - task.submitted_at
            for task in chosen
            if task.task_id in finished_at
        )

    # A task that was running when the fault began counts as affected.
    known = [task for task in admitted if task.submitted_at >= baseline_at]
    baseline = [
        task for task in known if finished_at.get(task.task_id, 1e99) < fault_at
    ]
    affected = [task for task in known if task not in baseline]
    return {
        "submitted": len(tasks),
        "admitted": len(admitted),
        "finished": sum(task.state == "finished" for task in admitted),
        "doubled": sum(count > 1 for count in times.values()),
        "overlapping": count_overlaps(events),
        "lost": sum(task.state != "finished" for task in admitted),
        "runs": sum(event["event"] == "start" for event in events),
        "ends": dict(Counter(end["ended"] for end in ends)),
        "refusals": dict(refusals),
        "calm_s": summarise(measure(baseline)),
        "hit_s": summarise(measure(affected)),
    }


def count_overlaps(events: list[dict[str, Any]]) -> int:
    """Return how many tasks had two runs at the same time.

    A run without a recorded end was on a worker that was killed; the kill ended it.
    """
    runs: dict[str, dict[int, dict[str, Any]]] = {}
    for event in events:
        if event["event"] in ("start", "end"):
            runs.setdefault(event["task_id"], {})[event["attempt"]] = event
    overlapping = 0
    for attempts in runs.values():
        known = sorted(attempts.values(), key=lambda run: run["start"])
        overlapping += any(
            earlier["end"] is not None and earlier["end"] > later["start"]
            for earlier, later in zip(known, known[1:], strict=False)
        )
    return overlapping


def summarise(values: list[float]) -> dict[str, float | int]:
    """Return count, median and maximum of sorted values."""
    if not values:
        return {"n": 0}
    middle = values[len(values) // 2]
    return {"n": len(values), "p50": round(middle, 2), "max": round(values[-1], 2)}
