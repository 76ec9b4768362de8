"""Decodes the operator's configuration from its row in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.jobs.model import Queue

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
DEFAULT_ATTEMPTS = 1
DEFAULT_STRETCH = 2.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The queues in force.

    :param version: increases with each change, not always by one.
    :param max_body_bytes: maximum size of a caller's request body.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int = 262_144


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration from the value of its row.

    :raises ProtocolError: the value is malformed.
    """
    try:
        document = orjson.loads(value)
        queues = tuple(_decode_queue(route) for route in document["routes"])
        for queue in queues:
            check_fields(queue)
        limits = document.get("limits", {})
        return Configuration(
            int(document["version"]),
            queues,
            int(limits.get("max_body_bytes", 262_144)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(repr(error), step="configuration.decode") from None


def _decode_queue(route: dict[str, Any]) -> Queue:
    return Queue(
        route["name"],
        route.get("host", ""),
        route["path_prefix"],
        route["service"],
        int(route.get("priority", 0)),
        int(route.get("attempts", 0)) or DEFAULT_ATTEMPTS,
        float(route.get("stretch", 0)) or DEFAULT_STRETCH,
        # For a queue this is not the latency of a request: it is added to the time
        # within which a job has its full value.
        float(route.get("target_latency_ms", 0)) / 1000,
        "advice" in route and bool(route["advice"]),
    )
