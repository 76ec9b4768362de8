"""Starts real programs with the default times, and load drivers beside them."""

from __future__ import annotations

import http.client
import json
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.harness import documents
from tests.harness.cluster import Cluster, run_cluster
from tests.harness.processes import Process

# The defaults of the settings; they replace the short times of the harness.
LINK = {"ping_s": 0.5, "silent_s": 2.0, "handshake_s": 30.0}
BATCH = {
    "partitions": 8,
    "beat_s": 2.0,
    "owner_lease_s": 10.0,
    "margin_s": 1.0,
    "place_s": 0.1,
}
ENTRY: dict[str, Any] = {"link": LINK, "batch": BATCH, "profile_poll_s": 1.0}
SUBMITTERS = 32


class Bench:
    """A cluster and the load drivers that were started beside it."""

    def __init__(self, cluster: Cluster, directory: Path) -> None:
        self.cluster = cluster
        self._directory = directory
        self._drivers: list[Process] = []

    def start_entry(self, name: str = "e1", **overrides: Any) -> Process:
        """Start an entry, and the table and object store if they do not run yet."""
        names = {process.name for process in self.cluster.processes}
        if "table" not in names:
            self.cluster.start_table()
            self.cluster.start_objects()
        overrides = documents.merge(ENTRY, overrides)
        entry = self.cluster.start_entry(name, **overrides)
        self.cluster.wait_reply(entry, "/-/health")
        return entry

    def start_agents(self, entry: Process, links: int, *options: str) -> Process:
        """Start a driver process; return once all its links are open."""
        number = len(self._drivers) + 1
        address = entry.address("internal")
        arguments = ["--address", address, "--links", str(links), *options]
        driver = Process(
            f"driver{number}", "bench.slopes.agents_driver", arguments, self._directory
        )
        self._drivers.append(driver)
        driver.wait_port("linked")
        return driver

    def read_stats(self, driver: Process) -> dict[str, float]:
        """Return a driver's latest counts."""
        lines = (self._directory / f"{driver.name}.out").read_text().splitlines()
        found = [line for line in lines if line.startswith("stats {")]
        return json.loads(found[-1][6:]) if found else {"at": 0.0}

    def clean_up(self) -> None:
        """Stop the drivers."""
        for driver in self._drivers:
            driver.clean_up()


@contextmanager
def run_bench() -> Iterator[Bench]:
    """Yield a bench without processes; stop all its processes on exit."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        with run_cluster(directory) as cluster:
            bench = Bench(cluster, directory)
            try:
                yield bench
            finally:
                bench.clean_up()


def submit_tasks(entry: Process, count: int, first: int = 0) -> None:
    """Submit small tasks over keep-alive connections."""
    address = entry.address("http")

    def submit_part(part: int) -> None:
        connection = http.client.HTTPConnection(address, timeout=30)
        for number in range(first + part, first + count, SUBMITTERS):
            _submit(connection, number)
        connection.close()

    with ThreadPoolExecutor(SUBMITTERS) as pool:
        list(pool.map(submit_part, range(SUBMITTERS)))


def _submit(connection: http.client.HTTPConnection, number: int) -> None:
    document = {
        "kind": "press",
        "team": f"team-{number % 10}",
        "profile": "batch",
        "cpu_milli": 1_000,
        "memory_mib": 1_000,
        "payload": "x" * 100,
    }
    headers = {"content-type": "application/json", "idempotency-key": f"k{number}"}
    while True:
        connection.request("POST", "/tasks", json.dumps(document), headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status < 300:
            return
        if answer.status != 503:
            raise AssertionError(body)
        time.sleep(0.2)
