"""Break down the worth lost on a benchmark day: ``bench.budget REPORT LOG``.

REPORT is the JSON report of a benchmark day, LOG the structured log lines of all
processes, each prefixed with a time and a node name. The day's worth (``G``) is at
most 1; the first table lists what reduced it. The second table shows, for the jobs that
were late or failed, how the tasks that determined their end spent their time.
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

# Smaller losses by price are added to the row "rest".
MIN_LISTED_LOSS = 0.0005


@dataclass
class Loss:
    """One row of the budget.

    :param lost: share of the maximum worth of a day.
    """

    name: str
    lost: float


def list_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the losses by part and by price; they add up to 1 minus the worth."""
    losses = [
        Loss(f"part: {name}", weight * (1 - earned))
        for name, weight, earned in report["parts"]
    ]
    prices = [Loss(f"price: {name}", lost) for name, _, lost in report["prices"]]
    losses += [loss for loss in prices if loss.lost >= MIN_LISTED_LOSS]
    rest = 1 - report["G"] - sum(loss.lost for loss in losses)
    return [*losses, Loss("rest", rest)]


def summarise_log(lines: Iterable[str]) -> list[QueueSummary]:
    """Return how the jobs of each queue spent their time."""
    tracer = Tracer()
    tracer.add_lines(LineReader().read(lines))
    return summarise(tracer)


def print_budget(report: dict[str, Any], queues: list[QueueSummary]) -> None:
    """Print both tables."""
    print(f"worth {report['G']:.3f}")
    for loss in sorted(list_losses(report), key=lambda loss: -loss.lost):
        print(f"  {loss.lost:7.4f}  {loss.name}")
    for summary in queues:
        print(f"{summary.queue}: {summary.ended} ended, {summary.late} late or failed")
        for part in summary.parts:
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
