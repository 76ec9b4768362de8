"""Ports that stay free while the process that uses them restarts.

A port that the kernel hands out (port 0) lies in the range from which it also
serves outgoing connections: between a process's end and its restart another
process's connection can take it, and the restart fails with "address in use".
"""

from __future__ import annotations

import os
import random
import socket

from tests.harness.processes import HOST

MIN_PORT = 12_000
MAX_PORT = 32_000  # below the range of outgoing connections
MAX_WORKERS = 16
PORTS_PER_WORKER = (MAX_PORT - MIN_PORT) // MAX_WORKERS

_reserved: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Return a port that nothing uses, and that this process never gives again."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % MAX_WORKERS
    first = MIN_PORT + worker * PORTS_PER_WORKER
    # Another run of the tests on this machine starts elsewhere in the span.
    offset = random.SystemRandom().randrange(PORTS_PER_WORKER)
    for step in range(PORTS_PER_WORKER):
        port = first + (offset + step) % PORTS_PER_WORKER
        if port not in _reserved and _reserve(port):
            return port
    raise RuntimeError("no free port")


def release_ports() -> None:
    """Give back all ports of this process, once nothing that uses them is left."""
    while _reserved:
        _reserved.popitem()[1].close()


def _reserve(port: int) -> bool:
    """Keep a port bound, without listening; False when anyone has it.

    Another run of the tests on this machine would otherwise find the same port
    free before the process that it is meant for has bound it, and one of the two
    processes end with "address in use". The programs allow the reuse of addresses,
    so they can bind it beside this socket.
    """
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        holder.bind((HOST, port))
    except OSError:
        holder.close()
        return False
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved[port] = holder
    return True
