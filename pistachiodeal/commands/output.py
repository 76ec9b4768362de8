"""Prints output as JSON or as plain text."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from pistachiodeal.commands.errors import CommandError


def print_json(document: Any) -> None:
    """Print a JSON document with sorted keys."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under a header, each column as wide as its widest cell."""
    cells = [list(columns), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(document: Any) -> None:
    """Print a document, one line per value."""
    for path, value in _flatten(document, ""):
        print(f"{path}: {format_cell(value)}")


def format_cell(value: Any) -> str:
    """Format a value for a table cell or a line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, (list, tuple)):
        return ", ".join(format_cell(item) for item in value) or "-"
    return str(value)


def format_error(error: CommandError) -> str:
    """Format an error as text lines."""
    lines = [f"pistachiodeal: {error}"]
    if "\n" in error.detail:
        where = f" {error.peer}" if error.peer else ""
        lines = [f"pistachiodeal: {error.code}:{where}"]
        lines += [f"  {line}" for line in error.detail.splitlines()]
    if error.outcome != "not_run":
        lines.append(
            f"pistachiodeal: outcome {error.outcome}: check the state before retrying"
        )
    return "\n".join(lines)


def _flatten(value: Any, path: str) -> Iterable[tuple[str, Any]]:
    if isinstance(value, dict) and value:
        for name, item in value.items():
            yield from _flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}[{index}]")
    elif isinstance(value, dict):
        yield path, None
    else:
        yield path, value
