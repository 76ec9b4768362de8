"""Stand-ins of the platform for the cases of the review, in one asyncio process.

Only the standard library is used. The store and the runners do what PROTOCOL.md says;
where it is silent they behave like sound ones. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Answer = tuple[int, Any]
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_048_576
# Packets of this size of different connections take turns on a link.
LINK_CHUNK = 4_096


@dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str = ""

    def document(self) -> dict[str, Any]:
        """Return the JSON object in the body."""
        found = json.loads(self.body or b"{}")
        return found if isinstance(found, dict) else {}


Handler = Callable[[Request], Awaitable[Answer | None]]


class HttpServer:
    """An HTTP/1.1 server; a handler that returns None drops the connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening and end all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        peer = str(writer.get_extra_info("peername")[0])
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                request.peer = peer
                answer = await self._handler(request)
                if answer is None:
                    return
                status, document = answer
                body = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, Any]] | None:
    """Make one HTTP call on a new connection; return None without a full answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(document).encode() if document is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {
                "Host": address,
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                **(headers or {}),
            }
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.lower().split("\r\n"):
                if line.startswith("content-length:"):
                    length = int(line.partition(":")[2])
            text = await reader.readexactly(length)
            found = json.loads(text) if text else {}
            return status, found if isinstance(found, dict) else {}
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class SlowLink:
    """A machine's link to the store: a proxy that passes so many bits a second.

    :param mbps: rate of each direction, for all connections together.
    """

    def __init__(self, host: str, target: str, mbps: float) -> None:
        self._host = host
        self._target = target
        self._byte_s = 8 / (mbps * 1_000_000)
        self._free_at = {"up": 0.0, "down": 0.0}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on the port of the target."""
        port = int(self._target.rpartition(":")[2])
        self._server = await asyncio.start_server(
            self._serve, self._host, port, limit=LINK_CHUNK
        )

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        other: asyncio.StreamWriter | None = None
        try:
            store, other = await asyncio.open_connection(
                host, int(port), limit=LINK_CHUNK, local_addr=(self._host, 0)
            )
            pumps = {
                asyncio.create_task(self._pump("up", reader, other)),
                asyncio.create_task(self._pump("down", store, writer)),
            }
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
            if other is not None:
                other.transport.abort()

    async def _pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(LINK_CHUNK):
                now = time.monotonic()
                free_at = max(now, self._free_at[direction])
                self._free_at[direction] = free_at + len(data) * self._byte_s
                await asyncio.sleep(self._free_at[direction] - now)
                writer.write(data)
                await writer.drain()


