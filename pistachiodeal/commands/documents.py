"""JSON documents that an operator names on the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from pistachiodeal.commands.errors import UsageError


def read_document(path: str, kind: str) -> dict[str, Any]:
    """Return the JSON object in a file.

    :param kind: what it should be, for the operator's eyes.
    :raises UsageError: it can't be read, or is something else.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise UsageError(f"{path}: {error}") from error
    if not isinstance(document, dict):
        raise UsageError(f"{path}: is not {kind}")
    return document
