"""Steps for requests that need the store during an outage, and for the recovery."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from pytest_bdd import parsers, then, when

from tests.harness import Reply
from tests.scenarios.steps.callers import send
from tests.scenarios.steps.tasks import submit_until_known
from tests.scenarios.world import DEADLINE_MS, World

AT_ONCE_S = DEADLINE_MS / 1000 / 4
WAITING_S = 0.3
WORK_ROWS = ("claim/", "journal/")
WAITING_MILLI = 100
# A task is accepted, started and finished; a key is claimed and its answer recorded.
CHANGES_A_TASK = 3
CHANGES_A_KEY = 2


def check_refused_quickly(reply: Reply, took_s: float) -> None:
    assert reply.status == 503, reply
    assert reply.outcome == "not_run", reply
    assert int(reply.headers["retry-after"]) >= 1, reply
    assert took_s < AT_ONCE_S


@then(
    "a key, a task and a profile change are each refused at once "
    "with a Retry-After time"
)
def check_refused_at_once(world: World) -> None:
    entry = world.live_entry()
    sent = world.send("outage", "POST", "/orders/a", entry, idempotency_key="outage")
    check_refused_quickly(sent.answer(), sent.took_s)
    assert world.executions(key="outage") == []
    process = world.cluster[entry]
    name = "outage-profile"
    for act in (
        lambda: world.cluster.submit_task(process, "outage"),
        lambda: world.cluster.define_profile(process, name),
    ):
        started = time.monotonic()
        check_refused_quickly(act(), time.monotonic() - started)


@when(
    parsers.parse(
        "{count:d} callers with tasks and {keys:d} with keys ask until the table is up"
    )
)
def ask_until_up(world: World, count: int, keys: int) -> None:
    """Start callers that retry until they are served."""

    def ask_for_task(number: int) -> None:
        entry = world.entries[number % len(world.entries)]
        submit_until_known(world, f"b{number}", WAITING_S, WAITING_MILLI, entry)

    def ask_with_key(number: int) -> None:
        entry = world.entries[number % len(world.entries)]
        name, key = f"asked{number}", f"asked{number}"
        send(world, name, "POST", "/orders/a", key, "", entry, " until it runs")

    threads = [
        threading.Thread(target=act, args=(number,), daemon=True)
        for act, callers in ((ask_for_task, count), (ask_with_key, keys))
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    world.notes["asking"] = (threads, count, keys)


@when("every one of them was refused")
def wait_all_refused(world: World) -> None:
    threads, count, keys = world.notes["asking"]
    while len(world.submissions) < count or len(world.sent) < keys:
        assert all(thread.is_alive() for thread in threads)
        time.sleep(0.01)
    for reply in list(world.submissions.values()):
        assert reply.outcome == "not_run", reply
    world.notes["up_at"] = time.monotonic()


@then("each of them was served exactly once")
def check_served_once(world: World) -> None:
    threads, count, keys = world.notes["asking"]
    for thread in threads:
        thread.join(60)
        assert not thread.is_alive()
    assert len(set(world.tasks.values())) == count
    for number in range(keys):
        assert world.sent[f"asked{number}"].answer().status == 200
        assert len(world.executions(key=f"asked{number}")) == 1


@then(
    parsers.parse(
        "the table saw fewer commits than callers in any second after it, "
        "half as many as changes, and at most {commits:d} in any {window:d} ms"
    )
)
def check_no_burst(world: World, commits: int, window: int) -> None:
    _, count, keys = world.notes["asking"]
    log = world.cluster.record(world.cluster["table"])["log"]
    committed = [
        event
        for event in log
        if event["at"] >= world.notes["up_at"]
        and any(key.startswith(WORK_ROWS) for key in event["keys"])
    ]
    moments = [event["at"] for event in committed]
    most = count_most(moments, window / 1000)
    seen = describe_commits(committed, world.notes["up_at"])
    changes = count * CHANGES_A_TASK + keys * CHANGES_A_KEY
    assert count_most(moments, 1.0) < count + keys, seen
    assert 2 * len(committed) < changes, seen
    assert most <= commits, (most, seen)


def describe_commits(committed: list[dict[str, Any]], since: float) -> str:
    """Return the number of commits by second and kind of row."""
    kinds = Counter(
        (int(event["at"] - since), "/".join(event["keys"][0].split("/")[:2]))
        for event in committed
    )
    return f"{len(committed)} commits, by second and kind: {sorted(kinds.items())}"


def count_most(moments: Iterable[float], window_s: float) -> int:
    """Return the largest number of moments within any window of this length."""
    found = sorted(moments)
    return max(
        sum(first <= other < first + window_s for other in found) for first in found
    )


@then("no task was started more than once")
def check_starts(world: World) -> None:
    starts = Counter(run["task_id"] for run in world.intervals())
    assert max(starts.values()) == 1, starts
