"""Loads settings files and reports all faults at once."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NoReturn, TypeVar

from pydantic import BaseModel, ValidationError

from pistachiodeal.config.checks import find_conflicts
from pistachiodeal.exceptions import SettingsError

T = TypeVar("T", bound=BaseModel)
TOP = "(top)"


def load_settings(path: str, model: type[T]) -> T:
    """Return the settings in a JSON file.

    :raises SettingsError: the detail lists all faults, one per line, each with
        the path of its field.
    """
    text = _read_text(path)
    document, faults = _parse(text, path)
    settings, field_faults = _validate(model, document)
    faults += [f"{where}: {what}" for where, what in field_faults]
    faulty = frozenset(where for where, _ in field_faults)
    faults += find_conflicts(model, document, faulty)
    if faults or settings is None:
        _fail(faults, path)
    return settings


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        _fail(["is not UTF-8"], path)
    except OSError as error:
        _fail([error.strerror or "cannot be read"], path)


def _parse(text: str, path: str) -> tuple[Any, list[str]]:
    """Return the document, and a fault for each key that an object repeats."""
    duplicates: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        # json silently keeps the last of two equal keys; an operator who sees the
        # first one could not tell why it has no effect.
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        duplicates.extend(f"{name}: is repeated in one object" for name in twice)
        return dict(pairs)

    try:
        document = json.loads(
            text, object_pairs_hook=build_object, parse_constant=_refuse_constant
        )
    except json.JSONDecodeError as error:
        _fail([f"line {error.lineno}, column {error.colno}: {error.msg}"], path)
    except (ValueError, RecursionError) as error:
        _fail([str(error)], path)
    return document, duplicates


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _validate(model: type[T], document: Any) -> tuple[T | None, list[tuple[str, str]]]:
    try:
        # Strict validation of JSON input refuses "5" for a number but accepts the
        # integer 5 for a float.
        return model.model_validate_json(json.dumps(document), strict=True), []
    except ValidationError as error:
        return None, [
            (format_path(fault["loc"]), fault["msg"])
            for fault in error.errors(include_url=False, include_input=False)
        ]


def format_path(parts: tuple[int | str, ...]) -> str:
    """Return the path of a field as text, for example ``batch.beat_s``."""
    return ".".join(str(part) for part in parts) or TOP


def _fail(faults: list[str], path: str) -> NoReturn:
    raise SettingsError("\n".join(faults), step="settings.load", peer=path)
