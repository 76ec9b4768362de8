"""Reserves ports that stay free while the process that uses them restarts.

The kernel picks a port for port 0 from the ephemeral range, which outgoing connections
use as well. While a process restarts, a connection of another process can take such a
port, and the restart fails with "address in use".
"""

from __future__ import annotations

import os
import random
import socket

from tests.harness.processes import HOST

MIN_PORT = 12_000
MAX_PORT = 32_000  # below the ephemeral range of outgoing connections
MAX_WORKERS = 16
PORTS_PER_WORKER = (MAX_PORT - MIN_PORT) // MAX_WORKERS

_reserved: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Return an unused port, which this process doesn't return a second time."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % MAX_WORKERS
    first = MIN_PORT + worker * PORTS_PER_WORKER
    # A random offset keeps concurrent test runs on this machine apart.
    offset = random.SystemRandom().randrange(PORTS_PER_WORKER)
    for step in range(PORTS_PER_WORKER):
        port = first + (offset + step) % PORTS_PER_WORKER
        if port not in _reserved and _reserve(port):
            return port
    raise RuntimeError("no free port")


def release_ports() -> None:
    """Release all ports of this process; no user of them may be left."""
    while _reserved:
        _reserved.popitem()[1].close()


def _reserve(port: int) -> bool:
    """Bind a port without listening; return False if it is in use.

    Without this, a concurrent test run on this machine could find the same port free
    before its process has bound it, and one of the two processes would end with
    "address in use". The programs set SO_REUSEADDR, so they can bind the port as well.
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
