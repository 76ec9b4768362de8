"""Structured logs: one JSON line on standard output for each decision.

Each event is counted, and the times that it names go into histograms, also where its
line is dropped.

A line is written without waiting. Where the reader of the pipe is slow, lines wait in
a bounded buffer; what does not fit is dropped and counted by event, and the counts are
written as soon as there is room again.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import Any

import orjson

from pistachiodeal.stats import Stats

# About four thousand lines: what the leader of 160 workers writes in the second in
# which it places a burst of a thousand tasks.
BUFFER_BYTES = 1_048_576
# Lines of one event a second, above which they are only counted: at the worst load
# a decision a millisecond is still explained, and a loop gone wild is not. Each event
# has a share of its own, so that a flood of one never costs the decisions of another:
# in one second of a burst, 736 lines of all events were dropped.
LINES_PER_S = 1_500
# Lines of all events a second: half a megabyte, and a tenth of a core.
ALL_LINES_PER_S = 6_000
DURATION_FIELDS = ("took_ms", "waited_ms", "away_ms", "over_ms")


class EventLog:
    """Writes events of one process."""

    def __init__(self, descriptor: int, process: str) -> None:
        self._stats = Stats()
        self._descriptor = descriptor
        self._process = process
        self._buffer = bytearray()
        self._dropped: Counter[str] = Counter()
        self._second = 0
        self._lines: Counter[str] = Counter()

    @property
    def stats(self) -> Stats:
        """Return the counters and histograms of the events."""
        return self._stats

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped and not yet reported."""
        return self._dropped.total()

    def emit(self, event: str, **fields: Any) -> None:
        """Write one line; never waits and never raises."""
        now = time.time()
        self._measure(event, fields)
        # Before the decision on this line: a full buffer would else stay full when
        # its reader goes on, and the process would be silent from then on.
        self._flush()
        if not self._admit(event, int(now)):
            return
        document = {"t": round(now, 3), "p": self._process, "event": event, **fields}
        self._write(orjson.dumps(document, default=str) + b"\n")

    def _measure(self, event: str, fields: dict[str, Any]) -> None:
        name = event.replace(".", "_")
        self._stats.count(name)
        for field in DURATION_FIELDS:
            if field in fields:
                measured = f"{name}_{field.removesuffix('_ms')}"
                self._stats.time(measured, fields[field] / 1000)

    def _admit(self, event: str, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._lines.clear()
        too_many = (
            self._lines[event] >= LINES_PER_S or self._lines.total() >= ALL_LINES_PER_S
        )
        if too_many or len(self._buffer) > BUFFER_BYTES:
            self._dropped[event] += 1
            return False
        self._lines[event] += 1
        return True

    def _write(self, line: bytes) -> None:
        if self._dropped and not self._buffer:
            document = {
                "event": "log.dropped",
                "lines": self._dropped.total(),
                "events": dict(self._dropped),
            }
            self._dropped.clear()
            self._buffer += orjson.dumps(document) + b"\n"
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
