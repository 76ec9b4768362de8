"""Steps for operators' changes of profiles, and where they take effect."""

from __future__ import annotations

import threading
import time

from pytest_bdd import parsers, then, when

from tests.harness import Reply
from tests.harness.waiting import wait_until
from tests.scenarios.world import PROFILE, SERVICE, World

FORCE_LIMIT_S = 8.0


def read_promise(world: World, entry: str) -> int:
    """Return the ``promised_ms`` that an entry applies to the service."""
    reply = world.cluster.operate(world.cluster[entry], "GET", "/-/status")
    in_force = reply.document()["policies"]
    return int(in_force.get(SERVICE, {}).get("promised_ms", 0))


def revise(
    world: World, entry: str, promise: int, tag: str = "", profile: str = PROFILE
) -> Reply:
    process = world.cluster[entry]
    target = f"/-/profiles/{profile}"
    if not tag:
        tag = world.cluster.operate(process, "GET", target).headers["etag"]
    document = {"name": profile, "promised_ms": promise}
    headers = {"if-match": tag}
    return world.cluster.operate(process, "PUT", target, document, headers)


@when(
    parsers.parse(
        'the profile "counter" is revised to promise {promise:d} ms through "{entry}"'
    )
)
def revise_through(world: World, promise: int, entry: str) -> None:
    started = time.monotonic()
    world.notes["revision"] = revise(world, entry, promise)
    world.notes["revision_s"] = time.monotonic() - started
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
    world.notes["replies"] = revise_at_once(world, tag, [PROFILE, PROFILE])


def revise_at_once(world: World, tag: str, profiles: list[str]) -> dict[int, Reply]:
    """Revise one profile through each entry; return the replies by ``promised_ms``."""
    replies: dict[int, Reply] = {}

    def run(name: str, promise: int, profile: str) -> None:
        replies[promise] = revise(world, name, promise, tag, profile)

    threads = [
        threading.Thread(target=run, args=(name, 600 + number, profile))
        for number, (name, profile) in enumerate(
            zip(world.entries, profiles, strict=True)
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


@then(
    parsers.parse(
        "two operators who revise different profiles at once both win, {count:d} times"
    )
)
def check_both_win(world: World, count: int) -> None:
    entry = world.cluster[world.entries[0]]
    profiles = [f"desk-{number}" for number in range(len(world.entries))]
    for profile in profiles:
        assert world.cluster.define_profile(entry, profile).status == 201
    for _ in range(count):
        listing = world.cluster.operate(entry, "GET", "/-/profiles")
        tag = listing.headers["etag"]
        replies = revise_at_once(world, tag, profiles)
        assert {reply.status for reply in replies.values()} == {200}, replies
        for name in world.entries:
            listing = world.cluster.operate(world.cluster[name], "GET", "/-/profiles")
            shown = {
                item["name"]: item["profile"]["promised_ms"]
                for item in listing.document()["profiles"]
            }
            found = [shown[profile] for profile in profiles]
            assert found == [600, 601], (name, shown)


@when("the agents' promises are recorded from now on")
def watch_agents(world: World) -> None:
    """Record every ``promised_ms`` that agents apply, polling without pause."""
    seen: set[int] = set()
    stop = threading.Event()

    def run() -> None:
        while not stop.is_set():
            seen.update(agent_promise(world, worker) for worker in world.workers)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    world.notes["watched"] = (seen, stop, thread)


@then("no agent went back to an earlier promise")
def check_watched(world: World) -> None:
    seen, stop, thread = world.notes["watched"]
    stop.set()
    thread.join()
    assert seen == {world.notes["promise"]}


def agent_promise(world: World, worker: str) -> int:
    """Return the ``promised_ms`` that an agent applies to the service."""
    agent = world.cluster[f"agent-{worker}"]
    shown = world.cluster.http(agent.address("announce"), "GET", "/status")
    in_force = shown.document()["policies"]
    return int(in_force.get(SERVICE, {}).get("promised_ms", 0))


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
        wait_until(
            lambda name=worker: agent_promise(world, name) == promise,
            f"the agent of {worker} applies {promise}",
            FORCE_LIMIT_S,
        )


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
def check_no_retired_profile_assigned(world: World) -> None:
    cluster = world.cluster
    entry = cluster[world.entries[0]]
    for name, replies in world.notes["outcomes"]:
        assigned = replies["assign"].status in (200, 201)
        retired = replies["retire"].status in (200, 204)
        assert not (assigned and retired), (name, replies)
        held = cluster.operate(entry, "GET", f"/-/services/service-{name}").status
        there = cluster.operate(entry, "GET", f"/-/profiles/{name}").status
        assert not (held == 200 and there == 404), (name, held, there)
