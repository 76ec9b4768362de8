"""When: the platform holds, refuses or does not answer calls of one kind.

A step waits until such a call has come in, so that what follows happens at that
very point of the work, and not a while before or after it.
"""

from __future__ import annotations

from typing import Any

from pytest_bdd import parsers, when

from tests.harness import Process
from tests.harness.waiting import wait_until
from tests.scenarios.steps.deployment import start_agent
from tests.scenarios.steps.faults import freeze, kill
from tests.scenarios.world import World

FAULTS: dict[str, dict[str, Any]] = {
    "holds": {"frozen": True},
    "holds the answers to": {"mute": True},
    "loses the answers to": {"lose_answers": 2},
    "refuses": {"down": True},
}
CLEARED = {"frozen": False, "mute": False, "down": False, "lose_answers": 0, "only": []}
PLACE = r"the (?P<place>table|object store|runtime) "


def find_stand_ins(world: World, place: str) -> list[Process]:
    """Return the stand-ins of a place; the runtime is one on each worker."""
    if place == "runtime":
        return [world.cluster[f"worker-{worker}"] for worker in world.workers]
    return [world.cluster["table" if place == "table" else "objects"]]


def set_all(world: World, place: str, switches: dict[str, Any]) -> None:
    for process in find_stand_ins(world, place):
        world.cluster.faults(process, **switches)


def count_met(world: World, process: Process) -> int:
    """Count the spoilt calls of the operation that the scenario waits for."""
    met: dict[str, int] = world.cluster.record(process)["met"]
    awaited = world.notes["awaited"]
    return sum(count for name, count in met.items() if name.startswith(awaited))


@when(parsers.re(PLACE + rf'(?P<fault>{"|".join(FAULTS)}) "(?P<calls>[^"]+)"'))
def inject_call_faults(world: World, place: str, fault: str, calls: str) -> None:
    """Spoil all calls whose operations begin with one of ``calls``.

    The scenario goes on when the first of them is met: the others may be calls that
    processes make all the time, such as their looks at the profiles.
    """
    operations = calls.split(", ")
    world.notes["awaited"] = operations[0]
    stand_ins = find_stand_ins(world, place)
    world.notes["met"] = {p.name: count_met(world, p) for p in stand_ins}
    set_all(world, place, {**FAULTS[fault], "only": operations})


@when(parsers.re(PLACE + "has met such a call"))
def wait_met(world: World, place: str) -> None:
    before = world.notes["met"]

    def poll() -> str:
        for process in find_stand_ins(world, place):
            if count_met(world, process) > before[process.name]:
                return process.name
        return ""

    met = wait_until(poll, f"{place} meets a call")
    if place == "runtime":
        world.notes["waits"] = f"agent-{met.removeprefix('worker-')}"


@when(parsers.re(PLACE + "(?:is well again|carries out what it held)"))
def clear_faults(world: World, place: str) -> None:
    set_all(world, place, CLEARED)


@when(parsers.re(PLACE + "drops what it held"))
def drop_held(world: World, place: str) -> None:
    set_all(world, place, {"down": True, "frozen": False})
    for process in find_stand_ins(world, place):

        def poll(process: Process = process) -> bool:
            return not world.cluster.record(process)["held"]

        wait_until(poll, f"{process.name} holds nothing")
    clear_faults(world, place)


@when("the table has a claim")
def wait_claimed(world: World) -> None:
    def poll() -> bool:
        log = world.cluster.record(world.cluster["table"])["log"]
        return any(key.startswith("claim/") for event in log for key in event["keys"])

    wait_until(poll, "a claim is in")


def waiting_agent(world: World) -> str:
    """Return the agent whose call was met, or which is leaving."""
    return str(world.notes.get("waits") or world.notes["leaving"])


@when("the agent that waits is killed")
def kill_waiting(world: World) -> None:
    kill(world, waiting_agent(world))


@when("the agent that waits is started again")
def restart_waiting(world: World) -> None:
    start_agent(world, waiting_agent(world).removeprefix("agent-"))


@when("the agent that waits is frozen")
def freeze_waiting(world: World) -> None:
    world.notes["left"] = waiting_agent(world).removeprefix("agent-")
    freeze(world, waiting_agent(world))
