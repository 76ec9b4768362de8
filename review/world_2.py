"""A small deployment with stand-ins, for the cases of the second review.

The world starts the project's programs as separate processes, with settings rendered
from the templates of the deploy file. Store, runners and clients are stand-ins in this
process. They speak HTTP/1.1 over loopback, as ``PROTOCOL.md`` describes.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ROW_BYTES = 65_536
TXN_S = 0.003
SERVICE = "huvo11a"
HOST = "nony24.example"
HEARTBEAT_S = 1.5
STOP_S = 0.4
RESTORE_S = 0.25
CHECKPOINT_S = 0.5
MAX_HOLD_MS = 10_000
TICK_S = 0.02
FRONT, READY, CONTROL, APP, STORE, PEER = 8161, 8167, 8166, 8165, 8169, 7720

Answer = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class HttpServer:
    """Serves one address; a handler that returns None breaks the connection."""

    def __init__(self, address: tuple[str, int], handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, *self._address, limit=16_000_000
        )

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(
                    f"HTTP/1.1 {answer[0]} x\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # A connection that ends, also at the end of the case, needs no answer.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    document: dict[str, Any] | None = None,
    *,
    headers: dict[str, str],
    timeout_s: float,
) -> tuple[int, dict[str, Any]]:
    """Send one request; return status and body, or status 0 without an answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            headers = {
                "Host": address[0],
                "Content-Type": "application/json",
                **headers,
            }
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, {}
            first, _, content = message
            status = int(first.split(" ")[1])
            return status, json.loads(content) if content else {}
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Row:
    """A row of the store; ``value`` is None once it is removed."""

    part: str
    key: str
    value: bytes | None
    version: int

    def describe(self, table: str) -> dict[str, Any]:
        """Return the row as it is spelled on the wire."""
        found: dict[str, Any] = {
            "table": table,
            "part": self.part,
            "key": self.key,
            "schema_version": self.version,
        }
        if self.value is None:
            return {**found, "removed": True}
        return {**found, "value": b64encode(self.value).decode()}


