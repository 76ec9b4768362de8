"""When steps: killed, frozen and stopped processes, faulty stand-ins and relays."""

from __future__ import annotations

import os
import signal

from pytest_bdd import parsers, then, when

from tests.harness import Process
from tests.harness.waiting import wait_until
from tests.scenarios.steps.deployment import (
    start_agent,
    start_entry,
    wait_served,
)
from tests.scenarios.world import SERVICE, World

ROWS = {"journals": "commit/journal", "claims": "commit/claim"}
ROWS["profiles"] = "commit/profiles"


def mark_halted(world: World, *names: str) -> None:
    world.notes.setdefault("halted", set()).update(names)


def freeze(world: World, *names: str) -> None:
    for name in names:
        world.cluster[name].freeze()
    mark_halted(world, *names)
    world.notes["frozen"] = names


def kill(world: World, *names: str) -> None:
    for name in names:
        world.cluster[name].kill()
    mark_halted(world, *names)


def thaw(world: World) -> None:
    for name in world.notes["frozen"]:
        world.cluster[name].thaw()
    world.notes["halted"].difference_update(world.notes["frozen"])


@when(parsers.parse('the agent of "{worker}" is killed'))
def kill_agent(world: World, worker: str) -> None:
    kill(world, f"agent-{worker}")


@when(parsers.parse('the agent of "{worker}" is frozen'))
def freeze_agent(world: World, worker: str) -> None:
    freeze(world, f"agent-{worker}")


@when(parsers.parse('the agent of "{worker}" is started'))
def restart_agent(world: World, worker: str) -> None:
    start_agent(world, worker)


@when(parsers.parse('the agent of "{worker}" is asked to stop'))
def stop_agent(world: World, worker: str) -> None:
    world.cluster[f"agent-{worker}"].terminate()
    mark_halted(world, f"agent-{worker}")


@when(parsers.parse('the runner of "{worker}" is asked to stop'))
def stop_runner(world: World, worker: str) -> None:
    world.cluster[f"{SERVICE}-{worker}"].terminate()


@when(parsers.parse('a second agent is started on "{worker}"'))
def start_second_agent(world: World, worker: str) -> None:
    cluster = world.cluster
    # A second node on the same worker's runtime, like a replacement that was started
    # while the first agent was considered dead.
    entries = [cluster[name] for name in world.entries]
    runtime = cluster[f"worker-{worker}"]
    cluster.start_agent(worker, runtime, entries, node=f"agent-{worker}-second")


@then(parsers.parse('the first agent of "{worker}" ends'))
def first_agent_ends(world: World, worker: str) -> None:
    world.cluster[f"agent-{worker}"].wait_end()


@when('the agent that runs task "t" is frozen')
def freeze_agent_of_task(world: World) -> None:
    run = world.wait_running("t")
    world.notes["left"] = run["worker"]
    freeze(world, f"agent-{run['worker']}")


@when('the worker and agent that run task "t" are frozen')
def freeze_worker_of_task(world: World) -> None:
    run = world.wait_running("t")
    world.notes["left"] = run["worker"]
    freeze(world, f"agent-{run['worker']}", f"worker-{run['worker']}")


@when('the worker and agent that run task "t" are killed')
def kill_worker_of_task(world: World) -> None:
    run = world.wait_running("t")
    kill(world, f"agent-{run['worker']}", f"worker-{run['worker']}")
    world.cluster[f"{SERVICE}-{run['worker']}"].kill()


@when("the agents are frozen")
def freeze_agents(world: World) -> None:
    freeze(world, *[f"agent-{worker}" for worker in world.workers])


@when(parsers.parse('the link between "{entry}" and {peers} is {mode}'))
def set_links(world: World, entry: str, peers: str, mode: str) -> None:
    relay = world.relays[f"table-{entry}" if peers == "the table" else entry]
    modes = {"silent": "silent", "cut": "refuse", "back": "pass"}
    world.cluster.set_relay(relay, modes[mode])


@when("the frozen agents are thawed")
@when("the frozen agent is thawed")
@when("the frozen worker and agent are thawed")
@when("the frozen entry is thawed")
def thaw_frozen(world: World) -> None:
    thaw(world)


@when('the entry that owns task "t" is killed')
def kill_owner(world: World) -> None:
    kill(world, world.owner("t"))


@when('the entry that owns task "t" is frozen')
def freeze_owner(world: World) -> None:
    owner = world.owner("t")
    world.notes["owner"] = owner
    freeze(world, owner)


@when('the owner of task "t" is cut off from the table')
def cut_owner(world: World) -> None:
    owner = world.owner("t")
    world.notes["owner"] = owner
    world.notes.setdefault("cut", []).append(owner)
    world.cluster.set_relay(world.relays[f"table-{owner}"], "refuse")
    mark_halted(world, owner)


@when("the cut entry reaches the table again")
def reconnect_owner(world: World) -> None:
    # If several entries are cut off, the one that was cut off first.
    owner = world.notes["cut"].pop(0)
    world.cluster.set_relay(world.relays[f"table-{owner}"], "pass")
    world.notes["halted"].discard(owner)


