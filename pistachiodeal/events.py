"""Structured logs: one JSON line on standard output per event.

Each event is counted and its durations are recorded in histograms, even if its line
is dropped.

Writing never blocks. If the reader of the pipe is slow, lines are kept in a bounded
buffer. Lines that don't fit are dropped and counted by event, and the counts are
written as soon as the buffer has space again.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson

from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.malformed import describe
from pistachiodeal.stats import Stats

# About four thousand lines, as many as a leader of 160 workers writes in the second in
# which it places a burst of a thousand tasks.
BUFFER_BYTES = 1_048_576
# Limit on lines of one event per second; further ones are only counted. At peak load
# it allows one decision per millisecond, and it still cuts off a runaway loop. The
# limit is per event, so that a flood of one event never drops lines of another: 736
# lines of all events have been dropped in one second of a burst.
LINES_PER_S = 1_500
# Limit on lines of all events per second: half a megabyte, and a tenth of a core.
ALL_LINES_PER_S = 6_000
DURATION_FIELDS = ("took_ms", "waited_ms", "away_ms", "over_ms")


class EventLog:
    """Writes the events of one process."""

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
        """Return how many lines were dropped since the last report."""
        return self._dropped.total()

    def emit(self, event: str, **fields: Any) -> None:
        """Write one event; never blocks and never raises."""
        now = time.time()
        self._measure(event, fields)
        # Flush before the limits are checked: otherwise a full buffer would stay full
        # after its reader resumes, and the process would never log again.
        self._flush()
        if not self._admit(event, int(now)):
            return
        document = {"t": round(now, 3), "p": self._process, "event": event, **fields}
        try:
            line = orjson.dumps(document, default=str)
        except TypeError:
            # An integer of more than 64 bits, such as a time that a caller has named.
            line = orjson.dumps({name: str(value) for name, value in document.items()})
        self._write(line + b"\n")

    @contextmanager
    def confine(self, event: str, **fields: Any) -> Iterator[None]:
        """Confine an unforeseen error to the handling of one entry, message or peer.

        It is logged and counted as an event with its cause and where it was raised.
        Typed errors have handlers of their own, and pass.

        :param event: name of the event.
        :param fields: what was handled.
        """
        try:
            yield
        except PistachiodealError:
            raise
        except Exception as error:
            origin = _find_origin(error)
            self.emit(event, cause=describe(error), origin=origin, **fields)

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
            # The reader of the logs is gone; the process continues without logs.
            written = len(self._buffer)
        del self._buffer[:written]


def create_event_log(process: str) -> EventLog:
    """Return a log that writes to standard output; makes it non-blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return EventLog(descriptor, process)


def _find_origin(error: Exception) -> str:
    """Return file and line where an error was raised."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{Path(trace.tb_frame.f_code.co_filename).name}:{trace.tb_lineno}"
