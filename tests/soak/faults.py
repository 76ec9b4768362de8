"""Injects faults into processes, links, the store and runners of the soak test."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import curio

from tests.soak.deployment import GRACE_S, Deployment, Node
from tests.standins.job_runner import RunnerFaults
from tests.standins.rows import StoreFaults

Fault = Callable[[], Awaitable[None]]

MAX_FAULT_S = 4.0
RESTART_S = 0.6
STORE_MODES = ("silent", "cut", "refuse")
# For how long the runner of a restarted VM is away; the longest is for good.
RUNNER_AWAY_S = (1.0, 5.0, 1_000.0)
# How often a VM restarts, compared with any other fault.
VM_WEIGHT = 4
# A runner listens on its agent's own VM, so connections are refused only after it has
# ended. A running runner that refuses them would be taken for gone, and its tasks would
# run twice.
RUNNER_MODES = ("silent", "cut")


class FaultInjector:
    """Injects random faults of all kinds, some of them at the same time.

    :param with_vms: whether VMs restart without their runner as well.
    """

    def __init__(
        self, deployment: Deployment, rng: random.Random, *, with_vms: bool = False
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._with_vms = with_vms
        self._busy: set[str] = set()
        self.log: list[str] = []

    async def run(self, until: Callable[[], bool]) -> None:
        """Start random faults until ``until`` returns true; some of them overlap."""
        async with curio.TaskGroup() as group:
            while not until():
                fault = self._rng.choice(self._list_kinds())
                await group.spawn(fault)
                await curio.sleep(self._rng.uniform(0.1, 1.5))

    async def clear_all(self) -> None:
        """End all faults, and start the processes that are down."""
        state = self._deployment.state
        state.faults = StoreFaults()
        for runner in self._deployment.runners:
            runner.faults = RunnerFaults()
        for node in self._deployment.nodes:
            for relay in node.relays:
                await relay.set_mode("pass", existing_only=False)
            if not node.up:
                node.start()

    def _list_kinds(self) -> list[Fault]:
        kinds = [
            self._kill,
            self._freeze,
            self._terminate,
            self._fault_store,
            self._fault_link,
            self._fault_runner,
            self._crash_runner,
            self._change_configuration,
        ]
        return kinds + [self._restart_vm] * VM_WEIGHT * self._with_vms

    def _pick_node(self) -> Node | None:
        free = [
            node
            for node in self._deployment.nodes
            if node.name not in self._busy and node.up
        ]
        return self._rng.choice(free) if free else None

    async def _sustain(self, name: str, what: str) -> None:
        """Log a fault, and wait for a random duration."""
        for_s = self._rng.uniform(0.3, MAX_FAULT_S)
        self.log.append(f"{what} {name} {for_s:.1f} s")
        await curio.sleep(for_s)

    async def _kill(self) -> None:
        node = self._pick_node()
        if node is None or node.process is None:
            return
        self._busy.add(node.name)
        node.process.kill()
        self.log.append(f"kill {node.name}")
        await curio.sleep(self._rng.uniform(0.1, RESTART_S))
        node.start()
        self._busy.discard(node.name)

    async def _freeze(self) -> None:
        node = self._pick_node()
        if node is None or node.process is None:
            return
        self._busy.add(node.name)
        node.process.freeze()
        await self._sustain(node.name, "freeze")
        node.process.thaw()
        self._busy.discard(node.name)

    async def _terminate(self) -> None:
        node = self._pick_node()
        if node is None or node.process is None:
            return
        self._busy.add(node.name)
        self.log.append(f"terminate {node.name}")
        node.process.terminate()
        await curio.ignore_after(GRACE_S, _wait_down, node)
        node.stop()
        node.start()
        self._busy.discard(node.name)

    async def _fault_store(self) -> None:
        if "store" in self._busy:
            return
        self._busy.add("store")
        kind, faults = self._rng.choice(
            [
                ("down", StoreFaults(down=True)),
                ("silent", StoreFaults(silent=True)),
                ("lost", StoreFaults(lost=0.3)),
                ("late", StoreFaults(late=0.3, late_s=2.0)),
                ("slow", StoreFaults(slow_s=0.25)),
            ]
        )
        self._deployment.state.faults = faults
        if self._rng.random() < 0.3:
            self._deployment.state.drop_history()
        await self._sustain("store", kind)
        self._deployment.state.faults = StoreFaults()
        self._busy.discard("store")

    async def _fault_link(self) -> None:
        node = self._rng.choice(self._deployment.nodes)
        relay = self._rng.choice(node.relays)
        name = f"relay {relay.port}"
        if name in self._busy:
            return
        self._busy.add(name)
        modes = STORE_MODES if relay is node.relays[0] else RUNNER_MODES
        mode = self._rng.choice(modes)
        await relay.set_mode(mode, existing_only=self._rng.random() < 0.5)
        await self._sustain(f"{node.name} {name}", mode)
        await relay.set_mode("pass", existing_only=False)
        self._busy.discard(name)

    async def _fault_runner(self) -> None:
        runner = self._rng.choice(self._deployment.runners)
        if runner.worker in self._busy:
            return
        runner.faults = self._rng.choice(
            [RunnerFaults(late=0.3, late_s=2.0), RunnerFaults(lost=0.3)]
        )
        await self._sustain(runner.worker, "orders late or lost")
        runner.faults = RunnerFaults()

    async def _crash_runner(self) -> None:
        runner = self._rng.choice(self._deployment.runners)
        self.log.append(f"crash {runner.worker}")
        runner.crash()

    async def _restart_vm(self) -> None:
        """Restart a VM; its agent is back before its runner, or without it."""
        agents = self._deployment.agents
        number = self._rng.randrange(len(agents))
        node, runner = agents[number], self._deployment.runners[number]
        if "vm" in self._busy or node.name in self._busy or node.process is None:
            return
        self._busy |= {"vm", node.name}
        away_s = self._rng.choice(RUNNER_AWAY_S)
        self.log.append(f"restart the VM of {node.name}, runner away {away_s:.0f} s")
        runner.faults = RunnerFaults(down_s=away_s)
        runner.crash()
        runner.faults = RunnerFaults()
        node.process.kill()
        await curio.sleep(self._rng.uniform(0.1, RESTART_S))
        node.start()
        self._busy.discard(node.name)
        # At most one runner is lost for good.
        if away_s < max(RUNNER_AWAY_S):
            await curio.sleep(away_s)
            self._busy.discard("vm")

    async def _change_configuration(self) -> None:
        self.log.append("configure")
        self._deployment.configure()


async def _wait_down(node: Node) -> None:
    while node.up:
        await curio.sleep(0.05)
