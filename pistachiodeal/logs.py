"""Logging to standard error, as text or JSON lines."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from typing import Any

import logbook
import orjson

from pistachiodeal.config.common import LogSettings

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<7} {record.message}"
)


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object."""

    def format(self, record: Any) -> str:
        """Format the record as one line of JSON."""
        document = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "part": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            document["exception"] = record.formatted_exception
        return orjson.dumps(document, default=str).decode()


def configure_logs(settings: LogSettings) -> None:
    """Send all records of this process to standard error.

    :param settings: minimum level and format (text or JSON).
    """
    logbook.set_datetime_format(_get_utc_now)
    # The null handler drops records below the level: otherwise logbook's default
    # handler would write them to standard error in its own format.
    logbook.NullHandler().push_application()
    _create_handler(settings).push_application()


def _create_handler(settings: LogSettings) -> logbook.StreamHandler:
    level = settings.level.upper()
    if settings.form == "json":
        return JsonLinesHandler(sys.stderr, level=level)
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.format_string = TEXT_FORMAT
    return handler


def _get_utc_now() -> datetime:
    return datetime.now(UTC).replace(tzinfo=None)
