"""``pistachiodeal histograms``: latencies by caller and service."""

from __future__ import annotations

import argparse
import sys
from typing import Any

from pistachiodeal.commands.documents import read_document
from pistachiodeal.commands.entries import call_entry
from pistachiodeal.commands.errors import CommandError, UsageError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import format_error, print_json, print_table
from pistachiodeal.commands.parsers import Subparsers, add_command
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.histograms import Histograms, create_histograms

COLUMNS = (
    "caller",
    "service",
    "count",
    "p50_us",
    "p90_us",
    "p99_us",
    "p999_us",
    "max_us",
)
ALL = "*"
MERGED_LIMIT = 10_000


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the command to the parser."""
    text = "show the merged latencies of the given entries"
    parser = add_command(parsers, common, "histograms", text, run_histograms)
    parser.add_argument(
        "--by",
        choices=("both", "service", "caller"),
        default="both",
        help="what to group by (default: caller and service)",
    )
    parser.add_argument(
        "--file",
        action="append",
        default=[],
        metavar="FILE",
        help="file written by a process at shutdown; can be repeated",
    )


async def run_histograms(context: Context, args: argparse.Namespace) -> None:
    """Print the merged histograms of the given entries and files."""
    documents = [read_document(path, "a document of histograms") for path in args.file]
    documents += await _fetch_documents(context, needed=not documents)
    merged = create_histograms(MERGED_LIMIT)
    for document in documents:
        _merge(merged, document, args.by)
    _print(context, merged)


async def _fetch_documents(context: Context, *, needed: bool) -> list[dict[str, Any]]:
    """Return the document of each entry; prints the failed calls on stderr."""
    if needed and not context.entries:
        raise UsageError("no entry and no file: give --entry ip:port or --file FILE")
    documents = []
    failure: CommandError | None = None
    for entry in context.entries:
        try:
            answer = await call_entry(context, entry, "GET", "/-/histograms")
        except CommandError as error:
            failure = error
            print(format_error(error), file=sys.stderr)
        else:
            documents.append(answer.document)
    if failure is not None and not documents:
        raise failure
    return documents


def _merge(merged: Histograms, document: dict[str, Any], by: str) -> None:
    rows = []
    for row in document.get("histograms", ()):
        kept = dict(row)
        if by == "service":
            kept["caller"] = ALL
        if by == "caller":
            kept["service"] = ALL
        rows.append(kept)
    try:
        merged.merge({"histograms": rows})
    except ProtocolError as error:
        raise UsageError(error.detail) from error


def _print(context: Context, merged: Histograms) -> None:
    document = merged.build_document()
    if context.as_json:
        print_json(document)
        return
    rows = document["histograms"]
    print_table(COLUMNS, [[row[column] for column in COLUMNS] for row in rows])