@when('another entry owns task "t"')
def wait_new_owner(world: World) -> None:
    before = world.notes["owner"]
    wait_until(lambda: world.owner("t") not in ("", before), "another entry owns t")


@when('the agent that serves "cut" is killed')
def kill_serving_agent(world: World) -> None:
    runner = world.executions(case="cut")[0]["runner"]
    kill(world, "agent-" + runner.removeprefix(f"{SERVICE}-"))


@when(parsers.parse('entry "{entry}" is killed'))
def kill_entry(world: World, entry: str) -> None:
    kill(world, entry)


@when(parsers.parse('entry "{entry}" is started'))
def restart_entry(world: World, entry: str) -> None:
    start_entry(world, entry)
    world.notes.get("halted", set()).discard(entry)


@when(parsers.parse('entry "{entry}" is asked to stop'))
def stop_entry(world: World, entry: str) -> None:
    world.cluster[entry].terminate()
    mark_halted(world, entry)


@when(parsers.parse('entry "{entry}" has ended with status {status:d}'))
@then(parsers.parse('entry "{entry}" has ended with status {status:d}'))
def entry_has_ended(world: World, entry: str, status: int) -> None:
    assert world.cluster[entry].wait_end() == status


@when(parsers.parse('the agent of "{worker}" has ended with status {status:d}'))
def agent_has_ended(world: World, worker: str, status: int) -> None:
    assert world.cluster[f"agent-{worker}"].wait_end() == status


@then(parsers.parse('entry "{entry}" has ended'))
def entry_is_gone(world: World, entry: str) -> None:
    world.cluster[entry].wait_end()


@when(parsers.parse('entry "{entry}" has logged "{text}"'))
def entry_has_logged(world: World, entry: str, text: str) -> None:
    world.cluster[entry].wait_log(text)


@then(parsers.parse('the agent of "{worker}" has logged "{text}"'))
def agent_has_logged(world: World, worker: str, text: str) -> None:
    world.cluster[f"agent-{worker}"].wait_log(text)


@when("each entry and agent is stopped and started, one after the other")
def restart_all(world: World) -> None:
    cluster = world.cluster
    for name in world.entries:
        cluster[name].terminate()
        assert cluster[name].wait_end() == 0
        start_entry(world, name)
        wait_served(world, name, len(world.workers))
    for worker in world.workers:
        cluster[f"agent-{worker}"].terminate()
        assert cluster[f"agent-{worker}"].wait_end() == 0
        start_agent(world, worker)
        for name in world.entries:
            wait_served(world, name, len(world.workers))


@when(parsers.re(r"the (?P<store>table|object store) is (?P<state>down|up|frozen)"))
def set_store(world: World, store: str, state: str) -> None:
    process = find_store(world, store)
    switches = {"down": state == "down", "frozen": state == "frozen"}
    world.cluster.faults(process, **switches, only=[])


@when(parsers.parse("the table is slow by {seconds:d} s"))
def slow_table(world: World, seconds: int) -> None:
    world.cluster.faults(world.cluster["table"], slow_s=float(seconds))


@when(
    parsers.parse("the table loses the answers of the next {count:d} commits on {rows}")
)
def lose_answers(world: World, count: int, rows: str) -> None:
    switches = {"lose_answers": count, "only": [ROWS[rows]]}
    world.cluster.faults(world.cluster["table"], **switches)


@when(parsers.parse('the worker "{worker}" fails everything it starts'))
def break_worker(world: World, worker: str) -> None:
    world.cluster.faults(world.cluster[f"worker-{worker}"], fail_all=True)


@when('the worker that runs task "t" is decommissioned')
def decommission_worker(world: World) -> None:
    run = world.wait_running("t")
    agent = world.cluster[f"agent-{run['worker']}"]
    world.notes["leaving"] = f"agent-{run['worker']}"
    signal_process(agent, signal.SIGUSR1)


@when("the leaving agent is killed")
def kill_leaving(world: World) -> None:
    world.cluster[world.notes["leaving"]].wait_log("is decommissioned")
    kill(world, world.notes["leaving"])


@when(parsers.parse("all links are cut {count:d} times"))
def cut_links(world: World, count: int) -> None:
    assert world.load is not None
    for _ in range(count):
        complete = world.load.tally.complete
        for name in world.entries:
            world.cluster.set_relay(world.relays[name], "cut")
        wait_until(
            lambda w=complete: world.load.tally.complete > w + 20, "answers again"
        )


@when(parsers.parse('the oldest link to "{entry}" goes silent'))
def silence_oldest(world: World, entry: str) -> None:
    world.cluster.set_relay(world.relays[entry], "silent", oldest=1)


@when(parsers.parse('entry "{entry}" sees {count:d} workers'))
def entry_sees(world: World, entry: str, count: int) -> None:
    wait_served(world, entry, count)


@when("the existing links go silent")
def silence_links(world: World) -> None:
    for name in world.entries:
        world.cluster.set_relay(world.relays[name], "silent", existing_only=True)


def find_store(world: World, store: str) -> Process:
    return world.cluster["table" if store == "table" else "objects"]


def signal_process(process: Process, number: int) -> None:
    os.kill(process.pid, number)
