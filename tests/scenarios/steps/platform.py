"""When steps: the platform holds, refuses or does not answer calls of one kind.

A step waits until such a call has arrived, so that the next steps happen at exactly
that point of the work.
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
    """Return the stand-ins of a place; the runtime has one on each worker."""
    if place == "runtime":
        return [world.cluster[f"worker-{worker}"] for worker in world.workers]
    return [world.cluster["table" if place == "table" else "objects"]]


def set_all(world: World, place: str, switches: dict[str, Any]) -> None:
    for process in find_stand_ins(world, place):
        world.cluster.faults(process, **switches)


def count_met(world: World, process: Process) -> int:
    """Count the faulted calls of the operation that the scenario waits for."""
    met: dict[str, int] = world.cluster.record(process)["met"]
    awaited = world.notes["awaited"]
    return sum(count for name, count in met.items() if name.startswith(awaited))


@when(parsers.re(PLACE + rf'(?P<fault>{"|".join(FAULTS)}) "(?P<calls>[^"]+)"'))
def inject_call_faults(world: World, place: str, fault: str, calls: str) -> None:
    """Inject a fault into all calls whose operations start with one of ``calls``.

    The scenario waits for a call of the first operation only: the others may be calls
    that processes make all the time, such as polls of the profiles.
    """
    operations = calls.split(", ")
    world.notes["awaited"] = operations[0]
    stand_ins = find_stand_ins(world, place)
    world.notes["met"] = {p.name: count_met(world, p) for p in stand_ins}
    set_all(world, place, {**FAULTS[fault], "only": operations})


@when(parsers.re(PLACE + "has received such a call"))
def wait_met(world: World, place: str) -> None:
    before = world.notes["met"]

    def poll() -> str:
        for process in find_stand_ins(world, place):
            if count_met(world, process) > before[process.name]:
                return process.name
        return ""

    met = wait_until(poll, f"{place} receives a call")
    if place == "runtime":
        world.notes["waits"] = f"agent-{met.removeprefix('worker-')}"


@when(parsers.re(PLACE + "(?:works again|executes the held calls)"))
def clear_faults(world: World, place: str) -> None:
    set_all(world, place, CLEARED)


@when(parsers.re(PLACE + "drops the held calls"))
def drop_held(world: World, place: str) -> None:
    set_all(world, place, {"down": True, "frozen": False})
    for process in find_stand_ins(world, place):

        def poll(process: Process = process) -> bool:
            return not world.cluster.record(process)["held"]

        wait_until(poll, f"{process.name} holds no calls")
    clear_faults(world, place)


@when("the table has a claim")
def wait_claimed(world: World) -> None:
    def poll() -> bool:
        log = world.cluster.record(world.cluster["table"])["log"]
        return any(key.startswith("claim/") for event in log for key in event["keys"])

    wait_until(poll, "the table has a claim")


def waiting_agent(world: World) -> str:
    """Return the agent whose call is held, or which is being decommissioned."""
    return str(world.notes.get("waits") or world.notes["leaving"])


@when("the waiting agent is killed")
def kill_waiting(world: World) -> None:
    kill(world, waiting_agent(world))


@when("the waiting agent is started again")
def restart_waiting(world: World) -> None:
    start_agent(world, waiting_agent(world).removeprefix("agent-"))


@when("the waiting agent is frozen")
def freeze_waiting(world: World) -> None:
    world.notes["left"] = waiting_agent(world).removeprefix("agent-")
    freeze(world, waiting_agent(world))
