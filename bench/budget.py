"""Where the worth of a played day is lost: ``python -m bench.budget REPORT LOG``.

REPORT is the figures of a played day as the users' tool writes them, LOG what all
processes wrote (structured lines, each behind a time and a node's name). The first
table adds up from 1 to the day's worth; the second says of the jobs that were not in
time what the tasks that decided their end spent their time on.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pistachiodeal.jobpath.lines import LineReader
from pistachiodeal.jobpath.summary import QueueSummary, summarise
from pistachiodeal.jobpath.traces import Tracer

# Prices below this are left to the rest.
SMALL = 0.0005


@dataclass
class Loss:
    """One row of the budget.

    :param lost: share of a day's worth.
    """

    name: str
    lost: float


def list_losses(report: dict[str, Any]) -> list[Loss]:
    """Return what is lost by part and by price; the sum is one less the worth."""
    losses = [
        Loss(f"part: {name}", weight * (1 - earned))
        for name, weight, earned in report["parts"]
    ]
    prices = [Loss(f"price: {name}", lost) for name, _, lost in report["prices"]]
    losses += [one for one in prices if one.lost >= SMALL]
    rest = 1 - report["G"] - sum(one.lost for one in losses)
    return [*losses, Loss("rest", rest)]


def summarise_log(lines: Iterable[str]) -> list[QueueSummary]:
    """Return where the jobs of each queue spent their time."""
    tracer = Tracer()
    tracer.add_lines(LineReader().read(lines))
    return summarise(tracer)


def print_budget(report: dict[str, Any], queues: list[QueueSummary]) -> None:
    """Print both tables."""
    print(f"worth {report['G']:.3f}")
    for loss in sorted(list_losses(report), key=lambda one: -one.lost):
        print(f"  {loss.lost:7.4f}  {loss.name}")
    for one in queues:
        print(f"{one.queue}: {one.ended} ended, {one.late} late or failed")
        for part in one.parts:
            if part.late_share > 0:
                print(f"  {part.late_share:7.2f}  {part.part}")


def main() -> int:
    """Read both files and print the tables."""
    parser = argparse.ArgumentParser(prog="bench.budget", description=__doc__)
    parser.add_argument("report", type=Path)
    parser.add_argument("log", type=Path)
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    with arguments.log.open() as lines:
        print_budget(report, summarise_log(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