class Store:
    """The platform's store: linearizable, and it keeps its whole history."""

    def __init__(self, record: Callable[[str], None]) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.refused: dict[str, int] = {}
        self._record = record
        self._changes: list[tuple[str, Row]] = []
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does."""
        self.version += 1
        self._apply(table, Row("", key, value, self.version))
        self._wake()

    async def handle(
        self, method: str, target: str, _: dict[str, str], body: bytes
    ) -> Answer:
        """Answer a call."""
        path = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(path.query).items()}
        if path.path == "/api/rows-tx":
            return await self._commit(json.loads(body))
        if path.path == "/api/rows-get":
            return self._read(query)
        if path.path == "/api/rows-feed":
            return await self._follow(query)
        return 404, {}

    async def _commit(self, document: dict[str, Any]) -> Answer:
        conditions = document.get("expected_rev", [])
        writes, removals = document.get("writes", []), document.get("remove", [])
        entries = [*conditions, *writes, *removals]
        parts = {one.get("part", "") for one in entries}
        if len(entries) > 100 or len(parts) != 1:
            return 400, {"error": "too many entries or parts"}
        values = [b64decode(one["value"]) for one in writes]
        for one, value in zip(writes, values, strict=True):
            if len(value) > ROW_BYTES:
                name = f"{one['table']}/{one['key']}"
                if name not in self.refused:
                    self._record(f"store refuses {name}: {len(value)} bytes in a row")
                self.refused[name] = self.refused.get(name, 0) + 1
                return 400, {"error": f"a row has more than {ROW_BYTES} bytes"}
        if any(one["table"] in ("op", "servers") for one in (*writes, *removals)):
            return 403, {}
        part = parts.pop()
        async with self._locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TXN_S)
            found = [
                (one, self.rows.get((one["table"], part, one["key"])))
                for one in conditions
            ]
            if any(
                (row.version if row else 0) != one["schema_version"]
                for one, row in found
            ):
                rows = [row.describe(one["table"]) for one, row in found if row]
                return 412, {"rows": rows, "schema_version": self.version}
            self.version += 1
            for one, value in zip(writes, values, strict=True):
                self._apply(one["table"], Row(part, one["key"], value, self.version))
            for one in removals:
                self._apply(one["table"], Row(part, one["key"], None, self.version))
            self._wake()
            return 200, {"schema_version": self.version}

    def _apply(self, table: str, row: Row) -> None:
        place = (table, row.part, row.key)
        if row.value is None:
            self.rows.pop(place, None)
        else:
            self.rows[place] = row
        self._changes.append((table, row))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        rows, size = [], 0
        truncated = False
        for key in sorted(self.rows):
            if key[:2] != (table, part) or key[2] < start or (end and key[2] >= end):
                continue
            if len(rows) >= limit or size > 1_000_000:
                truncated = True
                break
            rows.append(self.rows[key].describe(table))
            size += len(rows[-1].get("value", ""))
        return 200, {
            "rows": rows,
            "truncated": truncated,
            "schema_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    async def _follow(self, query: dict[str, str]) -> Answer:
        after = int(query["start_after"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            newest: dict[tuple[str, str], Row] = {}
            for table, row in self._changes:
                if table == query["table"] and row.version > after:
                    newest[row.part, row.key] = row
            left_s = ends_at - time.monotonic()
            if newest or left_s <= 0:
                rows = sorted(newest.values(), key=lambda row: row.version)
                return 200, {
                    "rows": [row.describe(query["table"]) for row in rows],
                    "schema_version": self.version,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


@dataclass
class Run:
    """A run on a runner; ``work_s`` is None for a task that lasts."""

    task: str
    number: int
    cpu: int
    memory: int
    work_s: float | None
    done_s: float = 0.0
    checkpoint: str = ""
    stops_at: float = 0.0
    restores: float = 0.0
    saved: int = 0


@dataclass
class Size:
    """What a task of a step needs, known to the runners by the client's job."""

    cpu: int
    memory: int
    work_s: float | None
    checkpoints: bool = False


@dataclass
class Capacity:
    """Room of a runner, thousandths of a core and MB."""

    cpu: int = 16_000
    memory: int = 64_000


