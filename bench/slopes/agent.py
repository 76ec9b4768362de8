"""Cost of a real agent by its links to entries, running tasks and runners."""

from __future__ import annotations

import http.client
import json
import socket
import struct
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import curio
from curio.io import Socket
from curio.network import tcp_server_socket

from bench.slopes.cluster import LINK
from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import ProcessUsage, read_cpu_s, read_memory_kib
from pistachiodeal.entry.pushing import DIRECTORY_RESEND_S
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.messages import Directory, EntryAddress, PartitionOwner, Report
from pistachiodeal.wire.opening import accept_link
from pistachiodeal.wire.task_messages import LeaseGrant, Renew, Start
from tests.harness import documents
from tests.harness.cluster import Cluster, run_cluster
from tests.harness.processes import Process

LINKS = (1, 2, 4, 8, 12)
TASKS = (0, 8, 16, 32, 64)
RUNNERS = (0, 4, 8, 16, 32)
PARTITION = 0
EPOCH = 1
LEASE_MS = 60_000
SETTLE_S = 4.0
WINDOW_S = 10.0
ANNOUNCE_S = 1.0
JOIN_TIMEOUT_S = 30.0
SIZE = Resources(100, 100, 0)
TIMINGS: dict[str, Any] = {
    "report_s": 0.5,
    "link": LINK,
    "entry_links": 16,
    "runtime": {"timeout_s": 1.0, "poll_s": 0.2, "usage_s": 1.0},
}

Figures = dict[str, float]


class FakeEntries:
    """Fake entries on loopback; the first owns a partition and starts its tasks.

    :param directory_s: seconds between two sends of the directory on each link.
    """

    def __init__(
        self, count: int, tasks: int, directory_s: float = DIRECTORY_RESEND_S
    ) -> None:
        self._socks = [tcp_server_socket("127.0.0.1", 0) for _ in range(count)]
        self._tasks = tasks
        self._directory_s = directory_s
        self.links: list[Link] = []
        self.reported_tasks = 0

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the entries."""
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self._socks]

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup() as group:
            for number, sock in enumerate(self._socks):
                await group.spawn(self._accept, number, sock)

    async def _accept(self, number: int, listener: Socket) -> None:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(self._serve, number, sock, daemon=True)

    async def _serve(self, number: int, sock: Socket) -> None:
        identity = Identity("entry", f"e{number}", 1, "dc1")
        timings = LinkTimings(**LINK)
        async with accept_link(sock, identity, documents.SECRET, timings) as link:
            self.links.append(link)
            await curio.spawn(self._repeat_directory, link, daemon=True)
            unstarted = self._tasks if number == 0 else 0
            while True:
                message = await link.receive()
                if isinstance(message, Report):
                    unstarted = await self._answer(link, message, unstarted)

    async def _repeat_directory(self, link: Link) -> None:
        entries = tuple(
            EntryAddress(f"e{n}", address, "dc1")
            for n, address in enumerate(self.addresses)
        )
        owner = PartitionOwner(PARTITION, EPOCH, "e0", self.addresses[0])
        while True:
            await link.send(Directory(entries, (owner,)))
            await curio.sleep(self._directory_s)

    async def _answer(self, link: Link, report: Report, unstarted: int) -> int:
        if report.tasks:
            self.reported_tasks = len(report.tasks)
            grant = LeaseGrant(PARTITION, EPOCH, LEASE_MS)
            await link.send(Renew(report.beat, (grant,)))
        if report.free.cpu_milli < SIZE.cpu_milli:
            return unstarted
        for number in range(unstarted):
            await link.send(_build_start(f"0000-{number:032x}", report.beat))
        return 0


def _build_start(task_id: str, beat: int) -> Start:
    payload = json.dumps({"run_s": 600})
    numbers = (1, PARTITION, EPOCH, beat, LEASE_MS)
    return Start(task_id, *numbers, "press", "batch", SIZE, payload, "", 0, 0)


def measure_links(sizes: Sequence[int] = LINKS) -> list[Slope]:
    """Measure the cost of a link to an entry for an agent."""
    return _measure("link", [(n, _run(n, 0, 0)) for n in sizes])


def measure_tasks(sizes: Sequence[int] = TASKS) -> list[Slope]:
    """Measure the cost of a running task for an agent with three links."""
    return _measure("task", [(n, _run(3, n, 0)) for n in sizes])


def measure_runners(sizes: Sequence[int] = RUNNERS) -> list[Slope]:
    """Measure the cost of a runner, each of another service, with three links."""
    return _measure("runner", [(n, _run(3, 0, n)) for n in sizes])


def _measure(x: str, found: list[tuple[int, Figures]]) -> list[Slope]:
    units = {"cpu": "ms/s", "memory": "KiB", "bytes out": "B/s", "bytes in": "B/s"}
    return [
        fit_line(f"agent {name} by {x}s", x, unit, [(n, f[name]) for n, f in found])
        for name, unit in units.items()
    ]


def _run(links: int, tasks: int, runners: int) -> Figures:
    entries = FakeEntries(links, tasks)
    with tempfile.TemporaryDirectory() as name, run_cluster(Path(name)) as cluster:
        agent = _start_agent(cluster, entries)
        stop = threading.Event()
        announcer = threading.Thread(target=_announce, args=(agent, runners, stop))
        announcer.start()
        try:
            return curio.run(_measure_agent, agent, entries, links, tasks)
        finally:
            stop.set()
            announcer.join()


def _start_agent(cluster: Cluster, entries: FakeEntries) -> Process:
    cluster.start_objects()
    worker = cluster.start_worker("w1")
    address: Any = entries.addresses
    return cluster.start_agent("w1", worker, address, **TIMINGS)


async def _measure_agent(
    agent: Process, entries: FakeEntries, links: int, tasks: int
) -> Figures:
    serving = await curio.spawn(entries.run, daemon=True)
    async with curio.timeout_after(JOIN_TIMEOUT_S):
        while len(entries.links) < links or entries.reported_tasks < tasks:
            await curio.sleep(0.05)
    await curio.sleep(SETTLE_S)
    received, sent = _count_bytes(entries)
    started, before = time.monotonic(), read_cpu_s(agent.pid)
    await curio.sleep(WINDOW_S)
    wall = time.monotonic() - started
    usage = ProcessUsage(
        wall, read_cpu_s(agent.pid) - before, read_memory_kib(agent.pid)
    )
    received_end, sent_end = _count_bytes(entries)
    await serving.cancel()
    return {
        "cpu": usage.cpu_ms_per_s,
        "memory": usage.memory_kib,
        "bytes out": (received_end - received) / wall,
        "bytes in": (sent_end - sent) / wall,
    }


def _count_bytes(entries: FakeEntries) -> tuple[int, int]:
    received = sent = 0
    for link in entries.links:
        info = link._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136)
        acked, new_received = struct.unpack_from("QQ", info, 120)
        received, sent = received + new_received, sent + acked
    return received, sent


def _announce(agent: Process, count: int, stop: threading.Event) -> None:
    """Announce runners every second, as the runners themselves do."""
    connection = http.client.HTTPConnection(agent.address("announce"), timeout=5)
    while not stop.wait(ANNOUNCE_S):
        for number in range(count):
            document = {
                "service": f"service-{number}",
                "address": "127.0.0.1:9",
                "slots": 8,
                "cpu_milli": 100,
                "memory_mib": 100,
            }
            headers = {"content-type": "application/json"}
            body = json.dumps(document)
            connection.request("PUT", f"/runners/r{number}", body, headers)
            connection.getresponse().read()
