"""``pistachiodeal settings``: checks a settings file, prints the reference."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from pydantic import BaseModel

from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_json
from pistachiodeal.commands.parsers import Subparsers, add_command, add_group
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.config.load import load_settings
from pistachiodeal.config.reference import build_reference

MODELS: dict[str, type[BaseModel]] = {"entry": EntrySettings, "agent": AgentSettings}


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the commands to the parser."""
    group = add_group(parsers, "settings", "check settings without starting anything")
    check = add_command(group, common, "check", "check a settings file", run_check)
    check.add_argument("file", metavar="FILE")
    check.add_argument(
        "--program",
        choices=sorted(MODELS),
        help="program of the settings (default: the one with most matching fields)",
    )
    text = "print every setting with its default"
    add_command(group, common, "reference", text, run_reference)


async def run_check(context: Context, args: argparse.Namespace) -> None:
    """Check a settings file.

    :raises SettingsError: lists all errors.
    """
    program = args.program or guess_program(args.file)
    settings = load_settings(args.file, MODELS[program])
    if context.as_json:
        print_json({"program": program, "settings": _hide_secrets(settings)})
    else:
        print(f"{args.file}: valid settings of an {program}")


async def run_reference(context: Context, args: argparse.Namespace) -> None:
    """Print the reference as Markdown, or the schemas as JSON."""
    if context.as_json:
        schemas = {name: model.model_json_schema() for name, model in MODELS.items()}
        print_json(schemas)
    else:
        print(build_reference(), end="")


def guess_program(path: str) -> str:
    """Return the program with most fields in a file; entry if it is unreadable."""
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError):
        return "entry"
    names = set(document) if isinstance(document, dict) else set()
    return max(MODELS, key=lambda name: len(names & set(MODELS[name].model_fields)))


def _hide_secrets(settings: BaseModel) -> dict[str, Any]:
    document = settings.model_dump()
    for name in ("secret", "operator_token"):
        if name in document:
            document[name] = "(set)"
    return document
