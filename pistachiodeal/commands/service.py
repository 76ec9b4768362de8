"""``pistachiodeal service``: assign services to profiles."""

from __future__ import annotations

import argparse
import re
from typing import Any

from pistachiodeal.commands.entries import call_entries
from pistachiodeal.commands.errors import UsageError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_fields, print_json, print_table
from pistachiodeal.commands.parsers import Subparsers, add_command, add_group
from pistachiodeal.model.policies import NAME_PATTERN

SERVICES = "/-/services"
COLUMNS = ("service", "profile", "version")


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the commands to the parser."""
    group = add_group(parsers, "service", "assign services to profiles")
    assign = add_command(
        group, common, "assign", "assign a profile to a service", run_assign
    )
    assign.add_argument("service")
    assign.add_argument("profile")
    add_command(group, common, "list", "list the services", run_list)
    show = add_command(group, common, "show", "show one service", run_show)
    show.add_argument("service")
    remove = add_command(
        group, common, "remove", "remove a service from its profile", run_remove
    )
    remove.add_argument("service")
    for parser in (assign, remove):
        parser.add_argument(
            "--if-version",
            type=int,
            metavar="N",
            help="only if this is still the current version",
        )


async def run_assign(context: Context, args: argparse.Namespace) -> None:
    """Assign a profile to a service."""
    answer = await call_entries(
        context,
        "PUT",
        _build_target(args.service),
        document={"profile": args.profile},
        headers=_build_condition(args),
    )
    if context.as_json:
        print_json(answer.document)
    else:
        version = answer.document["version"]
        print(f"service {args.service} has {args.profile} since version {version}")


async def run_list(context: Context, args: argparse.Namespace) -> None:
    """Print all services."""
    answer = await call_entries(context, "GET", SERVICES, repeatable=True)
    if context.as_json:
        print_json(answer.document)
        return
    services: list[dict[str, Any]] = answer.document["services"]
    print_table(COLUMNS, [[item[column] for column in COLUMNS] for item in services])


async def run_show(context: Context, args: argparse.Namespace) -> None:
    """Print one service."""
    answer = await call_entries(
        context, "GET", _build_target(args.service), repeatable=True
    )
    if context.as_json:
        print_json(answer.document)
    else:
        print_fields(answer.document)


async def run_remove(context: Context, args: argparse.Namespace) -> None:
    """Remove a service from its profile.

    The default profile applies to it as long as it has runners.
    """
    await call_entries(
        context, "DELETE", _build_target(args.service), headers=_build_condition(args)
    )
    if context.as_json:
        print_json({"service": args.service, "change": "removed"})
    else:
        print(f"service {args.service} removed")


def _build_target(service: str) -> str:
    if not re.match(NAME_PATTERN, service):
        raise UsageError(f"service {service!r} is not a name")
    return f"{SERVICES}/{service}"


def _build_condition(args: argparse.Namespace) -> tuple[tuple[str, str], ...]:
    if args.if_version is None:
        return ()
    return (("if-match", f'"{args.if_version}"'),)
