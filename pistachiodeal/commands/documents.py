"""Reads JSON files that are named on the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from pistachiodeal.commands.errors import UsageError


def read_document(path: str, kind: str) -> dict[str, Any]:
    """Return the JSON object in a file.

    :param kind: what the file should contain, for the error message.
    :raises UsageError: the file can't be read or doesn't contain a JSON object.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise UsageError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise UsageError(f"{path}: not {kind}")
    return document
