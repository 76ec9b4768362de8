"""Steps for batch tasks, checked against the workers' own records."""

from __future__ import annotations

import threading
import time
from collections import Counter

from pytest_bdd import parsers, then, when

from tests.harness import Reply
from tests.harness.waiting import wait_until
from tests.scenarios.world import World

SUBMIT = (
    r'task "(?P<task>\w+)" of (?P<run_s>[\d.]+) s'
    r"(?: and (?P<milli>\d+) millicores)? is submitted"
)
SUBMIT_MANY = (
    r'(?P<count>\d+) tasks "(?P<name>\w+)" of (?P<run_s>[\d.]+) s'
    r"(?: and (?P<milli>\d+) millicores)? are submitted through all entries"
)
TASK_LIMIT_S = 60.0
RETRY_PAUSE_S = 0.2
RETRIES = 100


def submit(world: World, task: str, run_s: float, milli: int, entry: str) -> Reply:
    payload = {"run_s": run_s, "result": f"result of {task}"}
    process = world.cluster[entry]
    reply = world.cluster.submit_task(process, task, payload, cpu_milli=milli)
    world.submissions[task] = reply
    world.notes.setdefault("submitted", {})[task] = (run_s, milli)
    shown = reply.document()
    if reply.status in (200, 201):
        world.tasks[task] = shown["id"]
    return reply


@when(parsers.re(SUBMIT))
def submit_one(world: World, task: str, run_s: str, milli: str) -> None:
    submit(world, task, float(run_s), int(milli or 1000), world.live_entry())


@when(parsers.re(SUBMIT_MANY))
def submit_many(world: World, count: str, name: str, run_s: str, milli: str) -> None:
    for number in range(int(count)):
        entry = world.entries[number % len(world.entries)]
        submit_until_known(world, f"{name}{number}", float(run_s), int(milli), entry)


def submit_until_known(
    world: World, task: str, run_s: float, milli: int, entry: str
) -> None:
    for _ in range(RETRIES):
        submit(world, task, run_s, milli, entry)
        if task in world.tasks:
            return
        time.sleep(RETRY_PAUSE_S)
    raise AssertionError(f"{task} was never admitted: {world.submissions[task]}")


@then(parsers.parse('task "{task}" is known after a retry with the same key'))
def check_known(world: World, task: str) -> None:
    run_s, milli = world.notes["submitted"][task]
    submit_until_known(world, task, run_s, milli, world.live_entry())


@then(
    parsers.parse(
        'the submission of "{task}" was refused as "{outcome}" with a Retry-After time'
    )
)
def check_refused(world: World, task: str, outcome: str) -> None:
    reply = world.submissions[task]
    assert reply.outcome == outcome, reply
    assert int(reply.headers["retry-after"]) >= 1


@when(
    parsers.parse(
        '{count:d} tasks "{name}" of {run_s:f} s are submitted '
        "and each is cancelled at once"
    )
)
def submit_and_cancel(world: World, count: int, name: str, run_s: float) -> None:
    entry = world.entries[0]
    for number in range(count):
        task = f"{name}{number}"
        submit_until_known(world, task, run_s, 1000, entry)
        threading.Event().wait(0.02 * number)
        cancel(world, task)


@when(parsers.parse('task "{task}" is cancelled'))
def cancel(world: World, task: str) -> None:
    entry = world.cluster[world.live_entry()]
    reply = world.cluster.http(entry, "DELETE", f"/tasks/{world.tasks[task]}")
    assert reply.status in (200, 202), reply
    world.notes.setdefault("cancelled", {})[task] = reply.document()


@when(parsers.parse('task "{task}" runs'))
def wait_runs(world: World, task: str) -> None:
    world.notes["first_run"] = world.wait_running(task)


@when(parsers.parse('task "{task}" runs elsewhere'))
def wait_runs_elsewhere(world: World, task: str) -> None:
    left = world.notes["left"]
    task_id = world.tasks[task]

    def poll() -> bool:
        return any(run["worker"] != left for run in world.intervals(task_id))

    wait_until(poll, f"{task} runs elsewhere")