class Runner:
    """A runner that guards its capacity, on one side machine.

    Each start has a new id and runs nothing. Everything that runs holds a lease.
    """

    def __init__(self, world: World, number: int, capacity: Capacity) -> None:
        self.world = world
        self.capacity = capacity
        self.number = number
        self.labels = ["a", f"r1-{number % 3}"]
        self.up = False
        self._dark = False
        self.runner_id = ""
        self.runs: dict[str, Run] = {}
        self._ends: list[list[Any]] = []
        self._server: HttpServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def host(self) -> str:
        """Return the machine's address."""
        return self.world.side_host(self.number)

    @property
    def used(self) -> int:
        """Return the processor room in use."""
        return sum(run.cpu for run in self.runs.values())

    @property
    def used_memory(self) -> int:
        """Return the memory in use."""
        return sum(run.memory for run in self.runs.values())

    async def start(self) -> None:
        """Begin a new life."""
        self.runner_id = f"i-{random.getrandbits(40):010x}"
        self._born = int(time.time() * 1000)
        self._booted = time.monotonic()
        self._token = self._until_ms = self._number = self._sequence = 0
        self.runs, self._ends, self._closed = {}, [], dict[str, int]()
        self._server = HttpServer((self.host, APP), self._handle)
        await self._server.start()
        self.up = True
        self.world.record(f"runner {self.number} starts as {self.runner_id}")
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self) -> None:
        """End without a word; everything on it is lost."""
        self.up = False
        self.world.record(
            f"runner {self.number} ({self.runner_id}) crashes; it ran "
            f"{sorted((run.task, run.number) for run in self.runs.values())}"
        )
        for task in self._tasks:
            task.cancel()
        self.runs = {}
        if self._server is not None:
            await self._server.stop()

    def go_dark(self) -> None:
        """Lose power for good: nothing runs, and no call is answered any more."""
        self.world.record(f"runner {self.number} ({self.runner_id}) goes dark")
        self._dark = True
        self.runs = {}
        for task in self._tasks:
            task.cancel()

    def _clock_ms(self) -> int:
        return 1_000 + int((time.monotonic() - self._booted) * 1000)

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            report = {
                "service": SERVICE,
                "address": f"{self.host}:{APP}",
                "zone": "hala-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": self.capacity.cpu,
                    "mem_mb": self.capacity.memory,
                    "gpu": 0,
                },
                "labels": self.labels,
                "clock_ms": self._clock_ms(),
                "born": self._born,
                "seq": self._sequence,
            }
            path = f"/api/Instances.Heartbeat/{self.runner_id}"
            status, _ = await call(
                (self.host, CONTROL),
                "POST",
                path,
                report,
                headers={"Host": self.host},
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _work(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            passed, last = now - last, now
            for run in list(self.runs.values()):
                self._advance(run, passed, now)

    def _advance(self, run: Run, passed: float, now: float) -> None:
        if self._clock_ms() > self._until_ms:
            self._end(run, "lapsed")
            return
        if run.stops_at:
            if now >= run.stops_at:
                self._end(run, "stopped")
            return
        if run.restores > 0:
            run.restores -= passed
            return
        run.done_s += passed
        size = self.world.find_size(run.task)
        saved = int(run.done_s / CHECKPOINT_S)
        if size.checkpoints and saved > run.saved:
            run.saved = saved
            run.checkpoint = self.world.save(run.task, saved * CHECKPOINT_S)
        if run.work_s is not None and run.done_s >= run.work_s:
            failed = self.world.fails(run.task, run.number)
            self._end(run, "failed" if failed else "done")

    def _end(self, run: Run, how: str) -> None:
        if run.checkpoint and how == "stopped":
            run.checkpoint = self.world.save(run.task, run.done_s)
        del self.runs[run.task]
        self._number += 1
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._ends.append([self._number, run.task, run.number, how, run.checkpoint])
        self.world.note_end(run.task, run.number, how, self.number)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        if self._dark:
            await asyncio.Event().wait()
        if target == "/health":
            return 200, {}
        document = json.loads(body)
        if headers.get("expect-instance", self.runner_id) != self.runner_id:
            return 421, self._answer()
        token = document.get("fencing_token", 0)
        if token < self._token:
            return 409, self._answer(reason="fence")
        self._token = token
        if target == "/api/hold":
            return await self._hold(document)
        if target == "/api/run-start":
            return self._start_run(document)
        run = self.runs.get(document["task"])
        present = run is not None and run.number == document["run_id"]
        if target == "/api/run-stop":
            task, number = document["task"], document["run_id"]
            self._closed[task] = max(self._closed.get(task, 0), number)
            if run is not None and present and not run.stops_at:
                run.stops_at = time.monotonic() + STOP_S / 2
        return 200, self._answer()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self._clock_ms(), "born": self._born, **fields}

    def _extend(self, until_ms: int) -> None:
        longest = self._clock_ms() + MAX_HOLD_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    async def _hold(self, document: dict[str, Any]) -> Answer:
        self._ends = [end for end in self._ends if end[0] > document["last_seen"]]
        if "until_ms" in document:
            self._extend(document["until_ms"])
        ends_at = time.monotonic() + document.get("wait_ms", 0) / 1000
        while not self._ends and time.monotonic() < ends_at:
            await asyncio.sleep(TICK_S)
        running = [
            [run.task, run.number, run.checkpoint, self._percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return 200, self._answer(running=running, ended_at=self._ends[:500])

    def _percent(self, run: Run) -> int:
        if run.work_s is None:
            return 100
        return min(99, int(100 * run.done_s / run.work_s))

    def _start_run(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        if document["until_ms"] <= self._clock_ms():
            return 409, self._answer(reason="late")
        self._extend(document["until_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, self._answer()
        if present is not None or number <= self._closed.get(task, 0):
            return 409, self._answer(reason="old")
        size = self.world.find_size(task)
        if (
            self.used + size.cpu > self.capacity.cpu
            or self.used_memory + size.memory > self.capacity.memory
        ):
            return 409, self._answer(reason="room")
        run = Run(task, number, size.cpu, size.memory, size.work_s)
        saved = document.get("last_checkpoint", "")
        if saved:
            run.done_s = self.world.saved_s(saved)
            run.saved, run.checkpoint = int(run.done_s / CHECKPOINT_S), saved
            run.restores = RESTORE_S
        self.runs[task] = run
        self.world.note_start(task, number, self.number)
        return 200, self._answer()


@dataclass
class Daemon:
    """One of the project's programs on a machine."""

    name: str
    module: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PISTACHIODEAL_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, "--settings", str(self.settings)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it hasn't ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


def find_subnet() -> int:
    """Return the second number of loopback addresses that no other case uses now."""
    for number in random.sample(range(20, 250), 50):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.3.1", STORE))
            except OSError:
                continue
            return number
    raise CannotRunError("no loopback addresses are free")


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its placeholders filled in, as the platform does."""

    def find(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            value = value[part]
        return json.dumps(value)

    return re.sub(r"\{\{([a-z_.]+)\|json\}\}", find, template)


@dataclass
class World:
    """Stand-ins and daemons of a deployment.

    :param folder: of the case; its ``record.txt`` is written anew.
    :param capacities: one runner for each.
    :param routes: queues of the manifest, by path prefix.
    """

    folder: Path
    capacities: list[Capacity]
    routes: list[dict[str, Any]]
    entry_count: int = 2
    sizes: dict[str, list[Size]] = field(default_factory=dict)
    tasks: dict[str, list[str]] = field(default_factory=dict)
    starts: list[tuple[float, str, int, int]] = field(default_factory=list)
    ends: list[tuple[float, str, int, str]] = field(default_factory=list)
    failing: Callable[[str, int], bool] = lambda task, number: False

    def __post_init__(self) -> None:
        self._began = time.monotonic()
        self._out = (self.folder / "record.txt").open("w")
        self._saved: dict[str, float] = {}
        self._subnet = find_subnet()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.store = Store(self.record)
        self.entries: list[Daemon] = []
        self.agents: list[Daemon] = []
        self.runners = [
            Runner(self, number, capacity)
            for number, capacity in enumerate(self.capacities)
        ]

    @property
    def now(self) -> float:
        """Return the seconds since the world began."""
        return time.monotonic() - self._began

    def record(self, line: str) -> None:
        """Write a line into the case's record."""
        print(f"{self.now:8.3f} {line}", file=self._out, flush=True)

    def entry_host(self, number: int) -> str:
        """Return the address of an edge machine."""
        return f"127.{self._subnet}.1.{number + 1}"

    def side_host(self, number: int) -> str:
        """Return the address of a side machine."""
        return f"127.{self._subnet}.2.{number + 1}"

    def find_size(self, task: str) -> Size:
        """Return what a task needs."""
        job, _, step, _ = task.split(".")
        return self.sizes[job][int(step)]

    def fails(self, task: str, number: int) -> bool:
        """Tell whether a run fails at its end."""
        return self.failing(task, number)

    def save(self, task: str, done_s: float) -> str:
        """Return a new checkpoint of a task."""
        checkpoint = f"{random.getrandbits(64):016x}"
        self._saved[checkpoint] = done_s
        return checkpoint

    def saved_s(self, checkpoint: str) -> float:
        """Return the work in a checkpoint, seconds."""
        return self._saved[checkpoint]

    def note_start(self, task: str, number: int, runner: int) -> None:
        """Record that a run has begun."""
        self.starts.append((self.now, task, number, runner))
        self.record(f"run {number} of {task} starts on runner {runner}")

    def note_end(self, task: str, number: int, how: str, runner: int) -> None:
        """Record that a run has ended."""
        self.ends.append((self.now, task, number, how))
        self.record(f"run {number} of {task} ends on runner {runner}: {how}")

    async def start(self) -> None:
        """Start the stand-ins, then all daemons at once."""
        store_host = f"127.{self._subnet}.3.1"
        await HttpServer((store_host, STORE), self.store.handle).start()
        self.publish(1)
        for number in range(self.entry_count):
            self.entries.append(
                self._prepare("entry", f"edge-hala-a-{number + 1}", number, store_host)
            )
        for number in range(len(self.runners)):
            self.agents.append(
                self._prepare("agent", f"side-hala-a-{number + 1}", number, store_host)
            )
        for daemon in (*self.entries, *self.agents):
            daemon.start()
        for runner in self.runners:
            await runner.start()

    def publish(self, version: int) -> None:
        """Write a version of the manifest."""
        routes = [
            {
                "host": HOST,
                "route_type": "non_idempotent",
                "timeout_ms": 3000,
                "service": SERVICE,
                **route,
            }
            for route in self.routes
        ]
        services = [
            {"name": SERVICE, "health_path": "/health", "rejects_overload": True}
        ]
        manifest = {"version": version, "routes": routes, "services": services}
        self.store.put("op", "config", json.dumps(manifest).encode())

    def _prepare(self, role: str, node: str, number: int, store_host: str) -> Daemon:
        edge = role == "entry"
        host = self.entry_host(number) if edge else self.side_host(number)
        seeds = [f"{self.entry_host(one)}:{CONTROL}" for one in range(self.entry_count)]
        fields = {
            "node": node,
            "ip": host,
            "zone": "hala-a",
            "port_range": [PEER, PEER + 15],
            "seeds": seeds[:3],
            "bind_addresses": {
                "front": f"{host}:{FRONT}",
                "ready": f"{host}:{READY}",
                "control": f"{host}:{CONTROL}",
            },
            "app": f"{host}:{APP}",
            "advice": "",
            "platform": {"address": f"{store_host}:{STORE}", "row_bytes": ROW_BYTES},
            "limits": {
                "memory_mb": 300 if edge else 168,
                "cpu_share": 0.537 if edge else 0.645,
                "cores": 2 if edge else 1,
                "link_mbps": 1000.0,
            },
            "bounds": {
                "config_apply_ms": 2000,
                "max_stretch_ms": 5000,
                "evacuate_ms": 5000,
                "grace_s": 6,
                "stop_ms": 400,
                "restore_ms": 250,
                "remote_factor": 1.5,
                "status_s": 120,
                "max_hold_ms": MAX_HOLD_MS,
                "interference_ms": 4000,
            },
        }
        folder = Path(self.temporary.name)
        template = (ROOT / "deploy" / f"{role}.json.tmpl").read_text()
        settings = folder / f"{node}.json"
        settings.write_text(render(template, fields))
        return Daemon(
            node, f"pistachiodeal.job{role}", settings, folder / f"{node}.log"
        )

    async def stop(self) -> None:
        """End all processes that this world started."""
        for daemon in (*self.entries, *self.agents):
            daemon.end()
        for runner in self.runners:
            if runner.up:
                await runner.crash()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.temporary.name, keep], check=False)
        self.temporary.cleanup()
        self._out.close()

    async def ask(
        self,
        method: str,
        target: str,
        document: dict[str, Any] | None = None,
        entry: int | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request to an entry."""
        number = random.randrange(self.entry_count) if entry is None else entry
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        address = (self.entry_host(number), FRONT)
        return await call(
            address, method, target, document, headers=headers, timeout_s=3.0
        )

    async def submit(
        self, prefix: str, document: dict[str, Any], sizes: list[Size]
    ) -> tuple[str, bool]:
        """Hand a job in, with five attempts; return its id and if it was accepted."""
        job = f"{random.getrandbits(64):016x}"
        self.sizes[job] = sizes
        self.tasks[job] = [
            f"{job}.{occurrence}.{step}.{index}"
            for occurrence in range(max(1, document.get("repeat_count", 0)))
            for step, fields in enumerate(document["steps"])
            for index in range(fields["count"])
        ]
        for _ in range(5):
            status, _ = await self.ask("POST", prefix + job, document)
            self.record(f"POST {prefix}{job}: {status or 'no answer'}")
            if 200 <= status < 300:
                return job, True
            await asyncio.sleep(0.5)
        return job, False

    async def state(self, prefix: str, job: str) -> str:
        """Return the state of a job, or the status of the last answer without one."""
        status, document = 0, dict[str, Any]()
        for _ in range(5):
            status, document = await self.ask("GET", prefix + job)
            if status in (200, 410):
                break
            await asyncio.sleep(0.3)
        found = str(document.get("state", f"status {status}"))
        self.record(f"GET {prefix}{job}: {found}")
        return found

    async def wait_ready(self) -> None:
        """Wait until each entry is ready and all workers are attached."""
        for number in range(self.entry_count):
            address = (self.entry_host(number), READY)
            for _ in range(100):
                status, _ = await call(
                    address, "GET", "/api/ready", headers={}, timeout_s=1.0
                )
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRunError(f"entry {number} does not become ready")

    def list_due(self, job: str, after: dict[int, list[int]]) -> list[str]:
        """Return the tasks of a job whose turn has come and that aren't done.

        :param after: steps that must be done first, by step.
        """
        done = {task for _, task, _, how in self.ends if how == "done"}
        names = self.tasks[job]
        open_steps = {
            (one.split(".")[1], int(one.split(".")[2]))
            for one in names
            if one not in done
        }
        due = []
        for name in names:
            _, occurrence, step, _ = name.split(".")
            earlier = after.get(int(step), [])
            blocked = any((occurrence, one) in open_steps for one in earlier)
            if name not in done and not blocked:
                due.append(name)
        return due

    def is_starved(self, job: str, after: dict[int, list[int]]) -> bool:
        """Tell whether a job has nothing running though there is room, as LOST says."""
        runners = [runner for runner in self.runners if runner.up]
        running = {task for runner in runners for task in runner.runs}
        if any(task.startswith(job) for task in running):
            return False
        capacity = sum(runner.capacity.cpu for runner in runners)
        if 2 * sum(runner.used for runner in runners) >= capacity:
            return False
        for task in self.list_due(job, after):
            size = self.find_size(task)
            room = sum(
                min(
                    (runner.capacity.cpu - runner.used) // size.cpu,
                    (runner.capacity.memory - runner.used_memory) // size.memory,
                )
                for runner in runners
            )
            if room >= 2:
                return True
        return False

    async def list_lost(self, after: dict[str, dict[int, list[int]]]) -> list[str]:
        """Return the jobs that are starved for 3 s on end.

        :param after: accepted jobs that nobody has cancelled, with the steps that must
            be done before each step.
        """
        starved = set(after)
        ends_at = self.now + 3.0
        while starved and self.now < ends_at:
            starved = {job for job in starved if self.is_starved(job, after[job])}
            await asyncio.sleep(0.1)
        return sorted(starved)


class CannotRunError(Exception):
    """The case could not run."""


def run_case(folder: Path, play: Callable[[bool], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    :param play: told whether to disrupt; tells whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(play(trouble))
    except (CannotRunError, OSError, AssertionError) as error:
        print(f"{folder.name}: could not run: {error!r}")
        sys.exit(2)
    print(f"{folder.name}: the rule {'held' if held else 'was broken'}")
    sys.exit(0 if held else 1)
