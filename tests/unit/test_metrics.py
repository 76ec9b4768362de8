"""Metrics in memory and over statsd."""

from __future__ import annotations

import socket

from pistachiodeal.config.common import StatsdSettings
from pistachiodeal.metrics import MemoryMetrics, create_metrics


def test_metrics_are_sent_to_statsd() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(10)
        port = receiver.getsockname()[1]
        metrics = create_metrics(StatsdSettings(address=f"127.0.0.1:{port}"))
        metrics.count("requests", 2)
        metrics.time("route", 0.25)
        lines = [receiver.recv(1024).decode() for _ in range(2)]
    assert lines == ["pistachiodeal.requests:2|c", "pistachiodeal.route:250.000000|ms"]
    assert metrics.counts() == {"requests": 2}


def test_names_over_the_limit_share_one_counter() -> None:
    metrics = MemoryMetrics(limit=2)
    for name in "abcd":
        metrics.count(name)
    assert metrics.counts() == {"a": 1, "b": 1, "other": 2}
