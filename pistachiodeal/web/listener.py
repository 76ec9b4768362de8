"""Listening sockets."""

from __future__ import annotations

import socket as stdlib_socket

import curio
from curio.io import Socket
from logbook import Logger

log = Logger("web")

BACKLOG = 1024
# Without the pause, a process that has no file descriptors left would use a whole core
# and starve the tasks that could free some.
ACCEPT_RETRY_S = 0.1


def bind_listener(host: str, port: int, backlog: int = BACKLOG) -> stdlib_socket.socket:
    """Return a non-blocking listening TCP socket."""
    listener = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
    listener.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, port))
    listener.listen(backlog)
    return listener


async def accept_connection(listener: Socket) -> tuple[Socket, tuple[str, int]]:
    """Return the next connection and its peer's address.

    When the system refuses to accept, for example because no file descriptors are left,
    this tries again after a pause: the connection is still in the backlog.
    """
    refused = False
    while True:
        try:
            connection: tuple[Socket, tuple[str, int]] = await listener.accept()
            return connection
        except OSError as error:
            if not refused:
                log.error("web: cannot accept connections: {!r}", error)
            refused = True
        await curio.sleep(ACCEPT_RETRY_S)
