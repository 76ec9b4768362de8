"""Structured logs: one JSON line on standard output for each decision.

Each event is counted, and the times that it names go into histograms, also where its
line is dropped.

A line is written without waiting. Where the reader of the pipe is slow, lines wait in
a bounded buffer; what does not fit is dropped and counted, and the count is written
as soon as there is room again.
"""

from __future__ import annotations

import os
import sys
import time
from typing import Any

import orjson

from pistachiodeal.stats import Stats

# About a thousand lines: what a busy process writes in a second.
BUFFER_BYTES = 262_144
# Lines of one kind a second, above which they are only counted: at the worst load
# a decision a millisecond is still explained, and a loop gone wild is not.
LINES_PER_S = 1_500
TIMES = ("took_ms", "waited_ms", "away_ms")


class EventLog:
    """Writes events of one process."""

    def __init__(self, descriptor: int, process: str) -> None:
        self._stats = Stats()
        self._descriptor = descriptor
        self._process = process
        self._buffer = bytearray()
        self._dropped = 0
        self._second = 0
        self._lines = 0

    @property
    def stats(self) -> Stats:
        """Return the counters and histograms of the events."""
        return self._stats

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped and not yet reported."""
        return self._dropped

    def emit(self, event: str, **fields: Any) -> None:
        """Write one line; never waits and never raises."""
        now = time.time()
        self._measure(event, fields)
        # Before the decision on this line: a full buffer would else stay full when
        # its reader goes on, and the process would be silent from then on.
        self._flush()
        if not self._admit(int(now)):
            return
        document = {"t": round(now, 3), "p": self._process, "event": event, **fields}
        self._write(orjson.dumps(document, default=str) + b"\n")

    def _measure(self, event: str, fields: dict[str, Any]) -> None:
        name = event.replace(".", "_")
        self._stats.count(name)
        for field in TIMES:
            if field in fields:
                measured = f"{name}_{field.removesuffix('_ms')}"
                self._stats.time(measured, fields[field] / 1000)

    def _admit(self, second: int) -> bool:
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > LINES_PER_S or len(self._buffer) > BUFFER_BYTES:
            self._dropped += 1
            return False
        return True

    def _write(self, line: bytes) -> None:
        if self._dropped and not self._buffer:
            count, self._dropped = self._dropped, 0
            self._buffer += orjson.dumps({"event": "log.dropped", "lines": count})
            self._buffer += b"\n"
        self._buffer += line
        self._flush()

    def _flush(self) -> None:
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the logs any more; the process goes on without.
            written = len(self._buffer)
        del self._buffer[:written]


def create_event_log(process: str) -> EventLog:
    """Return a log that writes to standard output, which no longer blocks."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return EventLog(descriptor, process)
