"""Decodes the operator's configuration from its row in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import MAX_NUMBER, check_fields
from pistachiodeal.jobs.model import Queue
from pistachiodeal.malformed import MALFORMED, describe

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
DEFAULT_ATTEMPTS = 1
DEFAULT_STRETCH = 2.0


@dataclass(frozen=True, slots=True)
class UnreadableQueue:
    """A queue that can't be decoded.

    :param name: its name, empty if it has none.
    :param cause: what is wrong with it.
    """

    name: str
    cause: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The queues in force.

    :param version: increases with each change, not always by one.
    :param unreadable: queues that are not among ``queues``, since they are malformed.
    """

    version: int
    queues: tuple[Queue, ...]
    unreadable: tuple[UnreadableQueue, ...] = ()


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration from the value of its row.

    A malformed queue is listed as unreadable, and the others are still returned.

    :raises ProtocolError: the value, or each of its queues, is malformed.
    """
    try:
        document = orjson.loads(value)
        version = int(document["version"])
        if not 0 <= version <= MAX_NUMBER:
            raise ValueError("the version is out of bounds")
        decoded = [_decode_queue(route) for route in document["routes"]]
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="configuration.decode") from None
    queues = tuple(queue for queue in decoded if isinstance(queue, Queue))
    unreadable = tuple(queue for queue in decoded if isinstance(queue, UnreadableQueue))
    if unreadable and not queues:
        raise ProtocolError(unreadable[0].cause, step="configuration.decode")
    return Configuration(version, queues, unreadable)


def _decode_queue(route: Any) -> Queue | UnreadableQueue:
    try:
        queue = _build_queue(route)
        check_fields(queue)
        return queue
    except MALFORMED as error:
        name = route.get("name") if isinstance(route, dict) else ""
        return UnreadableQueue(name if isinstance(name, str) else "", describe(error))


def _build_queue(route: dict[str, Any]) -> Queue:
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
