"""Cost of the batch path in this process: starts, journal, replay, snapshots."""

from __future__ import annotations

import time
from collections.abc import Sequence

import curio
import orjson

from bench.slopes.fitting import Slope, fit_line
from bench.slopes.memory import MemoryObjects, MemoryTable
from bench.slopes.probes import measure_cpu
from bench.slopes.service import (
    Agents,
    build_service,
    build_spec,
    run_service,
    submit_all,
    submit_steadily,
    submit_task,
)
from pistachiodeal.batch.append_request import JournalPosition
from pistachiodeal.batch.events import (
    Event,
    Finished,
    Placed,
    Submitted,
    encode_events,
)
from pistachiodeal.batch.keys import journal_key
from pistachiodeal.batch.partition import PartitionState, replay
from pistachiodeal.batch.snapshots import SnapshotManager
from pistachiodeal.model.resources import Resources

STARTS = (1_000, 2_000, 4_000, 8_000)
GROUP_DELAYS_MS = (5, 20, 40, 80, 160)
ROWS = (100, 200, 400, 800)
TASKS = (1_000, 2_000, 4_000, 8_000, 16_000)
STARTS_PER_ROW = 10
COMMIT_S = 0.005
PARTITIONS = 4
RATES = (100, 200, 400, 800)
STEADY_S = 4.0
URGENT = 100
URGENT_S = 25.0


def measure_starts() -> list[Slope]:
    """Measure starts with an in-memory table whose commits take 5 ms."""
    found = [(n, curio.run(_run_starts, n, 0.005)) for n in STARTS]
    return [
        fit_line(f"{name} of starts", "start", unit, [(n, f[name]) for n, f in found])
        for name, unit in (
            ("batch cpu", "ms"),
            ("journal bytes", "B"),
            ("journal rows", "rows"),
            ("snapshot bytes", "B"),
        )
    ]


def measure_rows() -> list[Slope]:
    """Measure journal rows at a steady rate of starts, by ``group_s`` and rate.

    Rows are counted per second and partition; a commit takes 5 ms.
    """
    by_group = [(g, curio.run(_run_steady, 400, g / 1000)) for g in GROUP_DELAYS_MS]
    by_rate = [(r, curio.run(_run_steady, r, 0.005)) for r in RATES]
    pause = [(g, 1000 / f["rows"]) for g, f in by_group]
    return [
        fit_line("time between rows of a partition", "ms of group_s", "ms", pause),
        _fit_rate("rows of a partition", "rows/s", "rows", by_rate),
        _fit_rate("batch cpu", "ms/s", "cpu", by_rate),
        _fit_rate("journal bytes", "B/s", "bytes", by_rate),
    ]


def _fit_rate(
    name: str, unit: str, figure: str, found: Sequence[tuple[int, dict[str, float]]]
) -> Slope:
    return fit_line(name, "start/s", unit, [(n, f[figure]) for n, f in found])


async def _run_steady(rate: int, group_s: float) -> dict[str, float]:
    """Submit at a fixed rate, regardless of the answers."""
    table = MemoryTable(COMMIT_S)
    service = build_service(table, MemoryObjects(), group_s)
    async with run_service(service, workers=50) as agents:
        (rows, size), started = _count_journal(table), time.monotonic()
        with measure_cpu() as spent:
            await submit_steadily(service, rate, STEADY_S)
            wall = time.monotonic() - started
        rows_end, size_end = _count_journal(table)
        assert agents.acknowledged > 0
    return {
        "rows": (rows_end - rows) / wall / PARTITIONS,
        "bytes": (size_end - size) / wall,
        "cpu": 1000 * spent.cpu_s / wall,
    }


async def _run_starts(count: int, group_s: float) -> dict[str, float]:
    table, objects = MemoryTable(COMMIT_S), MemoryObjects()
    service = build_service(table, objects, group_s)
    async with run_service(service, workers=50) as agents:
        rows, written = _count_journal(table)
        started = time.monotonic()
        with measure_cpu() as spent:
            await submit_all(service, count)
            while agents.acknowledged < count:
                await curio.sleep(0.005)
        wall = time.monotonic() - started
        rows_end, written_end = _count_journal(table)
        return {
            "batch cpu": 1000 * spent.cpu_s,
            "journal rows": rows_end - rows,
            "journal bytes": written_end - written,
            "snapshot bytes": objects.bytes,
            "time": wall,
        }


