"""The operator's configuration: where it lies and how it is spelled."""

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

    :param version: rises with each change, in uneven steps.
    :param max_body_bytes: largest request body of a caller.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int = 262_144


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration of its row.

    :raises ProtocolError: the value can't be read.
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
        # On a queue the aim is not a request's latency: it is added to the time
        # within which a job is worth its full value.
        float(route.get("target_latency_ms", 0)) / 1000,
        "advice" in route and bool(route["advice"]),
    )
