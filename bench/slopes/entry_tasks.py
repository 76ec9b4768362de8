"""Cost of a real entry by waiting tasks, running tasks and task starts."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from bench.slopes.cluster import Bench, run_bench, submit_tasks
from bench.slopes.fitting import Slope, fit_line
from bench.slopes.probes import measure_process, read_cpu_s, read_memory_kib
from tests.harness.processes import Process

WAITING = (1_000, 2_000, 4_000, 8_000)
RUNNING = (500, 1_000, 2_000, 4_000)
STARTS = (1_000, 2_000, 4_000, 8_000)
AGENTS = 50
IDLE_S = 5.0
SETTLE_S = 3.0
WINDOW_S = 8.0
WAIT_TIMEOUT_S = 120.0

Points = dict[str, list[tuple[float, float]]]


def measure_waiting(sizes: Sequence[int] = WAITING) -> list[Slope]:
    """Measure the cost of admission by HTTP and of a waiting task for an entry."""
    points: Points = {}
    for size in sizes:
        with run_bench() as bench:
            entry = _start_entry(bench)
            # All workers are full, so each placement round scans the queue in vain.
            bench.start_agents(entry, AGENTS, "--full")
            time.sleep(SETTLE_S)
            before = read_cpu_s(entry.pid)
            submit_tasks(entry, size)
            admission = read_cpu_s(entry.pid) - before
            time.sleep(SETTLE_S)
            usage = measure_process(entry.pid, WINDOW_S)
            _add(points, size, "entry cpu of admissions (ms)", 1000 * admission)
            _add(points, size, "entry cpu by waiting tasks (ms/s)", usage.cpu_ms_per_s)
            _add(points, size, "entry memory by waiting tasks (KiB)", usage.memory_kib)
    return _fit(points, "task")


def measure_running(sizes: Sequence[int] = RUNNING) -> list[Slope]:
    """Measure the cost of a running task for an entry: reports and lease renewals."""
    points: Points = {}
    for size in sizes:
        with run_bench() as bench:
            entry = _start_entry(bench)
            driver = bench.start_agents(entry, AGENTS, "--hold")
            submit_tasks(entry, size)
            _wait_for_messages(bench, driver, "Start", size)
            time.sleep(SETTLE_S)
            first = bench.read_stats(driver)
            usage = measure_process(entry.pid, WINDOW_S)
            last = bench.read_stats(driver)
            took = last["at"] - first["at"]
            renews = (last["Renew"] - first["Renew"]) / took
            sent = (last["sent"] - first["sent"]) / took
            received = (last["received"] - first["received"]) / took
            _add(points, size, "entry cpu by running tasks (ms/s)", usage.cpu_ms_per_s)
            _add(points, size, "entry memory by running tasks (KiB)", usage.memory_kib)
            _add(points, size, "renewals by running tasks (messages/s)", renews)
            _add(points, size, "bytes from agents by running tasks (B/s)", sent)
            _add(points, size, "bytes to agents by running tasks (B/s)", received)
    return _fit(points, "task")


def measure_starts(sizes: Sequence[int] = STARTS) -> list[Slope]:
    """Measure a task from HTTP admission to its acknowledged end; it ends at once."""
    points: Points = {}
    for size in sizes:
        with run_bench() as bench:
            entry = _start_entry(bench)
            driver = bench.start_agents(entry, AGENTS)
            time.sleep(SETTLE_S)
            idle = measure_process(entry.pid, IDLE_S)
            table = bench.cluster["table"]
            commits = bench.cluster.record(table)["commits"]
            before, table_before = read_cpu_s(entry.pid), read_cpu_s(table.pid)
            started = time.monotonic()
            submit_tasks(entry, size)
            _wait_for_messages(bench, driver, "TaskAck", size)
            wall = time.monotonic() - started
            spent = read_cpu_s(entry.pid) - before - idle.cpu_s / idle.wall_s * wall
            commits = bench.cluster.record(table)["commits"] - commits
            table_cpu = read_cpu_s(table.pid) - table_before
            _add(points, size, "entry cpu of starts (ms)", 1000 * spent)
            memory = read_memory_kib(entry.pid)
            _add(points, size, "entry memory by ended tasks (KiB)", memory)
            _add(points, size, "table commits of starts (commits)", commits)
            _add(points, size, "table stand-in cpu of starts (ms)", 1000 * table_cpu)
            _add(points, size, "time of starts (s)", wall)
    return _fit(points, "start")


def _start_entry(bench: Bench) -> Process:
    entry = bench.start_entry()
    bench.cluster.define_profile(entry, "batch", latency_critical=False)
    time.sleep(SETTLE_S)
    return entry


def _wait_for_messages(bench: Bench, driver: Process, kind: str, count: int) -> None:
    """Wait until a driver has received so many messages of a kind."""
    _wait(lambda: bench.read_stats(driver).get(kind, 0) >= count)


def _wait(is_done: Callable[[], bool]) -> None:
    limit = time.monotonic() + WAIT_TIMEOUT_S
    while not is_done():
        if time.monotonic() > limit:
            raise AssertionError("tasks did not reach the expected state in time")
        time.sleep(0.05)


def _add(points: Points, size: int, name: str, value: float) -> None:
    points.setdefault(name, []).append((size, value))


def _fit(points: Points, x: str) -> list[Slope]:
    slopes = []
    for title, found in points.items():
        name, _, unit = title.rstrip(")").rpartition(" (")
        slopes.append(fit_line(name, x, unit, found))
    return slopes
