"""Parses the structured log lines of entries and agents."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import orjson


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event in the log of a process.

    :param at: time of day, seconds since 1970.
    :param fields: all fields of the line.
    """

    at: float
    process: str
    event: str
    fields: Mapping[str, Any]


class LineReader:
    """Reads log lines, with or without a prefix added by a log collector.

    :ivar skipped: number of lines that hold no event.
    """

    def __init__(self) -> None:
        self.skipped = 0

    def read(self, texts: Iterable[str]) -> Iterator[LogLine]:
        """Yield the events of a log, in order."""
        for text in texts:
            line = parse_line(text)
            if line is None:
                self.skipped += 1
            else:
                yield line


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line, None if there is none."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = orjson.loads(text[begin:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict):
        return None
    at, process, event = fields.get("t"), fields.get("p"), fields.get("event")
    if not isinstance(at, (int, float)):
        return None
    if not isinstance(process, str) or not isinstance(event, str):
        return None
    return LogLine(float(at), process, event, fields)
