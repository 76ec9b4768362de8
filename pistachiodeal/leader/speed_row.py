"""The speeds of slow workers in the row of learned state."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.malformed import MALFORMED, describe

FIELD = "speeds"
MAX_WORKERS = 1_000
# The row also holds pairs of images and queues, and the store accepts 64 KiB. Names of
# places have 30 to 40 characters.
MAX_BYTES = 24_000
ITEM_BYTES = 10


def encode_speeds(speeds: Mapping[str, float]) -> dict[str, Any]:
    """Return the field of the row, nothing if no worker is slow."""
    items: dict[str, float] = {}
    size = 0
    for place, speed in list(speeds.items())[:MAX_WORKERS]:
        size += len(place.encode()) + ITEM_BYTES
        if size > MAX_BYTES:
            break
        items[place] = round(speed, 2)
    return {FIELD: items} if items else {}


def decode_speeds(value: bytes) -> dict[str, float]:
    """Decode the field of a row; empty if it is missing.

    :raises ProtocolError: the field is malformed.
    """
    try:
        document = orjson.loads(value)
        items = document.get(FIELD, {})
        speeds = {place: _check_speed(speed) for place, speed in items.items()}
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="speeds.decode") from error
    return dict(list(speeds.items())[:MAX_WORKERS])


def _check_speed(speed: Any) -> float:
    if type(speed) not in (int, float) or not math.isfinite(speed) or not speed > 0:
        raise ValueError(f"a speed is {speed!r}")
    return float(speed)
