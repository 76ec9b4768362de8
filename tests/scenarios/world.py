"""State that the steps of a scenario share: cluster, requests, submitted tasks."""

from __future__ import annotations

import http.client
import json
import threading
import time
from base64 import b64decode
from dataclasses import dataclass, field
from typing import Any

from tests.harness import Cluster, Process, Reply, call
from tests.harness.calls import call_json
from tests.harness.cluster import get_address
from tests.harness.waiting import wait_until
from tests.scenarios.load import Load

SERVICE = "orders"
PROFILE = "counter"
BATCH_PROFILE = "batch"
DEADLINE_MS = 5_000
CALL_LIMIT_S = 20.0


@dataclass
class SentRequest:
    """A caller's request, sent in its own thread."""

    name: str
    entry: str
    method: str
    target: str
    headers: dict[str, str]
    reply: Reply | None = None
    error: Exception | None = None
    thread: threading.Thread | None = None
    took_s: float = 0.0

    def finish(self) -> None:
        """Wait until it has an answer, or its connection has failed."""
        assert self.thread is not None
        self.thread.join(CALL_LIMIT_S)
        assert not self.thread.is_alive(), f"{self.name} has no answer"

    def answer(self) -> Reply:
        """Return the complete answer."""
        self.finish()
        assert self.reply is not None, f"{self.name}: {self.error!r}"
        return self.reply


@dataclass
class World:
    """The state of one scenario."""

    cluster: Cluster
    entries: list[str] = field(default_factory=list)
    workers: list[str] = field(default_factory=list)
    relays: dict[str, Process] = field(default_factory=dict)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    tasks: dict[str, str] = field(default_factory=dict)
    submissions: dict[str, Reply] = field(default_factory=dict)
    notes: dict[str, Any] = field(default_factory=dict)
    load: Load | None = None

    def address(self, entry: str) -> str:
        """Return an entry's HTTP address."""
        return get_address(self.cluster[entry], "http")

    def live_entry(self) -> str:
        """Return the name of an entry that runs and is not frozen."""
        halted = self.notes.get("halted", ())
        for name in self.entries:
            if self.cluster[name].running and name not in halted:
                return name
        raise AssertionError("no entry runs")

    def send(
        self, name: str, method: str, target: str, entry: str, **headers: str
    ) -> SentRequest:
        """Send a request in a new thread."""
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        named.setdefault("pistachiodeal-deadline-ms", str(DEADLINE_MS))
        named["x-case"] = name
        sent = SentRequest(name, entry, method, target, named)
        body = f"body of {named.get('idempotency-key', name)}"
        address = self.address(entry)

        def run() -> None:
            started = time.monotonic()
            try:
                sent.reply = call(address, method, target, named, body)
            except (OSError, http.client.HTTPException) as error:
                sent.error = error
            sent.took_s = time.monotonic() - started

        sent.thread = threading.Thread(target=run, daemon=True)
        sent.thread.start()
        self.sent[name] = sent
        return sent

    def executions(self, **wanted: str) -> list[dict[str, Any]]:
        """Return the started executions that runners, also killed ones, recorded."""
        names = [f"{SERVICE}-{worker}" for worker in self.workers]
        events = self.cluster.read_events(*names)
        return [
            event
            for event in events
            if event["event"] == "start"
            and all(event.get(key) == value for key, value in wanted.items())
        ]

    def intervals(self, task_id: str = "") -> list[dict[str, Any]]:
        """Return the runs that workers recorded, including killed workers.

        A run without a recorded end is open. On a running worker it is still running;
        on a killed worker it ended no later than the kill.
        """
        intervals: dict[tuple[str, str, int], dict[str, Any]] = {}
        names = [f"worker-{worker}" for worker in self.workers]
        for event in self.cluster.read_events(*names):
            if event["event"] not in ("start", "end"):
                continue
            if task_id and event["task_id"] != task_id:
                continue
            key = (event["worker"], event["task_id"], event["attempt"])
            intervals[key] = event
        for event in intervals.values():
            process = self.cluster[f"worker-{event['worker']}"]
            if event["end"] is None:
                event["end"] = process.killed_at
        return sorted(intervals.values(), key=lambda event: event["start"])

    def running(self, task_id: str) -> list[dict[str, Any]]:
        """Return the open runs of a task."""
        return [run for run in self.intervals(task_id) if run["end"] is None]

    def wait_running(self, task: str, limit_s: float = 30.0) -> dict[str, Any]:
        """Wait until a task runs somewhere; return its run."""
        task_id = self.tasks[task]
        runs = wait_until(lambda: self.running(task_id), f"{task} runs", limit_s)
        return runs[0]

    def owner(self, task: str) -> str:
        """Return the entry that owns a task's partition according to the table."""
        partition = self.tasks[task].partition("-")[0]
        row = self.table_row(f"partition/{partition}")
        return str(row.get("node", ""))

    def table_row(self, key: str) -> dict[str, Any]:
        """Return a row of the table, or an empty one if it doesn't exist."""
        address = self.cluster["table"].address()
        reply = call_json(address, "POST", "/read", {"keys": [key]})
        rows = reply.document()["rows"]
        return dict(json.loads(b64decode(rows[0]["value"]))) if rows else {}

    def clean_up(self) -> None:
        """Stop the load, if there is one."""
        if self.load is not None:
            self.load.stop()
