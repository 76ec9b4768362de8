"""Generates one option per field of the profile model."""

from __future__ import annotations

import argparse
from collections.abc import Mapping
from typing import Any

import orjson
from pydantic import ValidationError

from pistachiodeal.commands.documents import read_document
from pistachiodeal.commands.errors import UsageError
from pistachiodeal.config.load import format_path
from pistachiodeal.model.policies import Profile

DEST_PREFIX = "field_"


def add_field_options(parser: argparse.ArgumentParser) -> None:
    """Add an option for each field except the name."""
    group = parser.add_argument_group("fields of the profile")
    for name, field in Profile.model_fields.items():
        if name == "name":
            continue
        option = "--" + name.replace("_", "-")
        text = f"{field.description} (default: {field.default})"
        common: dict[str, Any] = {
            "dest": DEST_PREFIX + name,
            "default": argparse.SUPPRESS,
            "help": text,
        }
        if field.annotation is bool:
            group.add_argument(option, action=argparse.BooleanOptionalAction, **common)
        else:
            convert = int if field.annotation is int else float
            group.add_argument(option, type=convert, metavar="N", **common)


def read_fields(args: argparse.Namespace) -> dict[str, Any]:
    """Return the given fields, including those of ``--file``.

    An option overrides the same field of the file.

    :raises UsageError: the file is not a JSON object.
    """
    fields: dict[str, Any] = {}
    if args.file is not None:
        fields.update(read_document(args.file, "a JSON object"))
    for dest, value in vars(args).items():
        if dest.startswith(DEST_PREFIX):
            fields[dest.removeprefix(DEST_PREFIX)] = value
    return fields


def build_profile(name: str, fields: Mapping[str, Any]) -> Profile:
    """Return the profile with these fields.

    :raises UsageError: lists all invalid fields.
    """
    if fields.get("name", name) != name:
        raise UsageError(f"the file is for profile {fields['name']!r}, not {name!r}")
    try:
        return Profile.model_validate_json(
            orjson.dumps({**fields, "name": name}), strict=True
        )
    except ValidationError as error:
        faults = [
            f"{format_path(fault['loc'])}: {fault['msg']}"
            for fault in error.errors(include_url=False, include_input=False)
        ]
        raise UsageError("\n".join(faults)) from error
