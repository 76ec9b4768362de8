"""The fault cases: how each fault is injected and how it ends."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from bench.fault_deployment import ENTRIES, SERVICE, WORKERS, Deployment

ENTRY = ENTRIES[0]
WORKER = WORKERS[0]
AGENT = f"agent-{WORKER}"
RUNNER = f"{SERVICE}-{WORKER}"
SLOW_S = 0.5
LOST_ANSWERS = 20
LOSS_PERIOD_S = 0.25
EXIT_LIMIT_S = 30.0

Step = Callable[[Deployment], None]


@dataclass(frozen=True, slots=True)
class Case:
    """One fault.

    :param inject: causes the fault.
    :param recover: ends the fault; None if it lasts or ends by itself.
    :param duration_s: from injection to recovery, seconds.
    :param relays: what is reached through relays, ``table`` or ``entries``.
    :param drain_s: how long to wait for tasks after the load ends, seconds.
    """

    name: str
    inject: Step
    recover: Step | None = None
    duration_s: float = 10.0
    quick_duration_s: float = 3.0
    relays: str = ""
    drain_s: float = 30.0

    def get_duration(self, quick: bool) -> float:
        """Return the time between injection and recovery, seconds."""
        return self.quick_duration_s if quick else self.duration_s


def kill(*names: str) -> Step:
    """Return a step that kills processes."""

    def step(deployment: Deployment) -> None:
        for name in names:
            deployment.cluster[name].kill()

    return step


def freeze(name: str) -> Step:
    """Return a step that freezes a process."""
    return lambda deployment: deployment.cluster[name].freeze()


def thaw(name: str) -> Step:
    """Return a step that resumes a frozen process."""
    return lambda deployment: deployment.cluster[name].thaw()


def set_faults(name: str, **switches: object) -> Step:
    """Return a step that sets fault switches of a stand-in for the platform."""

    def step(deployment: Deployment) -> None:
        deployment.cluster.faults(deployment.cluster[name], **switches)

    return step


def lose_answers_singly(deployment: Deployment) -> None:
    """Make the table lose the answer of one commit, repeatedly."""
    for _ in range(LOST_ANSWERS):
        deployment.cluster.faults(deployment.cluster["table"], lose_answers=1)
        time.sleep(LOSS_PERIOD_S)


def silence_links(deployment: Deployment) -> None:
    """Make the open links drop all bytes; new links work."""
    for name in ENTRIES:
        deployment.cluster.set_relay(
            deployment.relays[name], "silent", existing_only=True
        )


def set_table_relay(mode: str) -> Step:
    """Return a step that sets the mode of the relay between an entry and the table."""

    def step(deployment: Deployment) -> None:
        deployment.cluster.set_relay(deployment.relays[f"table-{ENTRY}"], mode)

    return step


def roll_everything(deployment: Deployment) -> None:
    """Restart each entry, agent and runner, one after the other."""
    for name in ENTRIES:
        stop(deployment, name)
        deployment.start_entry(name)
        deployment.wait_served()
    for worker in WORKERS:
        stop(deployment, f"agent-{worker}")
        deployment.start_agent(worker)
        deployment.wait_served()
    for worker in WORKERS:
        stop(deployment, f"{SERVICE}-{worker}")
        deployment.start_runner(worker)
        deployment.wait_served()


def stop(deployment: Deployment, name: str) -> None:
    """Terminate a process and wait until it has exited with status 0."""
    process = deployment.cluster[name]
    process.terminate()
    status = process.wait_end(EXIT_LIMIT_S)
    assert status == 0, f"{name} ended with {status}"


CASES = (
    Case(
        "worker lost",
        kill(f"worker-{WORKER}", AGENT, RUNNER),
        None,
        10.0,
        drain_s=110.0,
    ),
    Case("agent killed", kill(AGENT), lambda d: d.start_agent(WORKER), 5.0),
    Case("agent frozen", freeze(AGENT), thaw(AGENT), 8.0),
    Case("runner killed", kill(RUNNER), lambda d: d.start_runner(WORKER), 5.0),
    Case("entry killed", kill(ENTRY), lambda d: d.start_entry(ENTRY), 15.0),
    Case("entry frozen", freeze(ENTRY), thaw(ENTRY), 15.0),
    Case("links silent", silence_links, None, 5.0, relays="entries"),
    Case(
        "entry cut from table",
        set_table_relay("refuse"),
        set_table_relay("pass"),
        15.0,
        relays="table",
    ),
    Case("table down", set_faults("table", down=True), set_faults("table", down=False)),
    Case(
        "table slow",
        set_faults("table", slow_s=SLOW_S),
        set_faults("table", slow_s=0.0),
    ),
    Case("answers lost singly", lose_answers_singly, None, 5.0),
    Case(
        "answers lost in a row",
        set_faults("table", lose_answers=LOST_ANSWERS),
        None,
        5.0,
    ),
    Case(
        "objects down",
        set_faults("objects", down=True),
        set_faults("objects", down=False),
    ),
    Case("rolling restart", roll_everything, None, 0.0),
)
