"""Operators' changes of profiles, and where they are in force."""

from __future__ import annotations

import threading

from pytest_bdd import parsers, then, when

from tests.harness import Reply
from tests.harness.waiting import wait_until
from tests.scenarios.world import PROFILE, SERVICE, World

FORCE_LIMIT_S = 8.0


def read_promise(world: World, entry: str) -> int:
    """Return the promise that an entry applies to the service now."""
    reply = world.cluster.operate(world.cluster[entry], "GET", "/-/status")
    in_force = reply.document()["policies"]
    return int(in_force.get(SERVICE, {}).get("promised_ms", 0))


def revise(world: World, entry: str, promise: int, tag: str = "") -> Reply:
    process = world.cluster[entry]
    target = f"/-/profiles/{PROFILE}"
    if not tag:
        tag = world.cluster.operate(process, "GET", target).headers["etag"]
    document = {"name": PROFILE, "promised_ms": promise}
    headers = {"if-match": tag}
    return world.cluster.operate(process, "PUT", target, document, headers)


@when(
    parsers.parse(
        'the profile "counter" is revised to promise {promise:d} ms through "{entry}"'
    )
)
def revise_through(world: World, promise: int, entry: str) -> None:
    world.notes["revision"] = revise(world, entry, promise)
    world.notes["promise"] = promise


@then("the revision was accepted")
def check_accepted(world: World) -> None:
    assert world.notes["revision"].status == 200, world.notes["revision"]


@when(
    parsers.parse(
        'two operators revise the profile "counter" at the same version '
        "through both entries"
    )
)
def race_revisions(world: World) -> None:
    entry = world.cluster[world.entries[0]]
    tag = world.cluster.operate(entry, "GET", f"/-/profiles/{PROFILE}").headers["etag"]
    replies: dict[int, Reply] = {}

    def run(name: str, promise: int) -> None:
        replies[promise] = revise(world, name, promise, tag)

    threads = [
        threading.Thread(target=run, args=(name, 600 + number))
        for number, name in enumerate(world.entries)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.notes["replies"] = replies


@then("one of them wins and the other gets status 412")
def check_one_wins(world: World) -> None:
    replies = world.notes["replies"]
    statuses = sorted(reply.status for reply in replies.values())
    assert statuses == [200, 412]
    winner = [p for p, reply in replies.items() if reply.status == 200]
    world.notes["promise"] = winner[0]


@then("the winner's change is in force on every entry")
@then("the change is in force on every entry")
def check_on_entries(world: World) -> None:
    for name in world.entries:
        check_on_entry(world, name)


@then(parsers.parse('the change is in force on "{entry}"'))
@then(parsers.parse('the change is in force on "{entry}" through agents'))
def check_on_entry(world: World, entry: str) -> None:
    promise = world.notes["promise"]
    wait_until(
        lambda: read_promise(world, entry) == promise,
        f"{entry} applies {promise} ms",
        FORCE_LIMIT_S,
    )
    assert read_promise(world, entry) == promise


@when("the change is in force on every agent")
@then("the change is in force on every agent")
def check_on_agents(world: World) -> None:
    promise = world.notes["promise"]
    for worker in world.workers:
        agent = world.cluster[f"agent-{worker}"]

        def look(agent=agent) -> bool:
            shown = world.cluster.http(agent.address("announce"), "GET", "/status")
            in_force = shown.document()["policies"]
            return in_force.get(SERVICE, {}).get("promised_ms") == promise

        wait_until(look, f"the agent of {worker} applies {promise}", FORCE_LIMIT_S)


@when(
    parsers.parse(
        "operators assign and retire the same profile at once, {count:d} times"
    )
)
def race_assign_retire(world: World, count: int) -> None:
    cluster = world.cluster
    first, second = (cluster[name] for name in world.entries)
    outcomes = []
    for number in range(count):
        name = f"short-{number}"
        tag = cluster.define_profile(first, name).headers["etag"]
        replies: dict[str, Reply] = {}

        def assign(name=name, replies=replies) -> None:
            replies["assign"] = cluster.assign(first, f"service-{name}", name)

        def retire(name=name, tag=tag, replies=replies) -> None:
            headers = {"if-match": tag}
            target = f"/-/profiles/{name}"
            replies["retire"] = cluster.operate(second, "DELETE", target, None, headers)

        threads = [threading.Thread(target=assign), threading.Thread(target=retire)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outcomes.append((name, replies))
    world.notes["outcomes"] = outcomes


@then("no service holds a profile that is gone")
def check_no_dangling(world: World) -> None:
    cluster = world.cluster
    entry = cluster[world.entries[0]]
    for name, replies in world.notes["outcomes"]:
        assigned = replies["assign"].status in (200, 201)
        retired = replies["retire"].status in (200, 204)
        assert not (assigned and retired), (name, replies)
        held = cluster.operate(entry, "GET", f"/-/services/service-{name}").status
        there = cluster.operate(entry, "GET", f"/-/profiles/{name}").status
        assert not (held == 200 and there == 404), (name, held, there)
