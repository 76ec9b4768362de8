"""A small deployment: the project's programs beside stand-ins of the platform.

The entries and agents are the programs of the deploy file, as processes on loopback
addresses, with settings that are filled in from the templates of the deploy file. The
store, the advice service, the runners and the clients are stand-ins in this process.
They follow ``PROTOCOL.md``; only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "order-desk"
HOST_NAME = "nony24.example"
TXN_S = 0.003
ANSWER_S = 0.004
HISTORY_S = 20.0
HEARTBEAT_S = 1.5
STOP_S = 0.1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the smallest deployments, in the platform's form.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_stretch_ms": 5000,
    "max_hold_ms": 10000,
    "stop_ms": 400,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 1.5,
    "restore_ms": 250,
    "interference_ms": 4000,
    "evacuate_ms": 5000,
}

Answer = tuple[int, dict[str, Any]] | None
"""Status and body; None leaves the request without an answer."""
Handler = Callable[["Request"], Awaitable[Answer]]


@dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON body."""
        return json.loads(self.body) if self.body else {}


class HttpServer:
    """Serves HTTP/1.1 on one address; closing it resets its connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        address = self._server.sockets[0].getsockname()
        return f"{address[0]}:{address[1]}"

    def close(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._handler(request)
                if answer is None:
                    # Nothing more is delivered on this connection.
                    await reader.read()
                    return
                writer.write(_encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def _encode_answer(status: int, document: dict[str, Any]) -> bytes:
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Make one HTTP call on a connection of its own; status 0 is no answer."""
    host, _, port = address.rpartition(":")
    body = json.dumps(document).encode() if document is not None else b""
    fields = {"host": address, "content-length": str(len(body)), **(headers or {})}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            found = await reader.readexactly(length)
            return status, json.loads(found) if found else {}
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self._began

    def add(self, *words: object) -> None:
        """Add one line."""
        self._lines.append(f"{self.now:8.3f} " + " ".join(str(word) for word in words))

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass
class StoreFaults:
    """The faults in force.

    :param late_key: the next transaction that writes a row of this key gets no answer
        and is carried out later, if its condition still holds.
    :param late_s: how much later.
    """

    late_key: str = ""
    late_s: float = 0.0


RowKey = tuple[str, str, str]