@when(parsers.parse('the worker "{worker}" runs {count:d} tasks'))
def wait_worker_runs(world: World, worker: str, count: int) -> None:
    wait_until(lambda: count_running(world, worker) >= count, f"{worker} runs {count}")


@when(parsers.parse("the workers run {count:d} tasks"))
def wait_workers_run(world: World, count: int) -> None:
    wait_until(lambda: count_running(world) >= count, f"{count} tasks run")


def count_running(world: World, worker: str = "") -> int:
    runs = [run for run in world.intervals() if run["end"] is None]
    return sum(worker in ("", run["worker"]) for run in runs)


def wait_end(world: World, task: str) -> dict:
    entry = world.cluster[world.live_entry()]
    return world.cluster.wait_task(entry, world.tasks[task], TASK_LIMIT_S)


@then(parsers.parse('task "{task}" ends as "{state}"'))
def check_end(world: World, task: str, state: str) -> None:
    shown = wait_end(world, task)
    assert shown["state"] == state, shown
    if state == "finished":
        assert shown["result"] == f"result of {task}", shown


@then(parsers.parse('all tasks end as "{state}"'))
def check_all_end(world: World, state: str) -> None:
    for task in world.tasks:
        check_end(world, task, state)


@then(parsers.parse('task "{task}" has a reason that names "{text}"'))
def check_reason(world: World, task: str, text: str) -> None:
    assert text in wait_end(world, task)["reason"]


@then(parsers.parse('task "{task}" was finished once'))
def check_finished_once(world: World, task: str) -> None:
    ends = [run["ended"] for run in world.intervals(world.tasks[task])]
    assert ends.count("finished") == 1, ends


@then(parsers.parse('task "{task}" ran {count:d} times'))
def check_run_count(world: World, task: str, count: int) -> None:
    assert len(world.intervals(world.tasks[task])) == count


@then(parsers.parse('task "{task}" resumed from its checkpoint'))
def check_resumed(world: World, task: str) -> None:
    first, *later = world.intervals(world.tasks[task])
    assert later, "it was never resumed"
    assert later[0]["progress_from"] > 0, later
    assert later[0]["progress_from"] <= first["progress_to"], (first, later)


@then("all tasks resumed from a checkpoint")
def check_all_resumed(world: World) -> None:
    for task in world.tasks:
        check_resumed(world, task)


@then("no task ran in two places at once")
def check_one_place(world: World) -> None:
    by_task: dict[str, list[dict]] = {}
    for run in world.intervals():
        by_task.setdefault(run["task_id"], []).append(run)
    for task_id, runs in by_task.items():
        attempts = Counter(run["attempt"] for run in runs)
        assert max(attempts.values()) == 1, (task_id, runs)
        for earlier, later in zip(runs, runs[1:], strict=False):
            assert earlier["end"] is not None, (task_id, runs)
            assert earlier["end"] <= later["start"], (task_id, earlier, later)


@then("no worker was given more than its capacity")
def check_capacity(world: World) -> None:
    for worker in world.workers:
        record = world.cluster.record(world.cluster[f"worker-{worker}"])
        assert record["over_capacity"] == []


@then("every run was stopped, none was lost")
def check_all_stopped(world: World) -> None:
    def poll() -> bool:
        return count_running(world) == 0

    wait_until(poll, "no task runs any more")
    ends = {run["ended"] for run in world.intervals()}
    assert ends == {"stopped"}, ends


@then("every task ends as its worker's record says")
def check_cancel_results(world: World) -> None:
    for task, told in world.notes["cancelled"].items():
        shown = wait_end(world, task)
        ends = [run["ended"] for run in world.intervals(world.tasks[task])]
        if shown["state"] == "finished":
            assert "finished" in ends, (task, shown, ends)
        else:
            assert shown["state"] == "cancelled", (task, shown)
            assert "finished" not in ends, (task, shown, ends)
        if told["state"] in ("finished", "cancelled"):
            assert told["state"] == shown["state"], (told, shown)
