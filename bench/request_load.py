"""Callers on raw keep-alive sockets, and the CPU time and memory of processes."""

from __future__ import annotations

import os
import selectors
import socket
import time
from dataclasses import dataclass
from pathlib import Path

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length: "
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Cost:
    """CPU time of a process since its start, seconds."""

    user_s: float
    system_s: float

    @property
    def total_s(self) -> float:
        """Return user and system time together."""
        return self.user_s + self.system_s

    def __sub__(self, earlier: Cost) -> Cost:
        return Cost(self.user_s - earlier.user_s, self.system_s - earlier.system_s)

    def __add__(self, other: Cost) -> Cost:
        return Cost(self.user_s + other.user_s, self.system_s + other.system_s)


def read_cost(pid: int) -> Cost:
    """Return the CPU time that a process has used (utime and stime)."""
    text = Path(f"/proc/{pid}/stat").read_text()
    values = text.rpartition(")")[2].split()
    return Cost(int(values[11]) / TICKS_PER_S, int(values[12]) / TICKS_PER_S)


def read_memory_kib(pid: int) -> int:
    """Return the resident memory of a process, KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise LookupError("VmRSS")


class Callers:
    """Sends one request after another on each of several connections."""

    def __init__(self, address: str, connections: int, request: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._request = request
        self._selector = selectors.DefaultSelector()
        self._socks: list[socket.socket] = []
        for _ in range(connections):
            sock = socket.create_connection((host, int(port)), TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(sock, selectors.EVENT_READ, sock)
            self._socks.append(sock)

    def run(self, count: int) -> list[float]:
        """Send ``count`` requests; return how long each took, seconds."""
        latencies: list[float] = []
        sent_at: dict[socket.socket, float] = {}
        unsent = count
        for sock in self._socks[:count]:
            sent_at[sock] = self._send(sock)
            unsent -= 1
        while len(latencies) < count:
            ready = self._selector.select(TIMEOUT_S)
            if not ready:
                raise TimeoutError("no connection got an answer in time")
            for key, _ in ready:
                read_answer(key.data)
                latencies.append(time.perf_counter() - sent_at[key.data])
                if unsent:
                    sent_at[key.data] = self._send(key.data)
                    unsent -= 1
        return latencies

    def close(self) -> None:
        """Close the connections."""
        self._selector.close()
        for sock in self._socks:
            sock.close()

    def _send(self, sock: socket.socket) -> float:
        now = time.perf_counter()
        sock.sendall(self._request)
        return now


def read_answer(sock: socket.socket) -> bytes:
    """Return the body of the next answer; a status other than 200 is an error."""
    data = sock.recv(READ_BYTES)
    while HEAD_END not in data:
        data += receive_more(sock)
    head, _, body = data.partition(HEAD_END)
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"answer without status 200: {data[:300]!r}")
    lower = head.lower()
    start = lower.index(LENGTH) + len(LENGTH)
    length = int(lower[start:].split(b"\r\n", 1)[0])
    while len(body) < length:
        body += receive_more(sock)
    return body


def receive_more(sock: socket.socket) -> bytes:
    """Return the next bytes of an incomplete answer."""
    data = sock.recv(READ_BYTES)
    if not data:
        raise EOFError("connection closed within an answer")
    return data


def build_request(target: str, body: bytes) -> bytes:
    """Return the bytes of a caller's request: POST if it has a body, else GET."""
    lines = [
        f"{'POST' if body else 'GET'} {target} HTTP/1.1",
        "host: 127.0.0.1",
        "user-agent: request-cost",
        "accept: application/json",
        "pistachiodeal-caller: press-hall",
        "pistachiodeal-deadline-ms: 10000",
    ]
    if body:
        lines += ["content-type: text/plain", f"content-length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body
