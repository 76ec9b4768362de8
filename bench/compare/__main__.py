"""Play a plan's days, or show how its ways differ.

``python -m bench.compare play PLAN --bench COMMAND --sites DIR --results DIR`` goes on
where an earlier call ended; ``show PLAN --results DIR`` prints the table and writes
``differences.svg`` into the results.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from bench.compare.differences import compare, count_breaks
from bench.compare.plan import Plan, list_plays, read_plan
from bench.compare.plays import REPORTS, Player
from bench.compare.table import build_table, draw

# The bench counts processor time, so a play needs cores of its own.
DEFAULT_JOBS = 2


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.compare")
    verbs = parser.add_subparsers(dest="verb", required=True)
    for name in ("play", "show"):
        verb = verbs.add_parser(name)
        verb.add_argument("plan", type=Path)
        verb.add_argument("--results", type=Path, required=True)
        if name == "play":
            verb.add_argument("--bench", type=Path, required=True)
            verb.add_argument("--sites", type=Path, required=True)
            verb.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    options = parser.parse_args()
    plan = read_plan(options.plan)
    results = options.results.resolve()
    if options.verb == "show":
        return show(plan, results)
    player = Player(plan, options.bench.resolve(), options.sites.resolve(), results)
    return 1 if player.play_all(options.jobs) else 0


def show(plan: Plan, results: Path) -> int:
    """Print the table and draw the plot of what has been played."""
    reports = {}
    missing = 0
    for play in list_plays(plan):
        path = results / REPORTS / play.report_name
        if path.exists():
            reports[play] = json.loads(path.read_bytes())
        else:
            missing += 1
    differences = compare(reports, plan.reference)
    print(build_table(differences))
    for way, count in count_breaks(reports).items():
        print(f"rules broken by {way}: {count}")
    print(f"plays missing: {missing}")
    draw(differences, results / "differences.svg")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
