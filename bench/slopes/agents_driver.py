"""Holds many agents' links to one entry in one process, and sends real reports."""

from __future__ import annotations

import argparse
import json
import random
import socket
import struct
import time
from collections import Counter

import curio

from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.messages import Report, ServiceLoad
from pistachiodeal.wire.opening import dial_link
from pistachiodeal.wire.task_messages import Start, TaskEnded, TaskRef
from tests.harness.documents import SECRET

CAPACITY = Resources(16_000_000, 60_000_000, 0)
RACKS = 20
STATS_S = 0.25
MAX_CONCURRENT_DIALS = 64


class FakeAgent:
    """One agent link; started tasks are held as running or ended at once."""

    def __init__(self, number: int, options: argparse.Namespace) -> None:
        self._options = options
        self._name = f"w{options.first + number}"
        self._rack = f"rack{number % RACKS}"
        self._prefix = "shared" if options.shared else f"service-{self._name}"
        self._beat = 0
        self._refs: dict[str, TaskRef] = {}
        self.link: Link | None = None
        self.counts: Counter[str] = Counter()

    async def run(self, linked: curio.Event, dials: curio.Semaphore) -> None:
        """Open the link and serve it until cancelled."""
        identity = Identity(
            "agent", f"agent-{self._name}", 1, "dc1", self._name, self._rack
        )
        address = self._options.address
        timings = LinkTimings(handshake_s=30.0)
        await dials.acquire()
        async with dial_link(address, identity, SECRET, timings) as link:
            await dials.release()
            self.link = link
            await linked.set()
            await curio.spawn(self._report, link, daemon=True)
            while True:
                await self._receive(link, await link.receive())

    async def _report(self, link: Link) -> None:
        period = self._options.report_s
        await curio.sleep(random.uniform(0, period))
        while True:
            self._beat += 1
            await link.send(self._build_report())
            self.counts["reports"] += 1
            await curio.sleep(period)

    def _build_report(self) -> Report:
        loads = tuple(
            ServiceLoad(f"{self._prefix}-{n}", 8, 3, 0, 5_000)
            for n in range(self._options.services)
        )
        refs = tuple(self._refs.values())
        free = Resources() if self._options.full else CAPACITY
        return Report(self._beat, False, CAPACITY, free, loads, refs)

    async def _receive(self, link: Link, message: object) -> None:
        self.counts[type(message).__name__] += 1
        if not isinstance(message, Start):
            return
        name = message.task_id
        if self._options.hold:
            self._refs[name] = TaskRef(name, message.attempt, message.epoch)
            return
        ended = TaskEnded(name, message.attempt, "finished", "", "", Resources(), 500)
        await link.send(ended)


def count_bytes(link: Link) -> tuple[int, int]:
    """Return the bytes that a connection has sent and received."""
    info = link._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136)
    acked, received = struct.unpack_from("QQ", info, 120)
    return acked, received


async def run_driver(options: argparse.Namespace) -> None:
    """Hold the links until the process is killed; print counts periodically."""
    agents = [FakeAgent(n, options) for n in range(options.links)]
    dials = curio.Semaphore(MAX_CONCURRENT_DIALS)
    for agent in agents:
        await curio.spawn(agent.run, curio.Event(), dials, daemon=True)
    while any(agent.link is None for agent in agents):
        await curio.sleep(0.02)
    print("linked", len(agents), flush=True)
    while True:
        await curio.sleep(STATS_S)
        total: Counter[str] = Counter()
        for agent in agents:
            total.update(agent.counts)
            assert agent.link is not None
            sent, received = count_bytes(agent.link)
            total.update(sent=sent, received=received)
        print("stats", json.dumps({"at": time.monotonic(), **total}), flush=True)


def main() -> None:
    """Run the driver."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--links", type=int, required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--services", type=int, default=0)
    parser.add_argument("--report-s", type=float, default=0.5)
    parser.add_argument("--shared", action="store_true", help="the same services")
    parser.add_argument("--hold", action="store_true")
    parser.add_argument("--full", action="store_true")
    curio.run(run_driver(parser.parse_args()))


if __name__ == "__main__":
    main()
