"""``pistachiodeal profile``: define, revise, retire, list and show profiles."""

from __future__ import annotations

import argparse
from typing import Any

from pistachiodeal.commands.entries import Answer, call_entries
from pistachiodeal.commands.errors import UsageError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_fields, print_json, print_table
from pistachiodeal.commands.parsers import Subparsers, add_command, add_group
from pistachiodeal.commands.profile_fields import (
    add_field_options,
    build_profile,
    read_fields,
)

PROFILES = "/-/profiles"
COLUMNS = (
    "name",
    "version",
    "latency_critical",
    "promised_ms",
    "percentile",
    "urgency",
    "share",
    "services",
)


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the commands to the parser."""
    group = add_group(parsers, "profile", "define, revise and retire profiles")
    define = add_command(group, common, "define", "define a new profile", run_define)
    define.add_argument("name")
    define.add_argument("--file", metavar="FILE", help="JSON object of fields")
    add_field_options(define)
    revise = add_command(
        group, common, "revise", "change fields of a profile", run_revise
    )
    revise.add_argument("name")
    revise.add_argument("--file", metavar="FILE", help="JSON object of fields")
    _add_version(revise)
    add_field_options(revise)
    retire = add_command(group, common, "retire", "remove a profile", run_retire)
    retire.add_argument("name")
    _add_version(retire)
    add_command(group, common, "list", "list the profiles", run_list)
    show = add_command(group, common, "show", "show one profile", run_show)
    show.add_argument("name")


async def run_define(context: Context, args: argparse.Namespace) -> None:
    """Define a profile; fails if one of that name already exists."""
    profile = build_profile(args.name, read_fields(args))
    answer = await call_entries(
        context,
        "PUT",
        _build_target(args.name),
        document=profile.model_dump(),
        headers=(("if-none-match", "*"),),
    )
    _print_change(context, "defined", args.name, answer)


async def run_revise(context: Context, args: argparse.Namespace) -> None:
    """Change the given fields of a profile.

    The profile is read first and written with a condition on its version. If
    it changes in between, the entry refuses the write, so an operator never
    overwrites a change that they have not seen.
    """
    changes = read_fields(args)
    if not changes:
        raise UsageError("no field to change was given")
    target = _build_target(args.name)
    current = await call_entries(context, "GET", target, repeatable=True)
    fields = {**current.document["profile"], **changes}
    profile = build_profile(args.name, fields)
    answer = await call_entries(
        context,
        "PUT",
        target,
        document=profile.model_dump(),
        headers=_build_condition(args, current),
    )
    _print_change(context, "revised", args.name, answer)


async def run_retire(context: Context, args: argparse.Namespace) -> None:
    """Remove a profile that no service uses."""
    target = _build_target(args.name)
    current = await call_entries(context, "GET", target, repeatable=True)
    answer = await call_entries(
        context, "DELETE", target, headers=_build_condition(args, current)
    )
    _print_change(context, "retired", args.name, answer)


async def run_list(context: Context, args: argparse.Namespace) -> None:
    """Print all profiles."""
    answer = await call_entries(context, "GET", PROFILES, repeatable=True)
    if context.as_json:
        print_json(answer.document)
        return
    items: list[dict[str, Any]] = answer.document["profiles"]
    rows = [_flatten_item(item) for item in items]
    print_table(COLUMNS, [[row[column] for column in COLUMNS] for row in rows])


async def run_show(context: Context, args: argparse.Namespace) -> None:
    """Print one profile with its version."""
    answer = await call_entries(
        context, "GET", _build_target(args.name), repeatable=True
    )
    if context.as_json:
        print_json(answer.document)
        return
    print_fields(_flatten_item(answer.document))


def _flatten_item(item: dict[str, Any]) -> dict[str, Any]:
    """Return a profile's fields with its version and the services that use it."""
    return {
        **item["profile"],
        "version": item["version"],
        "services": item["services"],
    }


def _build_target(name: str) -> str:
    return f"{PROFILES}/{name}"


def _add_version(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--if-version",
        type=int,
        metavar="N",
        help="only if this is still the current version",
    )


def _build_condition(
    args: argparse.Namespace, current: Answer
) -> tuple[tuple[str, str], ...]:
    if args.if_version is not None:
        return (("if-match", f'"{args.if_version}"'),)
    return (("if-match", current.etag),)


def _print_change(context: Context, verb: str, name: str, answer: Answer) -> None:
    version = answer.document["version"]
    if context.as_json:
        print_json({"profile": name, "change": verb, "version": version})
    else:
        print(f"profile {name} {verb} at version {version}")
