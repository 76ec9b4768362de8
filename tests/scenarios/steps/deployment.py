"""Given steps: entries, workers, agents, runners and profiles."""

from __future__ import annotations

import time
from collections.abc import Callable

from pytest_bdd import given, parsers

from tests.harness.calls import Reply
from tests.harness.cluster import get_address
from tests.harness.documents import PARTITIONS
from tests.harness.waiting import wait_until
from tests.scenarios.world import BATCH_PROFILE, PROFILE, SERVICE, World

SHAPE = (
    r"(?P<entries>\d+) entr(?:y|ies) and (?P<workers>\d+) workers?"
    r"(?: of (?P<cores>\d+) cores)? with (?P<slots>\d+) slots?"
    r"(?:, with relays to the (?P<relays>table and entries|table|entries))?"
    r"(?P<apart>, each agent linked to one entry)?"
)
TASK_LEASE_S = 2.0
# More refusals than this mean that the set-up itself is faulty.
SETUP_TRIES = 10


@given(parsers.re(SHAPE))
def deploy(
    world: World,
    entries: str,
    workers: str,
    cores: str,
    slots: str,
    relays: str,
    apart: str,
) -> None:
    cluster = world.cluster
    cluster.start_table()
    cluster.start_objects()
    world.entries = [f"e{number + 1}" for number in range(int(entries))]
    world.workers = [f"w{number + 1}" for number in range(int(workers))]
    places = {}
    if apart:
        # An agent's only link goes to an entry of its own data centre.
        names = [*world.entries, *world.workers]
        places = {name: {"data_centre": f"dc{name[1:]}"} for name in names}
    for name in world.entries:
        start_entry(world, name, relays or "", **places.get(name, {}))
    for name in world.workers:
        cluster.start_worker(name, cpu_milli=int(cores or 16) * 1000)
        links = {"entry_links": 1} if apart else {}
        start_agent(world, name, **links, **places.get(name, {}))
        start_runner(world, name, int(slots))
    define_profiles(world)
    for name in world.entries:
        wait_served(world, name, 1 if apart else len(world.workers))
    wait_owned(world)


def start_entry(world: World, name: str, relays: str = "", **overrides: object) -> None:
    cluster = world.cluster
    table = None
    if "table" in relays and f"table-{name}" not in world.relays:
        relay = cluster.start_relay(cluster["table"], name=f"relay-table-{name}")
        world.relays[f"table-{name}"] = relay
    if "entries" in relays and name not in world.relays:
        # The entry advertises the relay's address to its peers, and the relay needs the
        # entry's port, so the entry is started once to learn its port.
        entry = cluster.start_entry(name)
        relay = cluster.start_relay(entry, "internal", name=f"relay-entry-{name}")
        world.relays[name] = relay
        entry.kill()
    if f"table-{name}" in world.relays:
        table = world.relays[f"table-{name}"]
    if name in world.relays:
        overrides["internal"] = {"advertise": get_address(world.relays[name])}
    cluster.start_entry(name, table, **overrides)


def start_agent(world: World, worker: str, **overrides: object) -> None:
    entries = [world.relays.get(name, world.cluster[name]) for name in world.entries]
    process = world.cluster[f"worker-{worker}"]
    world.cluster.start_agent(worker, process, entries, **overrides)


def start_runner(world: World, worker: str, slots: int) -> None:
    world.notes["slots"] = slots
    agent = world.cluster[f"agent-{worker}"]
    world.cluster.start_runner(SERVICE, agent, f"{SERVICE}-{worker}", slots=slots)


def define_profiles(world: World) -> None:
    cluster = world.cluster
    entry = cluster[world.entries[0]]
    follow_retry_after(lambda: cluster.define_profile(entry, PROFILE, promised_ms=500))
    follow_retry_after(
        lambda: cluster.define_profile(
            entry,
            BATCH_PROFILE,
            latency_critical=False,
            task_lease_s=TASK_LEASE_S,
            min_run_s=0.0,
        )
    )
    follow_retry_after(lambda: cluster.assign(entry, SERVICE, PROFILE))


def follow_retry_after(change: Callable[[], Reply]) -> None:
    """Make a change of the set-up, and retry it after ``Retry-After`` as operators do.

    Only an answer with the outcome "not_run" and a time for the retry is retried; any
    other answer but success fails the scenario at once.
    """
    for _ in range(SETUP_TRIES):
        reply = change()
        if reply.status in (200, 201):
            return
        problem = reply.document()
        assert reply.outcome == "not_run", reply
        assert "retry_after_ms" in problem, reply
        time.sleep(problem["retry_after_ms"] / 1000)
    raise AssertionError(reply)


def wait_owned(world: World) -> None:
    """Wait until each partition is with its intended owner.

    The first entry takes all partitions and hands some over to the others a little
    later. A task that arrives during the handover is refused.
    """
    cluster = world.cluster

    def poll() -> bool:
        shares = []
        versions = set()
        for name in world.entries:
            status = cluster.operate(cluster[name], "GET", "/-/status").document()
            versions.add(status["profiles_version"])
            held = status["batch"]["partitions"].values()
            shares.append(sum(partition["authority"] for partition in held))
        return all(shares) and sum(shares) == PARTITIONS and len(versions) == 1

    wait_until(poll, "each entry owns its partitions")
    for name in world.entries:
        for partition in range(PARTITIONS):
            unknown = f"/tasks/{partition:04d}-{'0' * 32}"
            cluster.wait_reply(cluster[name], unknown, 404)


def wait_served(world: World, entry: str, workers: int) -> None:
    """Wait until an entry sees every worker and answers requests."""

    def poll() -> bool:
        status = world.cluster.operate(world.cluster[entry], "GET", "/-/status")
        seen = status.document()["agents"]
        serving = [agent for agent in seen if agent["services"]]
        return len(serving) >= workers

    wait_until(poll, f"{entry} sees {workers} workers with runners")
    world.cluster.wait_reply(world.cluster[entry], f"/{SERVICE}/ready")
