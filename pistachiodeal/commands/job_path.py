"""``pistachiodeal job path``: breaks down job latency from structured logs."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from dataclasses import asdict

from pistachiodeal import exit_codes
from pistachiodeal.commands.errors import CommandError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_json, print_table
from pistachiodeal.commands.parsers import Subparsers, add_command
from pistachiodeal.jobpath.lines import LineReader
from pistachiodeal.jobpath.summary import QueueSummary, summarise
from pistachiodeal.jobpath.traces import Tracer

STANDARD_INPUT = "-"


def add_path(group: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the command to the parser."""
    command = add_command(
        group, common, "path", "break down job latency from logs", run_path
    )
    command.add_argument(
        "logs", nargs="+", metavar="LOG", help="log file; - for standard input"
    )
    command.add_argument("--queue", default="", help="only jobs of this queue")


async def run_path(context: Context, args: argparse.Namespace) -> None:
    """Print how long each phase of a job took, by queue."""
    reader, tracer = LineReader(), Tracer()
    for name in args.logs:
        tracer.add_lines(reader.read(_open(name)))
    summaries = [
        summary
        for summary in summarise(tracer)
        if not args.queue or summary.queue == args.queue
    ]
    if tracer.unreadable:
        print(
            f"pistachiodeal: {tracer.unreadable} lines of known events are incomplete",
            file=sys.stderr,
        )
    if not summaries:
        raise CommandError(
            f"no job ended in these logs ({reader.skipped} lines hold no event)",
            exit_codes.NOT_FOUND,
            code="no_ended_job",
        )
    if context.as_json:
        print_json([asdict(summary) for summary in summaries])
        return
    for summary in summaries:
        _print_queue(summary)


def _open(name: str) -> Iterator[str]:
    if name == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with open(name, encoding="utf-8", errors="replace") as lines:
            yield from lines
    except OSError as error:
        raise CommandError(
            f"cannot read {name}: {error.strerror}",
            exit_codes.FAILURE,
            code="unreadable_log",
        ) from None


def _print_queue(summary: QueueSummary) -> None:
    print(
        f"{summary.queue}: {summary.ended} ended, {summary.late} of them late or failed"
    )
    print_table(
        ("part", "median_ms", "p95_ms", "p99_ms", "of late jobs' time"),
        [
            [
                part.part,
                part.median_ms,
                part.p95_ms,
                part.p99_ms,
                f"{part.late_share:.2f}",
            ]
            for part in summary.parts
        ],
    )
