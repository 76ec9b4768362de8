"""Shared base of the stand-ins: an HTTP server, fault switches and a record.

The server is not :mod:`pistachiodeal.web.server`, because a stand-in has to cut a
response short or send none, and its record has to be independent of the code under
test.
"""

from __future__ import annotations

import argparse
import itertools
import json
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field, fields
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import curio
import h11
from curio.io import Socket
from curio.network import run_server, tcp_server_socket

HOST = "127.0.0.1"
LOG_LIMIT = 10_000
CHUNK = 65_536
UNFREEZE_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class Call:
    """A completely received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True, slots=True)
class Answer:
    """A response; with ``cut``, only so many bytes of the body, then a close."""

    status: int = 200
    body: bytes = b""
    kind: str = "application/json"
    cut: int | None = None


class AnswerLostError(Exception):
    """The connection closes without a response."""


@dataclass(slots=True)
class Faults:
    """Fault switches, set by ``POST /faults``.

    :param down: answer 503 at once, without executing the call.
    :param slow_s: delay in seconds before a call is executed.
    :param lose_answers: number of next calls that are executed but get no response.
    :param frozen: neither execute nor answer calls until it is off again.
    :param mute: execute calls, but answer none until it is off again.
    :param usage_lag_s: age in seconds of the measurements that a worker reports.
    :param fail_all: a worker fails every task that starts from now on.
    :param only: prefixes of the operations that faults apply to; empty means all.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    frozen: bool = False
    mute: bool = False
    usage_lag_s: float = 0.0
    fail_all: bool = False
    only: list[str] = field(default_factory=list)

    def update(self, switches: dict[str, Any]) -> None:
        """Set the switches that are named."""
        known = {entry.name for entry in fields(self)}
        if unknown := set(switches) - known:
            raise ValueError(f"unknown switches {sorted(unknown)}")
        for name, value in switches.items():
            setattr(self, name, value)


class Record:
    """An append-only log, bounded in memory, and in a file that survives a kill."""

    def __init__(self, path: str = "") -> None:
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115
        self.events: deque[dict[str, Any]] = deque(maxlen=LOG_LIMIT)

    def note(self, **event: Any) -> None:
        """Append an event."""
        self.events.append(event)
        if self._file:
            self._file.write(json.dumps(event) + "\n")


class StandIn:
    """Base of the stand-ins: ``operation`` names a call, ``handle`` executes it."""

    lossy: frozenset[str] | None = None  # operations whose answers may be lost

    def __init__(self, record: Record | None = None) -> None:
        self.faults = Faults()
        self.record = record or Record()
        self._held: Counter[str] = Counter()
        self._faulted: Counter[str] = Counter()

    def operation(self, call: Call) -> str:
        """Return the operation of a call, by which ``Faults.only`` selects calls."""
        return call.path.strip("/").partition("/")[0]

    async def handle(self, operation: str, call: Call) -> Answer:
        """Execute a call."""
        raise NotImplementedError

    def build_record(self) -> dict[str, Any]:
        """Return the document for ``GET /record``."""
        return {"log": list(self.record.events)}

    def connect(self) -> Callable[[Call], Awaitable[Answer]]:
        """Return the handler for the calls of one new connection."""
        return self.answer

    async def answer(self, call: Call) -> Answer:
        """Answer a call under the current faults."""
        if call.path == "/record":
            shown = {
                "held": sum(self._held.values()),
                "met": self._held + self._faulted,
                **self.build_record(),
            }
            return answer_json(shown)
        if call.path == "/faults":
            if call.method == "POST":
                self.faults.update(call.document())
            return answer_json(asdict(self.faults))
        return await self._answer_faulty(call)

    async def _answer_faulty(self, call: Call) -> Answer:
        operation = self.operation(call)
        faults = self.faults
        await self._hold_while(operation, "frozen")
        if faults.slow_s > 0 and self._is_affected(operation):
            await curio.sleep(faults.slow_s)
        if faults.down and self._is_affected(operation):
            self._faulted[operation] += 1
            return answer_error(503, "down")
        answer = await self.handle(operation, call)
        await self._hold_while(operation, "mute")
        can_lose = self.lossy is None or operation.partition("/")[0] in self.lossy
        if faults.lose_answers > 0 and can_lose and self._is_affected(operation):
            faults.lose_answers -= 1
            self._faulted[operation] += 1
            raise AnswerLostError
        return answer

    async def _hold_while(self, operation: str, switch: str) -> None:
        """Hold a call while a switch is on, even if its sender has died."""
        self._held[operation] += 1
        while getattr(self.faults, switch) and self._is_affected(operation):
            await curio.sleep(UNFREEZE_POLL_S)
        self._held[operation] -= 1

    def _is_affected(self, operation: str) -> bool:
        return not self.faults.only or operation.startswith(tuple(self.faults.only))


