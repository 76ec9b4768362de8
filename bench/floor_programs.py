"""Minimal entry and agent: a lower bound for the CPU time of one request.

``entry AGENT`` parses a caller's request with h11, sends one pycapnp message to the
agent, awaits the answer and writes it with h11. ``agent RUNNER`` does the same towards
a runner. There is no routing, no limits, no heartbeats and no error handling: this
is the floor that the CPU time of the real programs is compared with. Messages
are written and read field by field, so that what the product's codec adds to pycapnp
counts as the product's cost; they carry only what a runner needs.
"""

from __future__ import annotations

import sys
from pathlib import Path
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

import capnp
import curio
import h11
from curio.io import Socket

import pistachiodeal
from pistachiodeal.web.listener import bind_listener

READ_BYTES = 65_536
LENGTH_BYTES = 4
SCHEMA = capnp.load(str(Path(pistachiodeal.__file__).parent / "wire" / "schema.capnp"))
NOT_FORWARDED = frozenset(
    (
        b"host",
        b"connection",
        b"content-length",
        b"pistachiodeal-caller",
        b"pistachiodeal-deadline-ms",
    )
)


def encode_request(number: int, head: h11.Request, body: bytes) -> bytes:
    """Return a frame with the fields of a caller's request that a runner needs."""
    frame = SCHEMA.Frame.new_message()
    request = frame.init("request")
    request.requestId = number
    request.service = "orders"
    request.caller = "c"
    request.method = head.method.decode()
    request.target = head.target.decode()
    request.body = body
    request.budgetMs = 1000
    write_headers(request, [h for h in head.headers if h[0] not in NOT_FORWARDED])
    return add_length(frame.to_bytes())


def encode_response(number: int, head: h11.Response, body: bytes) -> bytes:
    """Return a frame with a runner's answer."""
    frame = SCHEMA.Frame.new_message()
    response = frame.init("response")
    response.requestId = number
    response.status = head.status_code
    response.body = body
    write_headers(response, [h for h in head.headers if h[0] not in NOT_FORWARDED])
    return add_length(frame.to_bytes())


def write_headers(builder: Any, headers: list[tuple[bytes, bytes]]) -> None:
    """Write the headers into a message under construction."""
    rows = builder.init("headers", len(headers))
    for row, (name, value) in zip(rows, headers, strict=True):
        row.name = name.decode()
        row.value = value.decode()


def read_headers(reader: Any, body: bytes) -> list[tuple[str, str]]:
    """Return a message's headers, with ``content-length`` if it has a body."""
    headers = [(header.name, header.value) for header in reader.headers]
    if body:
        headers.append(("content-length", str(len(body))))
    return headers


def add_length(data: bytes) -> bytes:
    """Return a frame prefixed with its length."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_frame(sock: Socket) -> bytes:
    """Return the next message; exactly one frame is in flight on a connection."""
    data = await receive(sock)
    size = int.from_bytes(data[:LENGTH_BYTES], "big")
    while len(data) < LENGTH_BYTES + size:
        data += await receive(sock)
    return data[LENGTH_BYTES:]


async def receive(sock: Socket) -> bytes:
    """Return the next bytes of an expected frame; an ended connection is an error."""
    data = await sock.recv(READ_BYTES)
    if not data:
        raise EOFError
    return data


async def read_http(sock: Socket, conn: h11.Connection) -> tuple[Any, bytes]:
    """Return the head and the body of the next HTTP message."""
    head: Any = None
    body = b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await sock.recv(READ_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        else:
            raise EOFError


def encode_http(conn: h11.Connection, head: Any, body: bytes) -> bytes:
    """Return the bytes of a complete HTTP message."""
    data = conn.send(head) or b""
    if body:
        data += conn.send(h11.Data(data=body)) or b""
    return data + (conn.send(h11.EndOfMessage()) or b"")


async def serve_entry(sock: Socket, agent: str) -> None:
    """Answer one caller's connection over one connection to the agent."""
    upstream = await connect(agent)
    conn = h11.Connection(h11.SERVER)
    number = 0
    while True:
        head, body = await read_http(sock, conn)
        number += 1
        await upstream.sendall(encode_request(number, head, body))
        with SCHEMA.Frame.from_bytes(await read_frame(upstream)) as frame:
            answer = frame.response
            body = answer.body
            headers = read_headers(answer, body)
            response = h11.Response(status_code=answer.status, headers=headers)
        await sock.sendall(encode_http(conn, response, body))
        conn.start_next_cycle()


async def serve_agent(sock: Socket, runner: str) -> None:
    """Answer one entry's connection over one connection to the runner."""
    upstream = await connect(runner)
    conn = h11.Connection(h11.CLIENT)
    while True:
        with SCHEMA.Frame.from_bytes(await read_frame(sock)) as frame:
            message = frame.request
            number = message.requestId
            body = message.body
            headers = [("host", runner), *read_headers(message, body)]
            request = h11.Request(
                method=message.method, target=message.target, headers=headers
            )
        await upstream.sendall(encode_http(conn, request, body))
        head, body = await read_http(upstream, conn)
        conn.start_next_cycle()
        await sock.sendall(encode_response(number, head, body))


async def connect(address: str) -> Socket:
    """Open a connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    sock = await curio.open_connection(host, int(port))
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return sock


async def serve(role: str, upstream: str) -> None:
    """Accept connections until the process ends."""
    handler = serve_entry if role == "entry" else serve_agent
    raw = bind_listener("127.0.0.1", 0)
    print(f"port {raw.getsockname()[1]}", flush=True)
    listener = Socket(raw)
    while True:
        sock, _ = await listener.accept()
        await curio.spawn(run_connection, handler, sock, upstream, daemon=True)


async def run_connection(handler: Any, sock: Socket, upstream: str) -> None:
    """Run one connection until its peer closes it."""
    try:
        await handler(sock, upstream)
    except (EOFError, OSError, h11.ProtocolError):
        await sock.close()


if __name__ == "__main__":
    curio.run(serve, sys.argv[1], sys.argv[2])
