"""Generates the settings reference from the declarations."""

from __future__ import annotations

import inspect
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Literal, get_args, get_origin

import annotated_types
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.checks import CHECKS, Check
from pistachiodeal.config.deployment_reference import describe_deployment
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.model.policies import Profile

HEADER = """# Settings

<!-- Made by `make docs` from the declarations in pistachiodeal/config. -->

Each program reads one JSON file, named by `--settings`, and validates it at start:
all unknown keys, wrong types, invalid values and conflicting fields are reported
at once, each with its path, and the exit status is 2.
`pistachiodeal settings check FILE` does the same without starting the program.

Times are in seconds (`_s`) or milliseconds (`_ms`), sizes in bytes. Addresses
are an IPv4 address and a port. A field without a default is required.
"""
PROFILE_HEADER = """# Fields of a profile

<!-- Made by `make docs` from the declaration in pistachiodeal/model/policies.py. -->

`pistachiodeal profile define` has an option for each field; `--file FILE` reads
them from a JSON object instead. [Profiles](profiles.md) describes how to choose them.
"""
TABLE_HEAD = """| field | type | default | limits | meaning |
| --- | --- | --- | --- | --- |
"""
SETTINGS_PAGE = "settings.md"
PROFILE_PAGE = "profile-fields.md"
PROGRAMS: tuple[tuple[str, type[BaseModel]], ...] = (
    ("pistachiodeal-entry", EntrySettings),
    ("pistachiodeal-agent", AgentSettings),
)
TYPE_NAMES = {
    "str": "text",
    "int": "whole number",
    "float": "number",
    "bool": "true or false",
    "list": "list of texts",
    "dict": "object of whole numbers",
}


def build_reference() -> str:
    """Return the page on all settings in Markdown."""
    parts = [HEADER]
    for program, model in PROGRAMS:
        parts.append(f"\n## {program}\n")
        parts.extend(_describe_section(model, ""))
        parts.append("\n### Checked together\n\n")
        parts.extend(map(_describe_check, CHECKS[model]))
    parts.extend(describe_deployment())
    return "".join(parts)


def build_profile_reference() -> str:
    """Return the page on all fields of a profile in Markdown."""
    fields = Profile.model_fields.items()
    rows = "".join(_describe_field(name, field) for name, field in fields)
    return f"{PROFILE_HEADER}\n{TABLE_HEAD}{rows}"


def _describe_check(check: Check) -> str:
    path = check.paths[0]
    if check.fault.startswith("must"):
        return f"- `{path}` {check.fault}.\n"
    return f"- `{path}`: a fault if it {check.fault}.\n"


def _describe_section(model: type[BaseModel], path: str) -> Iterator[str]:
    """Yield the table of a section's own fields, then those of its subsections."""
    if path:
        yield f"\n### {path}\n"
    yield f"\n{inspect.getdoc(model)}\n\n"
    yield TABLE_HEAD
    sections = []
    for name, field in model.model_fields.items():
        section = field.annotation
        if isinstance(section, type) and issubclass(section, BaseModel):
            sections.append((name, section))
        else:
            yield _describe_field(f"{path}.{name}" if path else name, field)
    for name, section in sections:
        yield from _describe_section(section, f"{path}.{name}" if path else name)


def _describe_field(path: str, field: FieldInfo) -> str:
    cells = (
        f"`{path}`",
        _name_type(field.annotation),
        _format_default(field),
        _format_limits(field),
        str(field.description or "").replace("|", "\\|"),
    )
    return f"| {' | '.join(cells)} |\n"


def _name_type(annotation: Any) -> str:
    origin = get_origin(annotation) or annotation
    if origin is Literal:
        return "one of " + ", ".join(f"`{value}`" for value in get_args(annotation))
    return TYPE_NAMES[origin.__name__]


def _format_default(field: FieldInfo) -> str:
    default = field.get_default(call_default_factory=True)
    if default is PydanticUndefined:
        return "(required)"
    if default in ("", {}, []):
        return "empty"
    return f"`{default}`"


def _format_limits(field: FieldInfo) -> str:
    limits = []
    for item in field.metadata:
        if isinstance(item, annotated_types.Gt):
            limits.append(f"over {item.gt}")
        elif isinstance(item, annotated_types.Ge):
            limits.append(f"from {item.ge}")
        elif isinstance(item, annotated_types.Lt):
            limits.append(f"under {item.lt}")
        elif isinstance(item, annotated_types.Le):
            limits.append(f"up to {item.le}")
        elif isinstance(item, annotated_types.MinLen):
            limits.append(f"length from {item.min_length}")
    return ", ".join(limits)


def write_pages(directory: Path) -> None:
    """Write both pages to a directory."""
    (directory / SETTINGS_PAGE).write_text(build_reference(), encoding="utf-8")
    (directory / PROFILE_PAGE).write_text(build_profile_reference(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
