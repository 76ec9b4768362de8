"""Helpers that build the argument parser."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from pistachiodeal.commands.options import Context

CommandHandler: TypeAlias = Callable[[Context, argparse.Namespace], Awaitable[None]]
Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def add_group(parsers: Subparsers, name: str, text: str) -> Subparsers:
    """Add a command that only groups subcommands."""
    parser = parsers.add_parser(name, help=text, description=_sentence(text))
    return parser.add_subparsers(dest=f"{name}_command", required=True, metavar="WHAT")


def add_command(
    parsers: Subparsers,
    common: argparse.ArgumentParser,
    name: str,
    text: str,
    run: CommandHandler,
) -> argparse.ArgumentParser:
    """Add an executable command.

    :param run: called with the context and the arguments.
    """
    parser = parsers.add_parser(
        name, help=text, description=_sentence(text), parents=[common]
    )
    parser.set_defaults(run=run)
    return parser


def _sentence(text: str) -> str:
    return f"{text[0].upper()}{text[1:]}."