def answer_json(document: Any, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(document).encode())


def answer_error(status: int, code: str) -> Answer:
    """Return an error response with a code."""
    return answer_json({"code": code}, status)


async def serve_http(sock: Socket, answer: Callable[[Call], Awaitable[Answer]]) -> None:
    """Serve the requests of one connection until either end closes it."""
    connection = h11.Connection(h11.SERVER)
    try:
        while call := await _read_call(connection, sock):
            await _send(connection, sock, await _answer_safely(answer, call))
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()
    except (AnswerLostError, OSError, h11.ProtocolError):
        return


async def _answer_safely(
    answer: Callable[[Call], Awaitable[Answer]], call: Call
) -> Answer:
    try:
        return await answer(call)
    except (ValueError, KeyError, TypeError) as error:
        return answer_json({"code": "bad_call", "detail": repr(error)}, 400)


async def _read_call(connection: h11.Connection, sock: Socket) -> Call | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if connection.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await sock.sendall(connection.send(continue_response))
            connection.receive_data(await sock.recv(CHUNK))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head:
            return _build_call(head, body)
        else:
            return None


def _build_call(head: h11.Request, body: bytes) -> Call:
    target = urlsplit(head.target.decode())
    headers = {name.decode(): value.decode() for name, value in head.headers}
    query = dict(parse_qsl(target.query))
    return Call(head.method.decode(), target.path, query, headers, body)


async def _send(connection: h11.Connection, sock: Socket, answer: Answer) -> None:
    headers = [("content-type", answer.kind), ("content-length", str(len(answer.body)))]
    reason = HTTPStatus(answer.status).phrase.encode()
    head = h11.Response(status_code=answer.status, headers=headers, reason=reason)
    data = connection.send(head) or b""
    data += connection.send(h11.Data(answer.body[: answer.cut])) or b""
    if answer.cut is not None:
        await sock.sendall(data)
        raise AnswerLostError
    data += connection.send(h11.EndOfMessage()) or b""
    await sock.sendall(data)


def create_parser(name: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(prog=f"tests.standins.{name}")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument(
        "--record-file", default="", help="record file that survives a kill"
    )
    return parser


def open_port(port: int, label: str = "port") -> Socket:
    """Open a listening socket, and print its port."""
    sock = tcp_server_socket(HOST, port, backlog=1000)
    print(label, sock.getsockname()[1], flush=True)
    return sock


async def serve(stand_in: StandIn, sock: Socket) -> None:
    """Serve calls until cancelled."""

    async def serve_client(client: Socket, _address: Any) -> None:
        await serve_http(client, stand_in.connect())

    await run_server(sock, serve_client)


async def run_stand_in(stand_in: StandIn, port: int) -> None:
    """Listen and serve calls until cancelled."""
    await serve(stand_in, open_port(port))


def create_counter(start: int = 1) -> Callable[[], int]:
    """Return a function that returns the next integer at each call."""
    return itertools.count(start).__next__


def now() -> float:
    """Return the host's monotonic clock, shared by all its processes, in seconds."""
    return time.monotonic()
