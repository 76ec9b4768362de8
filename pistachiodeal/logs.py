"""Logs on standard error, as text or as JSON lines."""

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
    """Writes one JSON object a record."""

    def format(self, record: Any) -> str:
        """Return the record as a line of JSON."""
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

    :param settings: least severe level, and whether lines are text or JSON.
    """
    logbook.set_datetime_format(_get_utc_now)
    # Records below the level must end here: logbook's default handler would
    # otherwise write them to standard error in a form of its own.
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
