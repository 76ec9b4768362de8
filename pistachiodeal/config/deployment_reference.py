"""Section of the settings reference on the programs of the users' platform."""

from __future__ import annotations

import inspect
import re
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, get_type_hints

from pistachiodeal.config.deployment import DeploymentSettings

HEADING = """
## Jobs on the users' platform

`python3 -m pistachiodeal.jobentry` and `python3 -m pistachiodeal.jobagent` read these.
The platform renders them from `deploy/*.tmpl`; `--check` validates a file.

| field | type | default | meaning |
| --- | --- | --- | --- |
"""
PARAM = re.compile(r":param (\w+): (.*?)(?=\n:param|\Z)", re.DOTALL)
TYPE_NAMES = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
    tuple[int, ...]: "list of whole numbers",
    tuple[str, ...]: "list of texts",
}


def describe_deployment() -> Iterator[str]:
    """Yield the lines of the section in Markdown."""
    yield HEADING
    yield from _describe(DeploymentSettings, "")


def _describe(cls: Any, path: str) -> Iterator[str]:
    hints = get_type_hints(cls)
    meanings = dict(PARAM.findall(inspect.getdoc(cls) or ""))
    for item in fields(cls):
        name = f"{path}.{item.name}" if path else item.name
        if is_dataclass(hints[item.name]):
            yield from _describe(hints[item.name], name)
            continue
        meaning = " ".join(meanings[item.name].replace("``", "`").split())
        if item.metadata:
            least, most = item.metadata["least"], item.metadata["most"]
            meaning += f" From {least} to {most}."
        kind = TYPE_NAMES[hints[item.name]]
        yield f"| `{name}` | {kind} | {_format_default(item)} | {meaning} |\n"


def _format_default(item: Field[Any]) -> str:
    if item.default is MISSING:
        return "(required)"
    if item.default is False:
        return "`false`"
    return "empty" if item.default in ("", ()) else f"`{item.default}`"
