"""Load of entries on the platform's table, and the duration of a take-over."""

from __future__ import annotations

import time
from collections.abc import Sequence

from bench.slopes.cluster import run_bench
from bench.slopes.entry_links import wait_for_partitions
from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import read_cpu_s

ENTRIES = (1, 2, 4, 8, 12)
PARTITIONS = (8, 32, 64, 128)
SETTLE_S = 20.0
WINDOW_S = 20.0


def measure_table(sizes: Sequence[int] = ENTRIES) -> list[Slope]:
    """Measure calls and bytes at the table from idle entries, with eight partitions."""
    points: dict[str, list[tuple[float, float]]] = {}
    for size in sizes:
        for name, value in _measure_table_load(size).items():
            points.setdefault(name, []).append((size, value))
    units = {"commits": "calls/s", "reads": "calls/s", "scans": "calls/s"}
    return [
        fit_line(f"table {name} by entries", "entry", units.get(name, "B/s"), found)
        for name, found in points.items()
    ]


def _measure_table_load(size: int) -> dict[str, float]:
    with run_bench() as bench:
        cluster = bench.cluster
        table = cluster.start_table()
        cluster.start_objects()
        relay = cluster.start_relay(table)
        for number in range(size):
            bench.start_entry(f"e{number}", table=relay)
        time.sleep(SETTLE_S)
        started = time.monotonic()
        calls, relayed = cluster.record(table), cluster.record(relay, "control")
        time.sleep(WINDOW_S)
        wall = time.monotonic() - started
        calls_end, relayed_end = (
            cluster.record(table),
            cluster.record(relay, "control"),
        )
        found = {
            name: (calls_end[name] - calls[name]) / wall
            for name in ("commits", "reads", "scans")
        }
        found["bytes"] = (relayed_end["bytes"] - relayed["bytes"]) / wall
        return found


def measure_takeover(sizes: Sequence[int] = PARTITIONS) -> list[Slope]:
    """Measure the time from a kill of one of two entries until the other serves all."""
    wall, cpu = [], []
    for size in sizes:
        with run_bench() as bench:
            first = bench.start_entry("e1", batch={"partitions": size})
            wait_for_partitions(bench, first, size)
            second = bench.start_entry("e2", batch={"partitions": size})
            wait_for_partitions(bench, second, size // 2 - size // 8)
            time.sleep(2.0)
            before = read_cpu_s(second.pid)
            first.kill()
            wall.append((size, wait_for_partitions(bench, second, size)))
            cpu.append((size, 1000 * (read_cpu_s(second.pid) - before)))
    return [
        fit_line("time from a kill to the take-over of all", "partition", "s", wall),
        fit_line("cpu of the take-over, status calls too", "partition", "ms", cpu),
    ]
