"""Counters, timers and gauges, sent to statsd if an address is configured."""

from __future__ import annotations

from typing import Protocol

import statsd

from pistachiodeal.addresses import split_address
from pistachiodeal.config.common import StatsdSettings

NAME_LIMIT = 1000
OTHER = "other"


class Metrics(Protocol):
    """Records measurements; never raises and never blocks."""

    def count(self, name: str, n: int = 1) -> None:
        """Add ``n`` to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Record a current value."""

    def counts(self) -> dict[str, int]:
        """Return all counters since the start of the process."""


class MemoryMetrics:
    """Keeps counters in memory; ignores timers and gauges."""

    def __init__(self, limit: int = NAME_LIMIT) -> None:
        self._limit = limit
        self._counts: dict[str, int] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Add ``n`` to a counter."""
        if name not in self._counts and len(self._counts) >= self._limit:
            name = OTHER
        self._counts[name] = self._counts.get(name, 0) + n

    def time(self, name: str, seconds: float) -> None:
        """Ignore a timer."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""

    def counts(self) -> dict[str, int]:
        """Return all counters since the start of the process."""
        return dict(self._counts)


class StatsdMetrics(MemoryMetrics):
    """Sends each measurement to statsd over UDP and keeps the counters in memory."""

    def __init__(self, client: statsd.StatsClient) -> None:
        super().__init__()
        self._client = client

    def count(self, name: str, n: int = 1) -> None:
        """Add ``n`` to a counter."""
        super().count(name, n)
        self._client.incr(name, n)

    def time(self, name: str, seconds: float) -> None:
        """Send a timer, in milliseconds as statsd expects."""
        self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Send a gauge."""
        self._client.gauge(name, value)


def create_metrics(settings: StatsdSettings) -> Metrics:
    """Return statsd metrics, or in-memory ones if no address is configured."""
    if not settings.address:
        return MemoryMetrics()
    host, port = split_address(settings.address)
    client = statsd.StatsClient(host, port, prefix=settings.prefix)
    return StatsdMetrics(client)
