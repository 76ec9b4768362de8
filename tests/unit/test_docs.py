"""The documentation matches the code."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from pistachiodeal import exit_codes
from pistachiodeal.config import reference

ROOT = Path(__file__).parents[2]
GUIDE = ROOT / "docs" / "user-guide"
CODE = re.compile(r"[a-z]+(_[a-z]+)*")
# Functions with the error code as one of their positional arguments.
CODE_FUNCTIONS = frozenset(
    (
        "_refuse",
        "_refuse_all",
        "_fail",
        "_build",
        "_build_error",
        "build_conflict",
        "build_not_found",
        "build_refusal",
    )
)


@pytest.mark.parametrize(
    ("page", "build"),
    [
        (reference.SETTINGS_PAGE, reference.build_reference),
        (reference.PROFILE_PAGE, reference.build_profile_reference),
    ],
)
def test_generated_pages_are_current(page: str, build) -> None:
    assert (GUIDE / page).read_text() == build(), "run make docs"


def test_every_exit_status_is_documented() -> None:
    text = (GUIDE / "exit-statuses.md").read_text()
    rows = dict(re.findall(r"^\| (\d+) \| (.*?) \|$", text, re.MULTILINE))
    meanings = {str(code): text for code, text in exit_codes.MEANINGS.items()}
    assert rows == meanings


def test_every_error_code_is_documented() -> None:
    text = (GUIDE / "error-codes.md").read_text()
    documented = set(re.findall(r"^\| `([a-z_0-9]+)` \|", text, re.MULTILINE))
    used = set()
    for path in (ROOT / "pistachiodeal").rglob("*.py"):
        used |= set(find_codes(ast.parse(path.read_text())))
    assert used - documented == set()


def find_codes(module: ast.Module) -> Iterator[str]:
    """Yield the codes of error classes and the codes that are passed to calls."""
    constants = dict(find_constants(module.body))
    for node in ast.walk(module):
        values: list[ast.expr] = []
        if isinstance(node, ast.ClassDef):
            yield from (text for _, text in find_constants(node.body, "code"))
        elif isinstance(node, ast.keyword) and node.arg == "code":
            values = [node.value]
        elif isinstance(node, ast.Call) and get_name(node.func) in CODE_FUNCTIONS:
            values = node.args
        texts = (resolve(value, constants) for value in values)
        yield from (text for text in texts if CODE.fullmatch(text))


def get_name(function: ast.expr) -> str:
    """Return the last part of a called function's name."""
    if isinstance(function, ast.Attribute):
        return function.attr
    return function.id if isinstance(function, ast.Name) else ""


def resolve(value: ast.expr, constants: dict[str, str]) -> str:
    """Return the constant text of an argument, or an empty one."""
    if isinstance(value, ast.Name):
        return constants.get(value.id, "")
    return str(value.value) if isinstance(value, ast.Constant) else ""


def find_constants(body: list[ast.stmt], only: str = "") -> Iterator[tuple[str, str]]:
    """Yield the names and values of constants assigned in a body."""
    for node in body:
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Constant):
            continue
        for target in node.targets:
            if isinstance(target, ast.Name) and target.id in (only or target.id,):
                yield target.id, str(node.value.value)
