"""Lets a curio task wait for signals."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any

from curio.io import Socket

WATCHED = (signal.SIGTERM, signal.SIGINT)


class SignalWatch:
    """Returns the watched signals in the order in which they were received."""

    def __init__(self, receiver: socket.socket, watched: tuple[int, ...]) -> None:
        self._socket = Socket(receiver)
        self._watched = watched

    async def wait(self) -> int:
        """Return the number of the next watched signal."""
        while True:
            data = await self._socket.recv(1)
            if data and data[0] in self._watched:
                return int(data[0])


@contextmanager
def watch_signals(*additional: int) -> Iterator[SignalWatch]:
    """Catch SIGTERM, SIGINT and ``additional`` within the block (main thread only)."""
    watched = (*WATCHED, *additional)
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    watch = SignalWatch(receiver, watched)
    # curio 1.6 has no SignalEvent. The interpreter writes each signal's number
    # to this descriptor from the C handler, which wakes curio's selector.
    earlier_fd = signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    earlier: dict[int, Any] = {
        number: signal.signal(number, _ignore_signal) for number in watched
    }
    try:
        yield watch
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(earlier_fd)
        sender.close()
        receiver.close()


def _ignore_signal(number: int, frame: FrameType | None) -> None:
    """Replace the default action, which would end the process."""
