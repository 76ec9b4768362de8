"""Run measurements and store their slopes in ``bench/results/slopes.json``."""

from __future__ import annotations

import argparse
import json
import os
import time
from collections.abc import Callable
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import xxhash

from bench.slopes import (
    agent,
    entry_links,
    entry_tasks,
    inner,
    journal,
    leader,
    platform,
)
from bench.slopes.fitting import Slope
from bench.slopes.probes import read_load

RESULTS = Path(__file__).parents[1] / "results" / "slopes.json"
SOURCES = Path(__file__).parents[2] / "pistachiodeal"

RUNS: dict[str, Callable[[], list[Slope]]] = {
    "entry-links": entry_links.measure_links,
    "entry-connections": entry_links.measure_connections,
    "entry-partitions": entry_links.measure_partitions,
    "force": entry_links.measure_propagation,
    "entry-waiting": entry_tasks.measure_waiting,
    "entry-running": entry_tasks.measure_running,
    "entry-starts": entry_tasks.measure_starts,
    "agent-links": agent.measure_links,
    "agent-tasks": agent.measure_tasks,
    "agent-runners": agent.measure_runners,
    "starts": journal.measure_starts,
    "rows": journal.measure_rows,
    "urgent": journal.measure_urgent,
    "replay": journal.measure_replay,
    "snapshots": journal.measure_snapshots,
    "placement": inner.measure_placement,
    "membership": inner.measure_membership,
    "directory": inner.measure_directory,
    "profiles": inner.measure_profiles,
    "claims": inner.measure_claims,
    "messages": inner.measure_messages,
    "leader": leader.measure_rounds,
    "leader-reports": leader.measure_reports,
    "table": platform.measure_table,
    "takeover": platform.measure_takeover,
}


def run(name: str) -> dict[str, Any]:
    """Run one measurement; return its results and the conditions of the run."""
    load, code, started = read_load(), hash_sources(), time.monotonic()
    slopes = RUNS[name]()
    return {
        "command": f"python -m bench.slopes {name}",
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "code": code,
        "code_changed_meanwhile": code != hash_sources(),
        "load_before": load,
        "load_after": read_load(),
        "processors": os.cpu_count(),
        "took_s": round(time.monotonic() - started, 1),
        "slopes": [asdict(slope) for slope in slopes],
    }


def hash_sources() -> str:
    """Return a digest of the product's sources, to detect changes during a run."""
    digest = xxhash.xxh64()
    for path in sorted(SOURCES.rglob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()


def main() -> None:
    """Run the named measurements, or all."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes")
    parser.add_argument("names", nargs="*", help=f"of {', '.join(RUNS)}")
    names = parser.parse_args().names or list(RUNS)
    unknown = set(names) - RUNS.keys()
    if unknown:
        parser.error(f"no measurement {', '.join(sorted(unknown))}")
    for name in names:
        result = run(name)
        # Read the file again: a concurrent run may have added its results.
        results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
        results[name] = result
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")
        _print(name, result)


def _print(name: str, result: dict[str, Any]) -> None:
    load = f"{result['load_before'][0]}..{result['load_after'][0]}"
    print(f"{name}: {result['took_s']} s, load {load}", flush=True)
    for slope in result["slopes"]:
        print(
            f"  {slope['name']}: {slope['slope']:.5g} {slope['unit']}/{slope['x']}"
            f" + {slope['intercept']:.5g}, r2 {slope['r2']}",
            flush=True,
        )


if __name__ == "__main__":
    main()
