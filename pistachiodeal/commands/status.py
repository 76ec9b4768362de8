"""``pistachiodeal status``: shows the status of an entry."""

from __future__ import annotations

import argparse

from pistachiodeal.commands.entries import call_entries
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_fields, print_json
from pistachiodeal.commands.parsers import Subparsers, add_command


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the command to the parser."""
    text = "show the status of the first entry that answers"
    add_command(parsers, common, "status", text, run_status)


async def run_status(context: Context, args: argparse.Namespace) -> None:
    """Print the status of one entry."""
    answer = await call_entries(context, "GET", "/-/status", repeatable=True)
    if context.as_json:
        print_json(answer.document)
        return
    print(f"entry: {answer.entry}")
    print_fields(answer.document)
