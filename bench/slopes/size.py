"""Prints estimates for an installation of the intended size, by number of entries.

Run ``python -m bench.slopes.size`` after the measurements.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from bench.slopes.installation import (
    BATCH_TASKS,
    RUNNERS,
    WORKERS,
    Plan,
    Row,
    Slopes,
    build_current,
    build_proposed,
    estimate_agent,
    estimate_entry,
    estimate_entry_memory,
    estimate_journal_rows,
)

RESULTS = Path(__file__).parents[1] / "results" / "slopes.json"
ENTRIES = (20, 40, 80, 160, 320, 640)
SMALL_ENTRIES = (2, 3, 4, 6, 8, 16)
GROUP_DELAYS_MS = (5.0, 60.0, 120.0, 1_000.0)
PARTITIONS = (64, 160, 640, 1_280)
# CPU budget of an entry, ms per second: half a core of its VM.
ENTRY_BUDGET = 500.0
AGENT_BYTES = 3_000.0
# The settings require report_s below link.silent_s, which is 2 s by default.
MAX_REPORT_S = 1.9


def find_largest(slopes: Slopes, entries: int, teams: int) -> int:
    """Return the workers at which entries with default settings use half a core."""
    workers = 0
    while True:
        plan = Plan(entries, workers=workers + 50, teams=teams)
        if sum(v for _, v in estimate_entry(slopes, plan)[2:]) > ENTRY_BUDGET:
            return workers
        workers += 50


def find_period(slopes: Slopes, plan: Plan) -> str:
    """Return the shortest report period that keeps an agent within ``AGENT_BYTES``."""
    for tenths in range(5, round(10 * MAX_REPORT_S) + 1):
        found = dict(estimate_agent(slopes, replace(plan, report_s=tenths / 10)))
        if found["bytes in all, B/s"] <= AGENT_BYTES:
            return f"{tenths / 10:.1f}"
    return "none"


def main() -> None:
    """Print all tables."""
    slopes = Slopes(json.loads(RESULTS.read_text()))
    _print_fits(slopes)
    for title, build in (("today", build_current), ("changed", build_proposed)):
        print(f"\n{title}: an entry, ms of processor time in each second\n")
        _print_entry(slopes, [build(n) for n in ENTRIES])
        for tasks in (BATCH_TASKS / WORKERS, (BATCH_TASKS + RUNNERS) / WORKERS):
            print(f"\n{title}: an agent with {tasks:.1f} leased tasks\n")
            plans = [replace(build(n), tasks=tasks) for n in ENTRIES]
            _print_rows([estimate_agent(slopes, plan) for plan in plans], 1)
    print("\ntoday, default settings: an agent\n")
    _print("entries", [str(n) for n in SMALL_ENTRIES])
    _print_rows([estimate_agent(slopes, Plan(n)) for n in SMALL_ENTRIES], 1)
    print(f"\ntoday: report_s, s, from which an agent keeps {AGENT_BYTES:.0f} B/s\n")
    _print("entries", [str(n) for n in (*SMALL_ENTRIES, *ENTRIES)])
    plans = [Plan(n) for n in SMALL_ENTRIES] + [build_current(n) for n in ENTRIES]
    _print("report_s", [find_period(slopes, plan) for plan in plans])
    print("\npeak of starts: journal commits of all partitions, 1/s, by group_s\n")
    _print("partitions", [str(n) for n in PARTITIONS])
    for group_ms in GROUP_DELAYS_MS:
        rows = [
            estimate_journal_rows(slopes, Plan(160, n, group_ms=group_ms))
            for n in PARTITIONS
        ]
        commits = [f"{r * n:.0f}" for r, n in zip(rows, PARTITIONS, strict=True)]
        _print(f"group_s {group_ms:.0f} ms", commits)
    print("\ntoday: workers at which default settings leave an entry half busy\n")
    _print("entries", [str(n) for n in SMALL_ENTRIES])
    for teams in (0, 10):
        largest = [str(find_largest(slopes, n, teams)) for n in SMALL_ENTRIES]
        _print(f"workers, {teams} teams' tasks wait", largest)


def _print_fits(slopes: Slopes) -> None:
    """Print one row per fitted line.

    Columns: measurement, figure, slope, intercept, r2, sizes, load, and the digest
    of the sources, with a star if they changed during the run.
    """
    for run, kept in slopes.runs.items():
        load = f"{kept['load_before'][0]:.0f}-{kept['load_after'][0]:.0f}"
        code = kept["code"][:6] + "*" * kept["code_changed_meanwhile"]
        for slope in kept["slopes"]:
            sizes = [point[0] for point in slope["points"]]
            unit = f"{slope['unit']} for each {slope['x']}"
            line = f"{slope['slope']:.3g} {unit} | {slope['intercept']:.3g}"
            span = f"{min(sizes):.0f}-{max(sizes):.0f}"
            name = f"`{run}` | {slope['name']}"
            print(f"| {name} | {line} | {slope['r2']:.3f} | {span} | {load} | {code} |")


def _print_entry(slopes: Slopes, plans: Sequence[Plan]) -> None:
    _print("entries", [f"{plan.entries}" for plan in plans])
    tables = [estimate_entry(slopes, plan) for plan in plans]
    _print_rows(tables, 0)
    totals = [sum(v for _, v in table[2:]) for table in tables]
    _print("cpu in all", [f"{total:.0f}" for total in totals])
    cores = [t * p.entries / 1000 for t, p in zip(totals, plans, strict=True)]
    _print("cores of all entries", [f"{value:.0f}" for value in cores])
    memory = [estimate_entry_memory(slopes, plan) for plan in plans]
    _print("memory, MiB", [f"{value:.0f}" for value in memory])
    rows = [estimate_journal_rows(slopes, plan) * plan.partitions for plan in plans]
    _print("journal commits of all entries, 1/s", [f"{value:.0f}" for value in rows])


def _print_rows(tables: Sequence[Sequence[Row]], digits: int) -> None:
    for rows in zip(*tables, strict=True):
        _print(rows[0][0], [f"{value:.{digits}f}" for _, value in rows])


def _print(name: str, values: Sequence[str]) -> None:
    print(f"| {name} | {' | '.join(values)} |")


if __name__ == "__main__":
    main()
