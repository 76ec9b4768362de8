"""Cost of a real entry by agents' links, callers' connections and partitions."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence

from bench.slopes.cluster import Bench, run_bench
from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import measure_process, read_cpu_s
from tests.harness.processes import Process

LINKS = (50, 100, 200, 400, 800)
CONNECTIONS = (0, 200, 400, 800, 1600)
PARTITIONS = (8, 64, 128, 256, 512)
PROPAGATION_LINKS = (50, 100, 200, 400)
CHANGES = 8
SERVICES = 4
SETTLE_S = 4.0
WINDOW_S = 8.0


def measure_links(sizes: Sequence[int] = LINKS) -> list[Slope]:
    """Measure the cost of an agent's link for an entry."""
    points: dict[str, list[tuple[float, float]]] = {}
    for size in sizes:
        with run_bench() as bench:
            for name, value in _measure_link_size(bench, size).items():
                points.setdefault(name, []).append((size, value))
    units = {
        "entry cpu by links": "ms/s",
        "entry memory by links": "KiB",
        "entry cpu of joining": "ms",
        "bytes from agents": "B/s",
        "bytes to agents": "B/s",
    }
    return [fit_line(n, "link", units[n], found) for n, found in points.items()]


def _measure_link_size(bench: Bench, size: int) -> dict[str, float]:
    entry = bench.start_entry()
    time.sleep(2.0)
    before = read_cpu_s(entry.pid)
    driver = bench.start_agents(entry, size, "--services", str(SERVICES))
    joining = read_cpu_s(entry.pid) - before
    time.sleep(SETTLE_S)
    first = bench.read_stats(driver)
    usage = measure_process(entry.pid, WINDOW_S)
    last = bench.read_stats(driver)
    took = last["at"] - first["at"]
    return {
        "entry cpu by links": usage.cpu_ms_per_s,
        "entry memory by links": usage.memory_kib,
        "entry cpu of joining": 1000 * joining,
        "bytes from agents": (last["sent"] - first["sent"]) / took,
        "bytes to agents": (last["received"] - first["received"]) / took,
    }


def measure_connections(sizes: Sequence[int] = CONNECTIONS) -> list[Slope]:
    """Measure the cost of a caller's idle connection for an entry."""
    cpu, memory = [], []
    for size in sizes:
        with run_bench() as bench:
            entry = bench.start_entry()
            opened = _open_connections(entry, size)
            time.sleep(SETTLE_S)
            usage = measure_process(entry.pid, WINDOW_S)
            for connection in opened:
                connection.close()
            cpu.append((size, usage.cpu_ms_per_s))
            memory.append((size, usage.memory_kib))
    return [
        fit_line("entry cpu by idle connections", "connection", "ms/s", cpu),
        fit_line("entry memory by idle connections", "connection", "KiB", memory),
    ]


def measure_propagation(sizes: Sequence[int] = PROPAGATION_LINKS) -> list[Slope]:
    """Measure the time until a profile change has been sent on every link.

    One entry stores the change; another, which polls the table, holds the links.
    """
    longest, mean = [], []
    for size in sizes:
        with run_bench() as bench:
            entry = bench.start_entry()
            other = bench.start_entry("e2")
            cluster = bench.cluster
            cluster.define_profile(entry, "live", promised_ms=200)
            for number in range(SERVICES):
                cluster.assign(entry, f"shared-{number}", "live")
            options = ("--services", str(SERVICES), "--shared")
            driver = bench.start_agents(entry, size, *options)
            time.sleep(SETTLE_S)
            took = [
                _measure_propagation(bench, other, driver, size, n)
                for n in range(CHANGES)
            ]
            longest.append((size, max(took)))
            mean.append((size, sum(took) / len(took)))
    return [
        fit_line("longest time to force a change, of 8", "link", "s", longest),
        fit_line("mean time to force a change, of 8", "link", "s", mean),
    ]


def _measure_propagation(
    bench: Bench, entry: Process, driver: Process, links: int, number: int
) -> float:
    known = bench.read_stats(driver).get("Policies", 0)
    started = time.monotonic()
    reply = bench.cluster.define_profile(entry, "live", promised_ms=201 + number)
    assert reply.status < 300, reply
    while True:
        stats = bench.read_stats(driver)
        if stats.get("Policies", 0) >= known + links:
            return stats["at"] - started
        time.sleep(0.02)


def _open_connections(entry: Process, size: int) -> list[socket.socket]:
    host, _, port = entry.address("http").rpartition(":")
    opened = []
    for _ in range(size):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(b"GET /-/health HTTP/1.1\r\nhost: x\r\n\r\n")
        connection.recv(4096)
        opened.append(connection)
    return opened


def measure_partitions(sizes: Sequence[int] = PARTITIONS) -> list[Slope]:
    """Measure the cost of an idle partition for the entry that owns it."""
    cpu, memory = [], []
    for size in sizes:
        with run_bench() as bench:
            entry = bench.start_entry(batch={"partitions": size})
            wait_for_partitions(bench, entry, size)
            time.sleep(SETTLE_S)
            usage = measure_process(entry.pid, WINDOW_S)
            cpu.append((size, usage.cpu_ms_per_s))
            memory.append((size, usage.memory_kib))
    return [
        fit_line("entry cpu by partitions", "partition", "ms/s", cpu),
        fit_line("entry memory by partitions", "partition", "KiB", memory),
    ]


def wait_for_partitions(bench: Bench, entry: Process, count: int) -> float:
    """Wait until an entry serves ``count`` partitions; return the seconds it took."""
    started = time.monotonic()
    while True:
        status = bench.cluster.operate(entry, "GET", "/-/status").document()
        held = status.get("batch", status)["partitions"].values()
        if sum(p["serving"] for p in held) >= count:
            return time.monotonic() - started
        time.sleep(0.1)
