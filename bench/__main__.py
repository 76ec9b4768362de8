"""Simulate the scheduling policies and their baselines: ``python -m bench``."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.policies import POLICIES
from bench.report import (
    build_rows,
    check_aims,
    plot_tails,
    print_report,
    write_results,
)
from bench.shapes import DEPLOYMENTS, SHAPES
from bench.simulation import Case, run_case

RESULTS = Path(__file__).parent / "results"


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="runs of each row")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=300.0, help="virtual time")
    parser.add_argument("--jobs", type=int, default=4, help="processes")
    parser.add_argument("--results", type=Path, default=RESULTS)
    return parser.parse_args()


def main() -> int:
    """Run all cases; the exit status does not depend on whether the aims are met."""
    arguments = parse_arguments()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    cases = [
        Case(policy, deployment, shape, seed, arguments.seconds)
        for deployment in DEPLOYMENTS
        for shape in SHAPES
        for seed in seeds
        for policy in POLICIES
    ]
    results = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(run_case, cases):
            results.append(result)
            print(f"\r{len(results)}/{len(cases)}", end="", file=sys.stderr)
    print(file=sys.stderr)
    rows = build_rows(results)
    aims = check_aims(rows)
    print_report(rows, aims)
    used = {
        "seeds": arguments.seeds,
        "first_seed": arguments.first_seed,
        "seconds": arguments.seconds,
    }
    write_results(arguments.results, results, rows, aims, used)
    plot_tails(arguments.results, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