def shorten(value: Any) -> str:
    """Return a value as text, a long one with its length in place of its end."""
    text = repr(value)
    return text if len(text) <= 200 else f"{text[:60]}...({len(text)})"


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={shorten(value)}" for name, value in fields.items())
        self._file.write(f"{self.now:9.3f} {what} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Row:
    """A row of the store; ``value`` is base64, None if the row was removed."""

    table: str
    part: str
    key: str
    value: str | None
    version: int

    def encode(self) -> dict[str, Any]:
        """Return the row as it is sent."""
        document: dict[str, Any] = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "schema_version": self.version,
        }
        if self.value is None:
            return {**document, "removed": True}
        return {**document, "value": self.value}


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, record: Record, *, row_bytes: int, txn_ms: float) -> None:
        self._record = record
        self._row_bytes = row_bytes
        self._txn_s = txn_ms / 1000
        self._version = 1
        self._began = time.monotonic()
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}
        self.refused_values: list[tuple[str, str, int]] = []
        # The host that last changed a row under a condition on its version.
        self.last_changed_by = ""
        self.server = HttpServer(self.handle)

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row on behalf of the operator."""
        value = b64encode(json.dumps(document).encode()).decode()
        self._version += 1
        self._apply(Row(table, "", key, value, self._version))

    def find(self, table: str, key: str) -> bytes | None:
        """Return the value of a row in any part, None if there is none."""
        for (row_table, _, row_key), row in self._rows.items():
            if (row_table, row_key) == (table, key):
                return b64decode(row.value or "")
        return None

    async def handle(self, request: Request) -> Answer | None:
        """Carry a call out."""
        if request.path == "/api/rows-tx":
            return await self._commit(request)
        await asyncio.sleep(0.001)
        if request.path == "/api/rows-get":
            return 200, self._read(request.query)
        if request.path == "/api/rows-feed":
            return 200, await self._follow(request.query)
        return 404, {}

    async def _commit(self, request: Request) -> Answer:
        document = request.document()
        conditions = document.get("expected_rev", [])
        writes, removals = document.get("writes", []), document.get("remove", [])
        entries = [*conditions, *writes, *removals]
        if len(entries) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES:
            return 400, {"why": "the call is too large"}
        for one in writes:
            size = len(b64decode(one["value"]))
            if size > self._row_bytes:
                refused = (one["table"], one["key"], size)
                self.refused_values.append(refused)
                self._record.write("store.value_too_large", row=refused)
                return 400, {"why": "a value has more than row_bytes"}
        parts = {one.get("part", "") for one in entries}
        lock = self._locks.setdefault(",".join(sorted(parts)), asyncio.Lock())
        async with lock:
            await asyncio.sleep(self._txn_s * (2 if len(parts) > 1 else 1))
            answer = self._apply_all(conditions, writes, removals)
        if answer[0] == 200 and any(one["schema_version"] for one in conditions):
            self.last_changed_by = request.peer
        return answer

    def _apply_all(
        self,
        conditions: list[dict[str, Any]],
        writes: list[dict[str, Any]],
        removals: list[dict[str, Any]],
    ) -> Answer:
        holds, found = True, []
        for one in conditions:
            row = self._rows.get(_read_key(one))
            holds &= (row.version if row else 0) == one["schema_version"]
            if row is not None:
                found.append(row.encode())
        if not holds:
            return 412, {"rows": found, **self._build_times()}
        self._version += 1
        for one in writes:
            self._apply(Row(*_read_key(one), one["value"], self._version))
        for one in removals:
            if _read_key(one) in self._rows:
                self._apply(Row(*_read_key(one), None, self._version))
        return 200, self._build_times()

    def _apply(self, row: Row) -> None:
        key = (row.table, row.part, row.key)
        if row.value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = row
        self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        begin, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        wanted = (query["table"], query.get("part", ""))
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if (table, part) == wanted and key >= begin and (not end or key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        page: list[dict[str, Any]] = []
        size = 0
        for row in rows[:limit]:
            size += len(row.value or "")
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(row.encode())
        truncated = len(page) < len(rows)
        return {"rows": page, "truncated": truncated, **self._build_times()}

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["start_after"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [
                row.encode()
                for row in self._list_changes(after)
                if row.table == query["table"]
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, **self._build_times()}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _list_changes(self, after: int) -> list[Row]:
        first = len(self._changes)
        while first and self._changes[first - 1].version > after:
            first -= 1
        return self._changes[first:]

    def _build_times(self) -> dict[str, int]:
        now_ms = int((time.monotonic() - self._began) * 1000)
        return {"schema_version": self._version, "now_ms": now_ms}


def _read_key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


@dataclass
class StepPlan:
    """What a client sends as a step, and how long its tasks work.

    :param work_s: how long a task works, None for one that lasts.
    """

    document: dict[str, Any]
    work_s: float | None


@dataclass
class SentJob:
    """A job as its client sent it, and what it was answered."""

    job_id: str
    prefix: str
    spec: str
    steps: list[StepPlan]
    extra: dict[str, Any] = field(default_factory=dict)
    accepted_at: float = 0.0
    state: str = ""


@dataclass
class Run:
    """A run on a runner."""

    task: str
    number: int
    began_at: float
    step: StepPlan
    stopping: bool = False


class Runner:
    """One machine's runner, through all of its lifetimes.

    :param jobs: what clients have sent, by id.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        jobs: dict[str, SentJob],
        record: Record,
        *,
        zone: str,
        service: str,
        labels: list[str],
        capacity: dict[str, int],
        max_hold_ms: int,
        beat_s: float,
    ) -> None:
        self.name = name
        self.runner_id = ""
        self.up = False
        self.starts: list[tuple[float, str, int, str]] = []
        self.failed_ends = 0
        self.done: set[str] = set()
        self._address = address
        self._control = control
        self._jobs = jobs
        self._record = record
        self._about = {"service": service, "address": address, "zone": zone}
        self._labels = labels
        self._capacity = capacity
        self._max_hold_ms = max_hold_ms
        self._beat_s = beat_s
        self._server = HttpServer(self.handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._runs: dict[str, Run] = {}
        self._ends: list[list[Any]] = []
        self._closed: dict[str, int] = {}
        self._reset()

    @property
    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return 1_000 + int((time.monotonic() - self._booted) * 1000)

    @property
    def runs(self) -> dict[str, Run]:
        """Return the runs at work, by task."""
        return self._runs

    async def start(self) -> None:
        """Begin a lifetime."""
        self._reset()
        self.runner_id = f"i-{os.urandom(4).hex()}"
        host, _, port = self._address.rpartition(":")
        await self._server.open(host, int(port))
        self.up = True
        self._record.write("runner.up", node=self.name, runner=self.runner_id)
        self._tasks = [
            asyncio.create_task(self._send_beats()),
            asyncio.create_task(self._advance()),
        ]

    async def crash(self) -> None:
        """End at once: everything that runs ends, and nobody is told."""
        self._record.write(
            "runner.crash", node=self.name, runner=self.runner_id, runs=len(self._runs)
        )
        self.up = False
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        self._runs = {}

    async def handle(self, request: Request) -> Answer | None:
        """Carry a call out."""
        if request.headers.get("expect-instance", self.runner_id) != self.runner_id:
            return 421, self._stamp({})
        document = request.document()
        token = document.get("fencing_token", 0)
        if token < self._token:
            return 409, self._stamp({"reason": "fence"})
        self._token = token
        if request.path == "/api/hold":
            return 200, await self._hold(document)
        if request.path == "/api/run-start":
            return self._begin(document)
        if request.path == "/api/run-stop":
            return self._stop(document)
        if request.path == "/api/pace":
            return 200, self._stamp({})
        return 404, {}

    def fail(self, task: str) -> None:
        """End a run as failed by its own fault."""
        self._end(self._runs[task], "failed")

    def _reset(self) -> None:
        self._booted = time.monotonic()
        self._token = 0
        self._until_ms = 0
        self._seq = 0
        self._number = 0
        self._runs = {}
        self._ends = []
        self._closed = {}
        self._ended = asyncio.Event()

    def _stamp(self, document: dict[str, Any]) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms, **document}

    async def _hold(self, document: dict[str, Any]) -> dict[str, Any]:
        seen = document.get("last_seen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        self._extend(document.get("until_ms", 0))
        if document.get("wait_ms") and not self._ends:
            with suppress(TimeoutError):
                async with asyncio.timeout(document["wait_ms"] / 1000):
                    await self._ended.wait()
        running = [
            [run.task, run.number, "", self._measure_percent(run), self._figure(run)]
            for run in self._runs.values()
        ]
        return self._stamp({"running": running, "ended_at": self._ends[:500]})

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms + self._max_hold_ms
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    def _begin(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        self.starts.append((self._record.now, task, number, document.get("spec", "")))
        answer = self._try_begin(task, number, document["until_ms"])
        self._record.write(
            "run.start",
            node=self.name,
            task=task,
            run=number,
            spec=document.get("spec", ""),
            answer=answer,
        )
        if answer:
            return 409, self._stamp({"reason": answer})
        return 200, self._stamp({})

    def _try_begin(self, task: str, number: int, until_ms: int) -> str:
        """Start a run; return why it was refused, empty if it wasn't."""
        if until_ms <= self.clock_ms:
            return "late"
        self._extend(until_ms)
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return ""
        if present is not None or number <= self._closed.get(task, 0):
            return "old"
        job = self._jobs.get(task.partition(".")[0])
        step_number = int(task.split(".")[2])
        step = job.steps[step_number] if job else StepPlan({"count": 1}, 1.0)
        run = Run(task, number, time.monotonic(), step)
        for name, room in self._capacity.items():
            used = sum(_measure(other, name) for other in self._runs.values())
            if used + _measure(run, name) > room:
                return "room"
        self._runs[task] = run
        return ""

    def _stop(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.02, self._end, run, "stopped")
        self._record.write("run.stop", node=self.name, task=task, run=number)
        return 200, self._stamp({})

    def _end(self, run: Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._number += 1
        self.failed_ends += how == "failed"
        if how == "done":
            self.done.add(run.task)
        self._ends.append([self._number, run.task, run.number, how, ""])
        self._record.write(
            "run.end", node=self.name, task=run.task, run=run.number, how=how
        )
        self._ended.set()
        self._ended = asyncio.Event()

    def _measure_percent(self, run: Run) -> int:
        worked_s = time.monotonic() - run.began_at
        if run.step.work_s is None:
            return 100 if worked_s > 0.3 else 0
        return min(99, int(100 * worked_s / max(run.step.work_s, 0.01)))

    def _figure(self, run: Run) -> int:
        return 1 if run.step.document.get("target_ms") else _measure(run, "cpu")

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms > self._until_ms
            for run in list(self._runs.values()):
                work_s = run.step.work_s
                if work_s is not None and now - run.began_at >= work_s:
                    self._end(run, "done")
                elif lapsed:
                    self._end(run, "lapsed")

    async def _send_beats(self) -> None:
        while True:
            self._seq += 1
            beat = {
                **self._about,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self._capacity,
                "labels": self._labels,
                "clock_ms": self.clock_ms,
                "seq": self._seq,
            }
            path = f"/api/Instances.Heartbeat/{self.runner_id}"
            answer = await call(self._control, "POST", path, beat, timeout=1.0)
            wait_s = self._beat_s * random.uniform(0.95, 1.05)
            await asyncio.sleep(wait_s if answer else min(wait_s, 0.5))


def _measure(run: Run, name: str) -> int:
    if name == "cpu" and run.step.document.get("fills"):
        return 0
    return int(run.step.document.get(name, 0))