class Store:
    """The platform's store; each machine reaches it at an address of its own."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.rows: dict[RowKey, tuple[str, int]] = {}
        self.version = 0
        self._history: list[tuple[int, float, RowKey, str | None]] = []
        self._changed = asyncio.Condition()
        self._busy_until: dict[str, float] = {}
        self.faults = StoreFaults()

    async def serve(self) -> str:
        """Listen at a further address and return it."""
        return await HttpServer(self._handle).listen("127.0.0.1")

    async def write(
        self, table: str, key: str, document: dict[str, Any] | None
    ) -> None:
        """Write a row as the operator does; None removes it."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, "", key), value)])
        async with self._changed:
            self._changed.notify_all()

    def read(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the decoded row of a key in any part."""
        for (found, _, name), (value, _) in self.rows.items():
            if (found, name) == (table, key):
                return json.loads(base64.b64decode(value))
        return None

    def _apply(self, changes: list[tuple[RowKey, str | None]]) -> None:
        self.version += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, time.monotonic(), key, value))

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/api/rows-tx":
            return await self._commit(request.document())
        await asyncio.sleep(ANSWER_S)
        if request.path == "/api/rows-get":
            return 200, self._get(request.query)
        if request.path == "/api/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    async def _commit(self, document: dict[str, Any]) -> Answer:
        entries = document.get("writes", []) + document.get("remove", [])
        parts = {row["part"] for row in entries + document.get("expected_rev", [])}
        part = min(parts, default="")
        now = time.monotonic()
        begin = max(now, self._busy_until.get(part, 0.0))
        if begin - now > 1.0:
            return 429, {}
        late_key = self.faults.late_key
        if late_key and any(row["key"] == late_key for row in entries):
            self.faults.late_key = ""
            self._record.add("store: a write of", late_key, "will be done late")
            asyncio.create_task(self._transact_late(document))
            return None
        self._busy_until[part] = begin + TXN_S
        await asyncio.sleep(begin + TXN_S - now)
        answer = self._transact(document)
        async with self._changed:
            self._changed.notify_all()
        await asyncio.sleep(ANSWER_S)
        return answer

    async def _transact_late(self, document: dict[str, Any]) -> None:
        await asyncio.sleep(self.faults.late_s)
        answer = self._transact(document)
        self._record.add("store: the late write is done, status", answer and answer[0])
        async with self._changed:
            self._changed.notify_all()

    def _transact(self, document: dict[str, Any]) -> Answer:
        conditions = document.get("expected_rev", [])
        found = []
        holds = True
        for one in conditions:
            key = one["table"], one["part"], one["key"]
            value, version = self.rows.get(key, ("", 0))
            holds &= version == one["schema_version"]
            if version:
                found.append(_describe_row(key, value, version))
        if not holds:
            return 412, {"rows": found, **self._stamp()}
        changes: list[tuple[RowKey, str | None]] = [
            ((row["table"], row["part"], row["key"]), row["value"])
            for row in document.get("writes", [])
        ]
        changes += [
            ((row["table"], row["part"], row["key"]), None)
            for row in document.get("remove", [])
        ]
        self._apply(changes)
        return 200, self._stamp()

    def _stamp(self) -> dict[str, int]:
        return {
            "schema_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows = [_describe_row(key, *self.rows[key]) for key in keys[:limit]]
        return {"rows": rows, "truncated": len(keys) > limit, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["start_after"])
        ends = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_S
            gone = bisect.bisect(self._history, oldest, key=lambda one: one[1])
            if gone and self._history[gone - 1][0] > after:
                return 410, {}
            first = bisect.bisect(self._history, after, key=lambda one: one[0])
            rows = [
                _describe_row(key, value, version)
                for version, _, key, value in self._history[first:]
                if key[0] == table
            ]
            left = ends - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._stamp()}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)


def _describe_row(key: RowKey, value: str | None, version: int) -> dict[str, Any]:
    table, part, name = key
    row: dict[str, Any] = {"table": table, "part": part, "key": name}
    row["schema_version"] = version
    if value is None:
        row["removed"] = True
    else:
        row["value"] = value
    return row


@dataclass(eq=False)
class Run:
    """One run of a task on a runner."""

    task: str
    run: int
    runner: Runner
    began: float
    done_at: float = 0.0
    stops_at: float = 0.0

    @property
    def step(self) -> str:
        """Return the step that the task belongs to: ID.K.STEP."""
        return self.task.rpartition(".")[0]


@dataclass(frozen=True)
class Life:
    """What the world knows of one run, for the checks.

    :param lease_end: when the lease would have ended, if it was not ended before.
    """

    task: str
    run: int
    worker: str
    began: float
    ended: float
    how: str


class World:
    """All machines, and what happened on the runners.

    :ivar specs: what clients have submitted, by job.
    :ivar poisoned: jobs that can never be done: their tasks end ``failed``.
    :ivar lives: the runs that have ended.
    """

    def __init__(self, folder: Path, *, seed: int = 1) -> None:
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.store = Store(self.record)
        self.advice: AdviceService | None = None
        self.runners: list[Runner] = []
        self.entries: list[Machine] = []
        self.specs: dict[str, dict[str, Any]] = {}
        self.poisoned: set[str] = set()
        self.lives: list[Life] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self._subnet = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self._ports = _choose_ports(3)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        entries: int,
        runners: int,
        *,
        capacity: dict[str, int] | None = None,
        with_advice: bool = False,
        queues: list[dict[str, Any]] | None = None,
        guards: bool = True,
        kinds: dict[int, str] | None = None,
    ) -> None:
        """Start all stand-ins and programs, and wait until the entries are ready.

        :param kinds: kinds of runners, by number, if they aren't the usual one.
        """
        address = ""
        if with_advice:
            self.advice = AdviceService(self)
            address = await HttpServer(self.advice.handle).listen("127.0.0.1")
        service = {"name": SERVICE, "rejects_overload": guards}
        manifest = {"version": 3, "routes": queues, "services": [service]}
        await self.store.write("op", "config", manifest)
        hosts = [f"{self._subnet}.{1 + number}" for number in range(entries)]
        for number, host in enumerate(hosts):
            settings = await self._render("entry", f"edge-{number}", host, hosts, "")
            settings["advice"] = address
            self.entries.append(Machine(self, f"edge-{number}", "jobentry", settings))
        for number in range(runners):
            host = f"{self._subnet}.{101 + number}"
            control = f"{host}:{self._ports[2]}"
            runner = Runner(self, number, control, capacity or {}, guards=guards)
            if kinds and number in kinds:
                runner.labels[0] = kinds[number]
            where = await runner.reserve()
            settings = await self._render("agent", f"side-{number}", host, hosts, where)
            settings["advice"] = address
            runner.agent = Machine(self, f"side-{number}", "jobagent", settings)
            self.runners.append(runner)
        for machine in self.machines:
            machine.start()
        for runner in self.runners:
            await runner.start()
        self._tasks.append(asyncio.create_task(self._tick()))
        await self._wait_ready()

    @property
    def machines(self) -> list[Machine]:
        """Return the machines of all programs."""
        agents = [runner.agent for runner in self.runners if runner.agent]
        return [*self.entries, *agents]

    def stop(self) -> None:
        """End all processes that were started, and write the record."""
        for machine in self.machines:
            machine.kill()
        self.record.save()
        if "REVIEW_KEEP" in os.environ:
            print("logs of the programs:", self._folder)
        else:
            shutil.rmtree(self._folder)

    def list_running(self, job: str = "") -> list[Run]:
        """Return the runs in progress, of one job or of all."""
        return [
            run
            for runner in self.runners
            for run in runner.running.values()
            if run.task.startswith(job)
        ]

    def find_step(self, step: str) -> dict[str, Any]:
        """Return what the client has submitted as a step: ID.K.STEP."""
        job, _, number = step.split(".")
        found: dict[str, Any] = self.specs[job]["steps"][int(number)]
        return found

    async def _wait_ready(self) -> None:
        for machine in self.entries:
            for _ in range(100):
                status, _ = await call(machine.ready, "GET", "/api/ready", timeout=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRunError(f"{machine.name} is not ready")
        # The agents have to adopt their runners, which ping each 1.5 s.
        await asyncio.sleep(2.5)

    async def _tick(self) -> None:
        """Advance the runs."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            gangs: dict[tuple[str, int], list[Run]] = {}
            for run in self.list_running():
                if self.find_step(run.step).get("gang"):
                    gangs.setdefault((run.step, run.run), []).append(run)
                elif run.done_at and now >= run.done_at:
                    failed = run.task.partition(".")[0] in self.poisoned
                    run.runner.end(run, "failed" if failed else "done")
            for (step, _), members in gangs.items():
                self._advance_gang(self.find_step(step), members, now)
            for runner in self.runners:
                runner.advance(now)

    def _advance_gang(
        self, step: dict[str, Any], members: list[Run], now: float
    ) -> None:
        if len(members) == step["count"] and not members[0].done_at:
            for run in members:
                run.done_at = now + step["work_s"]
        for run in members:
            if run.done_at and now >= run.done_at:
                run.runner.end(run, "done")
            elif not run.done_at and now - run.began > BOUNDS["gang_timeout_ms"] / 1000:
                run.runner.end(run, "alone")

    def break_gang(self, ended: Run, how: str) -> None:
        """End the other members of a gang, of which one has ended otherwise."""
        if not self.find_step(ended.step).get("gang") or how in ("done", "alone"):
            return
        for run in self.list_running():
            if (run.step, run.run) == (ended.step, ended.run) and run is not ended:
                run.runner.end(run, "broken", breaks=False)

    async def _render(
        self, role: str, name: str, host: str, hosts: list[str], runner: str
    ) -> dict[str, Any]:
        """Return the settings of a program, from the template of the deploy file."""
        front, ready, control = self._ports
        fields = {
            "node": name,
            "ip": host,
            "zone": "hala-a",
            "port_range": [front + 3, front + 18],
            "seeds": [f"{one}:{control}" for one in hosts[:3]],
            "bind_addresses": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "platform": {"address": await self.store.serve(), "row_bytes": 65536},
            "app": runner,
            "limits": {
                "memory_mb": 300,
                "cpu_share": 0.537,
                "cores": 2,
                "link_mbps": 1000.0,
            },
            "bounds": BOUNDS,
        }
        template = (ROOT / "deploy" / f"{role}.json.tmpl").read_text()

        def fill(match: re.Match[str]) -> str:
            value: Any = fields
            for word in match.group(1).split("."):
                value = value.get(word) if isinstance(value, dict) else None
            return json.dumps(value)

        settings: dict[str, Any] = json.loads(
            re.sub(r"\{\{([a-z_.]+)\|json\}\}", fill, template)
        )
        settings["folder"] = str(self._folder)
        return settings


class CannotRunError(Exception):
    """The case can't be judged."""


def _choose_ports(count: int) -> list[int]:
    """Return the first of a range of free ports, and those after it."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        try:
            for port in range(first, first + 20):
                with socket.socket() as sock:
                    sock.bind(("0.0.0.0", port))
        except OSError:
            continue
        return [first + number for number in range(count)]
    raise CannotRunError("no free ports")


class Machine:
    """One machine of the system, with one program as a process."""

    def __init__(
        self, world: World, name: str, module: str, settings: dict[str, Any]
    ) -> None:
        self.name = name
        self._record = world.record
        self._module = module
        self._folder = Path(settings.pop("folder"))
        self._path = self._folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self.front = settings["listen"].get("callers", "")
        self.ready = settings["listen"].get("readiness", "")
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """Return the file with the program's output."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}"
        command = ["python3", "-m", f"pistachiodeal.{self._module}"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self._path)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add(self.name, "started, process", self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._record.add(self.name, "gets", number.name)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Runner:
    """One runner: its calls, leases, runs and pings."""

    def __init__(
        self,
        world: World,
        number: int,
        control: str,
        capacity: dict[str, int],
        *,
        guards: bool,
    ) -> None:
        self.name = f"runner-{number}"
        self.agent: Machine | None = None
        self.capacity = {"cpu": 16000, "mem_mb": 64000, "gpu": 0, **capacity}
        self.labels = ["a", f"r{number // 3}-{number // 3}"]
        self.up = False
        self.draining = False
        self._world = world
        self._control = control
        self._host = control.partition(":")[0]
        self._guards = guards
        self._server: HttpServer | None = None
        self._port = 0
        self._beats: asyncio.Task[None] | None = None
        self._reset()

    def _reset(self) -> None:
        self.id = f"i-{self._world.rng.getrandbits(32):08x}"
        self.running: dict[str, Run] = {}
        self._booted = time.monotonic()
        self._token = 0
        self._until_ms = 0
        self._ends: list[list[Any]] = []
        self._number = 0
        self._closed: dict[str, int] = {}
        self._sequence = 0
        self._news = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return 1 + int((time.monotonic() - self._booted) * 1000)

    async def reserve(self) -> str:
        """Choose the runner's address and return it."""
        [self._port] = _choose_ports(1)
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Begin a life."""
        self._reset()
        self._server = HttpServer(self._handle)
        await self._server.listen(self._host, self._port)
        self.up = True
        self._world.record.add(self.name, "is up as", self.id)
        self._beats = asyncio.create_task(self._send_beats())

    def crash(self) -> None:
        """End this life: everything on it terminates, and nothing is said."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        self.up = False
        self._world.record.add(
            self.name, "crashes with", [run.task for run in self.running.values()]
        )
        lost, self.running = self.running, {}
        for run in lost.values():
            self._close_life(run, "lost")
        for run in lost.values():
            self._world.break_gang(run, "lost")

    def end(self, run: Run, how: str, *, breaks: bool = True) -> None:
        """End a run and list its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.run)
        self._number += 1
        self._ends.append([self._number, run.task, run.run, how, ""])
        self._news.set()
        self._close_life(run, how)
        if breaks:
            self._world.break_gang(run, how)

    def advance(self, now: float) -> None:
        """End the runs whose lease or stop is due."""
        lapsed = self.clock_ms > self._until_ms
        for run in list(self.running.values()):
            if run.stops_at and now >= run.stops_at:
                self.end(run, "stopped")
            elif lapsed:
                self.end(run, "lapsed")

    def _close_life(self, run: Run, how: str) -> None:
        now = time.monotonic()
        self._world.lives.append(
            Life(run.task, run.run, f"{self.name}/{self.id}", run.began, now, how)
        )
        self._world.record.add(self.name, "run ends", run.task, run.run, how)

    async def _send_beats(self) -> None:
        while True:
            self._sequence += 1
            document = {
                "service": SERVICE,
                "address": f"{self._host}:{self._port}",
                "zone": "hala-a",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "seq": self._sequence,
            }
            path = f"/api/Instances.Heartbeat/{self.id}"
            await call(self._control, "POST", path, document, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms}
        document = request.document()
        token = document.get("fencing_token", 0)
        if token < self._token:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence"}
        self._token = token
        if request.path == "/api/hold":
            return await self._hold(document)
        if request.path == "/api/run-start":
            return self._start_run(document)
        if request.path == "/api/run-stop":
            task, number = document["task"], document["run_id"]
            self._closed[task] = max(self._closed.get(task, 0), number)
            run = self.running.get(task)
            if run is not None and run.run == number and not run.stops_at:
                run.stops_at = time.monotonic() + STOP_S
            self._world.record.add(self.name, "is told to stop", task, number)
            return 200, {"clock_ms": self.clock_ms}
        return 200, {"clock_ms": self.clock_ms}

    async def _hold(self, document: dict[str, Any]) -> Answer:
        seen = document.get("last_seen", 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        self._extend(document.get("until_ms", 0))
        wait_s = min(document.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self._ends:
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), wait_s)
        now = time.monotonic()
        running = [
            [run.task, run.run, "", self._measure(run, now), 0]
            for run in self.running.values()
        ]
        ends = self._ends[:500]
        return 200, {"clock_ms": self.clock_ms, "running": running, "ended_at": ends}

    def _measure(self, run: Run, now: float) -> int:
        step = self._world.find_step(run.step)
        if step.get("long_running"):
            return 100 if now - run.began > 0.5 else 0
        if not run.done_at:
            return 0
        done = 1 - (run.done_at - now) / step["work_s"]
        return max(0, min(99, int(100 * done)))

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms + BOUNDS["max_hold_ms"]
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    def _start_run(self, document: dict[str, Any]) -> Answer:
        task, number = document["task"], document["run_id"]
        refusal = self._find_refusal(document)
        words = ("answered", refusal or "200", "token", document["fencing_token"])
        self._world.record.add(self.name, "is told to start", task, number, *words)
        if refusal == "ok":
            return 200, {"clock_ms": self.clock_ms}
        if refusal:
            return 409, {"clock_ms": self.clock_ms, "reason": refusal}
        now = time.monotonic()
        run = Run(task, number, self, now)
        step = self._world.find_step(run.step)
        if not step.get("gang") and not step.get("long_running"):
            run.done_at = now + step["work_s"]
        self.running[task] = run
        return 200, {"clock_ms": self.clock_ms}

    def _find_refusal(self, document: dict[str, Any]) -> str:
        task, number = document["task"], document["run_id"]
        held = self.running.get(task)
        if held is not None and held.run == number:
            return "ok"
        if document["until_ms"] <= self.clock_ms:
            return "late"
        self._extend(document["until_ms"])
        if held is not None or number <= self._closed.get(task, 0):
            return "old"
        step = task.rpartition(".")[0]
        advice = self._world.advice
        advised = self._world.specs[task.partition(".")[0]]["advised"]
        ticket = document.get("ticket", "")
        if advised and advice and not advice.accepts(step, self.id, ticket):
            return "ticket"
        wanted = self._world.find_step(step)
        for name in ("cpu", "mem_mb"):
            used = sum(
                self._world.find_step(run.step).get(name, 0)
                for run in self.running.values()
            )
            if used + wanted.get(name, 0) > self.capacity[name] and self._guards:
                return "room"
        return ""


@dataclass
class AdviceService:
    """Knows which runners may run a step: by default all of them.

    :param allow: tells whether a runner, by its id, may run a step.
    """

    world: World
    allow: Callable[[str, str], bool] = lambda step, runner: True
    decision_ms: int = 100
    period_ms: int = 10
    valid_ms: int = 60_000
    _tickets: dict[str, tuple[str, str, float]] = field(default_factory=dict)
    _lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def handle(self, request: Request) -> Answer:
        """Answer a call for advice."""
        document = request.document()
        step, workers = document["step"], document["workers"]
        async with self._lock:
            await asyncio.sleep(
                (self.decision_ms + self.period_ms * len(workers)) / 1000
            )
        approved = []
        for worker in workers:
            if self.allow(step, worker):
                ticket = f"t-{len(self._tickets)}"
                until = time.monotonic() + self.valid_ms / 1000
                self._tickets[ticket] = step, worker, until
                approved.append([worker, ticket])
        self.world.record.add(
            "advice for",
            step,
            "asked",
            workers,
            "approved",
            [one[0] for one in approved],
        )
        return 200, {"approved": approved, "valid_ms": self.valid_ms}

    def accepts(self, step: str, runner: str, ticket: str) -> bool:
        """Tell whether a ticket is valid."""
        known = self._tickets.get(ticket)
        return known is not None and (
            known[:2] == (step, runner) and time.monotonic() < known[2]
        )


@dataclass
class Client:
    """A client of the entries; it retries as the pages say.

    :param advised: whether the queue has advice, so that starts need a ticket.
    """

    world: World
    prefix: str = "/lohu930/"
    advised: bool = False

    def _choose(self, entry: int | None) -> str:
        entries = self.world.entries
        chosen = self.world.rng.randrange(len(entries)) if entry is None else entry
        return entries[chosen].front

    async def ask(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        *,
        entry: int | None = None,
        timeout: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call and record it."""
        headers = {
            "host": HOST_NAME,
            "content-type": "application/json",
            "deadline-ms": str(int(timeout * 1000)),
        }
        address = self._choose(entry)
        status, answer = await call(
            address, method, path, document, headers=headers, timeout=timeout
        )
        self.world.record.add(
            "client:", method, path, "->", status or "no answer", json.dumps(answer)
        )
        return status, answer

    async def submit(self, steps: list[dict[str, Any]], **fields: Any) -> str:
        """Hand a job in until it is accepted, and return its id.

        :param steps: with ``work_s``, which says how long the tasks take.
        """
        job = f"{self.world.rng.getrandbits(64):016x}"
        self.world.specs[job] = {"steps": steps, "advised": self.advised}
        sent = [{k: v for k, v in step.items() if k != "work_s"} for step in steps]
        body = {"spec": f"text of {job}", "steps": sent, **fields}
        for _ in range(20):
            status, _ = await self.ask("POST", self.prefix + job, body)
            if status == 200:
                return job
            await asyncio.sleep(0.5)
        raise CannotRunError("a job was not accepted")

    async def get_state(self, job: str) -> str:
        """Return a job's state, or the status of an answer without one."""
        status, answer = await self.ask("GET", self.prefix + job)
        return str(answer.get("state", status))

    async def cancel(self, job: str) -> int:
        """Cancel a job; return the status."""
        status, _ = await self.ask("DELETE", self.prefix + job)
        return status


def build_queue(name: str = "q-1", **fields: Any) -> dict[str, Any]:
    """Return a queue of the manifest."""
    queue: dict[str, Any] = {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": "/lohu930/",
        "service": SERVICE,
        "priority": 0,
        "attempts": 3,
        "stretch": 2.0,
        "target_latency_ms": 1000,
    }
    queue.update(fields)
    return queue


Case = Callable[[World], Awaitable[list[str]]]


def run_case(case: Case, folder: Path) -> None:
    """Run a case and exit: 1 if a rule was broken, 0 if not, 2 if it couldn't run.

    :param case: returns a line for each way in which the rule was broken.
    """
    world = World(folder)

    async def play() -> list[str]:
        try:
            async with asyncio.timeout(115.0):
                return await case(world)
        finally:
            world.stop()

    if not (ROOT / "target" / "deps").is_dir():
        print("the build of the deploy file has not run")
        sys.exit(2)
    try:
        broken = asyncio.run(play())
    except (CannotRunError, OSError, TimeoutError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        world.record.add("BROKEN:", line)
        print(line)
    world.record.add("verdict:", "broken" if broken else "held")
    world.record.save()
    sys.exit(1 if broken else 0)
