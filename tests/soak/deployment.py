"""Entries and agents as processes, each on its own loopback address."""

from __future__ import annotations

import json
from dataclasses import fields
from pathlib import Path
from typing import Any

import curio
from curio.io import Socket

from pistachiodeal.config.deployment import FeatureSettings
from pistachiodeal.web.listener import bind_listener
from tests.harness.ports import reserve_port
from tests.harness.processes import Process
from tests.soak.platform import RunnerServer, StoreServer, TimedInvariantChecker
from tests.standins import base
from tests.standins.job_runner import MemoryRunner
from tests.standins.relay import Relay
from tests.standins.rows import RowsState, StoredRow
from tests.standins.stored_jobs import store_jobs

SERVICE = "svc"
PREFIX = "/soak/"
GRACE_S = 6.0
# A link of 4 Mbit/s, over which the rows of these jobs take four seconds.
SLOW_BYTES_S = 500_000.0
ENDED_JOBS = 800
ENTRY_MODULE = "pistachiodeal.jobentry"
AGENT_MODULE = "pistachiodeal.jobagent"


class Node:
    """One VM: its process, and the relays between it and the platform."""

    def __init__(self, name: str, module: str, settings: dict[str, Any], folder: Path):
        self.name = name
        self.module = module
        self.process: Process | None = None
        self.relays: list[Relay] = []
        self._folder = folder
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))

    @property
    def up(self) -> bool:
        """Return whether its process has not ended."""
        return self.process is not None and self.process.running

    def start(self) -> None:
        """Start or restart its process."""
        self.process = Process(
            self.name, self.module, ["--settings", str(self._path)], self._folder
        )

    def stop(self) -> None:
        """Kill its process, whatever state it is in."""
        if self.process is not None:
            self.process.clean_up()


class Deployment:
    """The stand-ins for the platform, and all nodes.

    :param slow_links: whether the entries have slow links to the store, which has the
        rows of many jobs that ended before.
    """

    def __init__(
        self,
        entries: int,
        agents: int,
        folder: Path,
        seed: int,
        *,
        slow_links: bool = False,
    ) -> None:
        self.state = RowsState()
        self.state.rng.seed(seed)
        self.checker = TimedInvariantChecker()
        self.runners = [
            MemoryRunner(f"w{number}", self.checker, 0.4, seed + number)
            for number in range(agents)
        ]
        for runner in self.runners:
            runner.same_id_share = 0.5
        self._folder = folder
        self._ports = {
            name: reserve_port() for name in ("peer", "front", "ready", "beat")
        }
        self._subnet = 2 + seed % 200
        self._hosts = [
            f"127.{self._subnet}.0.{1 + number}" for number in range(entries)
        ]
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self._version = 0
        self._slow_links = slow_links
        if slow_links:
            store_jobs(self.state, 0, ENDED_JOBS)
        self.configure()

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes."""
        return [*self.entries, *self.agents]

    def list_caller_addresses(self) -> list[str]:
        """Return the addresses at which callers reach the entries."""
        return [f"{host}:{self._ports['front']}" for host in self._hosts]

    def list_agent_addresses(self) -> list[str]:
        """Return the addresses at which agents accept heartbeats."""
        beat = self._ports["beat"]
        return [f"127.{self._subnet}.1.{1 + n}:{beat}" for n in range(len(self.agents))]

    def configure(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        # Callers use an entry's address as the host, so each entry needs its own route.
        routes = [
            {
                "name": f"queue-{number}",
                "host": host,
                "path_prefix": PREFIX,
                "service": SERVICE,
                "priority": 0,
                "attempts": 4,
                "stretch": 2.0 + self._version / 100,
                "target_latency_ms": 1000,
            }
            for number, host in enumerate(self._hosts)
        ]
        document = {"version": self._version, "routes": routes, "services": []}
        self.state.version += 1
        row = StoredRow("config", json.dumps(document).encode(), self.state.version)
        self.state.rows["op", "config"] = row
        self.state.changes.append(("op", row))

    async def start(self) -> None:
        """Start the stand-ins and then all processes."""
        store = await self._serve(StoreServer(self.state), base.HOST, reserve_port())
        for number, host in enumerate(self._hosts):
            node = await self._build_node(
                f"entry-{number}", ENTRY_MODULE, host, store, ""
            )
            if self._slow_links:
                node.relays[0].bytes_per_s = SLOW_BYTES_S
            self.entries.append(node)
        for number, runner in enumerate(self.runners):
            host = f"127.{self._subnet}.1.{1 + number}"
            server = RunnerServer(runner, f"{host}:{self._ports['beat']}")
            address = await self._serve(server, base.HOST, reserve_port())
            node = await self._build_node(
                f"agent-{number}", AGENT_MODULE, host, store, address
            )
            await curio.spawn(server.send_heartbeats, daemon=True)
            self.agents.append(node)
        for node in self.nodes:
            node.start()

    def stop(self) -> None:
        """Kill the processes of all nodes."""
        for node in self.nodes:
            node.stop()

    async def _serve(self, server: base.StandIn, host: str, port: int) -> str:
        sock = Socket(bind_listener(host, port))
        await curio.spawn(base.serve, server, sock, daemon=True)
        return f"{host}:{port}"

    async def _build_node(
        self, name: str, module: str, host: str, store: str, runner: str
    ) -> Node:
        relays = []
        for target in (store, runner):
            if target:
                relay = Relay(target, reserve_port())
                await relay.listen()
                relays.append(relay)
        seen = [f"{base.HOST}:{relay.port}" for relay in relays]
        settings = {
            "node": name,
            "host": host,
            "data_centre": "dc",
            "peer_ports": [self._ports["peer"], self._ports["peer"]],
            "seed_peers": [f"{peer}:{self._ports['beat']}" for peer in self._hosts],
            "peer_secret": "soak",
            "listen": {
                "callers": f"{host}:{self._ports['front']}",
                "readiness": f"{host}:{self._ports['ready']}",
                "runners": f"{host}:{self._ports['beat']}",
                "metrics_port": 0,
            },
            "store": {"address": seen[0]},
            "runner": seen[1] if runner else "",
            "limits": {"grace_s": GRACE_S},
            "features": {item.name: True for item in fields(FeatureSettings)},
        }
        node = Node(name, module, settings, self._folder)
        node.relays = relays
        return node
