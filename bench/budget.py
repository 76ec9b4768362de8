"""Where the worth of a played day is lost: ``python -m bench.budget REPORT LOG``.

REPORT is the figures of a played day as the users' tool writes them, LOG what all
processes wrote (structured lines, each behind a time and a node's name). The first
table adds up from 1 to the day's worth; the second says of the jobs that were not in
time what their last tasks spent their time on.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FINAL = ("completed", "failed")
# Prices below this are left to the rest.
SMALL = 0.0005


@dataclass
class Loss:
    """One row of the budget.

    :param lost: share of a day's worth.
    """

    name: str
    lost: float


@dataclass
class JobTrace:
    """What the logs say of one job.

    :param causes: seconds that its last tasks spent, by cause.
    """

    queue: str
    accepted_at: float
    ratio: float = 0.0
    state: str = ""
    last_ends: dict[str, float] = field(default_factory=dict)
    causes: Counter[str] = field(default_factory=Counter)


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


def read_events(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Return the structured lines of a log with their times."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            yield float(line.split(maxsplit=1)[0]), json.loads(line[begin:])
        except ValueError:
            continue


def trace_jobs(events: Iterable[tuple[float, dict[str, Any]]]) -> dict[str, JobTrace]:
    """Return what became of each job, and what held its last tasks up."""
    jobs: dict[str, JobTrace] = {}
    placed: dict[tuple[str, int], float] = {}
    spent: dict[str, Counter[str]] = defaultdict(Counter)
    for at, event in events:
        kind = event.get("event")
        if kind == "job.accepted":
            jobs.setdefault(event["job"], JobTrace(event["queue"], at))
        elif kind == "run.place":
            placed[event["task"], event["run"]] = at
            spent[event["task"]]["waiting for a worker"] += event["waited_ms"] / 1000
        elif kind == "run.order":
            spent[event["task"]]["writing the decision"] += event["waited_ms"] / 1000
        elif kind == "run.end":
            _take_end(event, at, placed, spent)
        elif kind == "job.shown" and event["state"] in FINAL and event["job"] in jobs:
            job = jobs[event["job"]]
            job.state = event["state"]
            job.ratio = event["age_ms"] / max(1, event["objective_ms"])
    _attach(jobs, spent)
    return jobs


def _take_end(
    event: dict[str, Any],
    at: float,
    placed: dict[tuple[str, int], float],
    spent: dict[str, Counter[str]],
) -> None:
    begun = placed.get((event["task"], event["run"]))
    if begun is None:
        return
    causes = spent[event["task"]]
    if event["how"] == "done":
        causes["working"] += at - begun
    else:
        causes[f"{event['how']}: {event['why'] or 'by itself'}"] += at - begun


def _attach(jobs: dict[str, JobTrace], spent: dict[str, Counter[str]]) -> None:
    """Give each job the causes of the task of each step that took longest."""
    longest: dict[tuple[str, str], str] = {}
    for task, causes in spent.items():
        job_id, occurrence, step, _ = task.split(".")
        key = job_id, f"{occurrence}.{step}"
        known = longest.get(key)
        if known is None or causes.total() > spent[known].total():
            longest[key] = task
    for (job_id, _), task in longest.items():
        if job_id in jobs:
            jobs[job_id].causes += spent[task]


def print_budget(report: dict[str, Any], jobs: dict[str, JobTrace]) -> None:
    """Print both tables."""
    print(f"worth {report['G']:.3f}")
    for loss in sorted(list_losses(report), key=lambda one: -one.lost):
        print(f"  {loss.lost:7.4f}  {loss.name}")
    by_queue: dict[str, list[JobTrace]] = defaultdict(list)
    for job in jobs.values():
        if job.state in FINAL:
            by_queue[job.queue].append(job)
    for queue, those in by_queue.items():
        late = [job for job in those if job.ratio > 1 or job.state == "failed"]
        print(f"{queue}: {len(those)} ended, {len(late)} late or failed; seconds a job")
        causes: Counter[str] = Counter()
        for job in late:
            causes += job.causes
        for cause, seconds in causes.most_common():
            print(f"  {seconds / len(late):7.2f}  {cause}")


def main() -> int:
    """Read both files and print the tables."""
    parser = argparse.ArgumentParser(prog="bench.budget", description=__doc__)
    parser.add_argument("report", type=Path)
    parser.add_argument("log", type=Path)
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    with arguments.log.open() as lines:
        print_budget(report, trace_jobs(read_events(lines)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