def _count_journal(table: MemoryTable) -> tuple[int, int]:
    return table.rows_by_prefix.get("journal", 0), table.bytes_by_prefix.get(
        "journal", 0
    )


def measure_urgent() -> list[Slope]:
    """Measure the time from an urgent task's submission to its start on a link.

    Other tasks are submitted at a steady rate meanwhile; a commit takes 5 ms.
    """
    found = [(rate, curio.run(_run_urgent, rate)) for rate in RATES]
    return [
        fit_line(name, "start/s", "ms", [(rate, f[i]) for rate, f in found])
        for i, name in enumerate(("median of urgent starts", "p99 of urgent starts"))
    ]


async def _run_urgent(rate: int) -> tuple[float, float]:
    service = build_service(MemoryTable(COMMIT_S), MemoryObjects())
    async with run_service(service, workers=50) as agents:
        load = await curio.spawn(submit_steadily, service, rate, URGENT_S, daemon=True)
        took = [await _start_urgent(agents, number) for number in range(URGENT)]
        await load.join()
    took.sort()
    return 1000 * took[URGENT // 2], 1000 * took[URGENT * 99 // 100]


async def _start_urgent(agents: Agents, number: int) -> float:
    name = f"urgent-{number}"
    started = time.monotonic()
    task_id = await submit_task(agents.service, name, urgent=True)
    while task_id not in agents.urgent_starts:
        await curio.sleep(0.001)
    return agents.urgent_starts[task_id] - started


def measure_replay() -> list[Slope]:
    """Measure how a new owner replays a journal of n rows with ten starts each."""
    cpu, read = [], []
    for size in ROWS:
        table = MemoryTable()
        for seq in range(1, size + 1):
            table.put(journal_key(0, seq), _build_row(seq))
        cpu.append((size, curio.run(_measure_load, table, MemoryObjects())))
        read.append((size, table.bytes))
    return [
        fit_line("replay cpu by journal rows", "row of 10 starts", "ms", cpu),
        fit_line("replay bytes by journal rows", "row of 10 starts", "B", read),
    ]


def _build_row(seq: int) -> bytes:
    events: list[Event] = []
    for number in range(STARTS_PER_ROW):
        events += _build_events(seq * STARTS_PER_ROW + number, ended=True)
    row = {"nonce": "0" * 16, "epoch": 1, "events": encode_events(events)}
    return orjson.dumps(row)


def _build_events(number: int, *, ended: bool) -> list[Event]:
    spec = build_spec(number)
    size = Resources(1_000, 1_000, 0)
    placed = Placed(spec.task_id, 1, f"worker-{number % 500}", size, 60_000)
    events: list[Event] = [Submitted(spec), placed]
    return [*events, Finished(spec.task_id, 1, "done")] if ended else events


async def _measure_load(table: MemoryTable, objects: MemoryObjects) -> float:
    state = PartitionState(lambda profile: 0)
    snapshot_manager = SnapshotManager(table, objects, 0)
    with measure_cpu() as spent:
        await snapshot_manager.load(state)
    return 1000 * spent.cpu_s


def measure_snapshots() -> list[Slope]:
    """Measure writing and loading a snapshot of n running or n ended tasks."""
    slopes = []
    for x, ended in (("running task", False), ("ended task", True)):
        found = [(n, curio.run(_measure_snapshot, n, ended)) for n in TASKS]
        for name, unit in (
            ("snapshot bytes", "B"),
            ("cpu of a fold", "ms"),
            ("cpu of loading a snapshot", "ms"),
        ):
            slopes.append(fit_line(name, x, unit, [(n, f[name]) for n, f in found]))
    return slopes


async def _measure_snapshot(count: int, ended: bool) -> dict[str, float]:
    table, objects = MemoryTable(), MemoryObjects()
    state = PartitionState(lambda profile: 0, max_ended=count)
    for number in range(count):
        replay(state, _build_events(number, ended=ended))
    snapshot_manager = SnapshotManager(table, objects, 0)
    with measure_cpu() as writing:
        await snapshot_manager.write_snapshot(state, 1, JournalPosition(0, 1, 0, 1))
    return {
        "snapshot bytes": objects.bytes,
        "cpu of a fold": 1000 * writing.cpu_s,
        "cpu of loading a snapshot": await _measure_load(table, objects),
    }
