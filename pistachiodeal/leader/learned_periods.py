"""Encodes the periods of serving images in the row of learned state."""

from __future__ import annotations

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.scheduling.load_forecast import PeriodEstimate

MAX_PERIODS = 100


def encode_periods(periods: list[PeriodEstimate]) -> list[list[str | float]]:
    """Return the value of the row's field."""
    return [
        [one.image, round(one.period_s, 2), round(one.certainty, 2)] for one in periods
    ]


def decode_periods(value: bytes) -> list[PeriodEstimate]:
    """Decode the periods in the value of a row; none if it has no such field.

    :raises ProtocolError: the field is malformed.
    """
    try:
        found = orjson.loads(value).get("periods", [])
        periods = [PeriodEstimate(*fields) for fields in found]
        for one in periods:
            check_fields(one)
    except (ValueError, TypeError, AttributeError) as error:
        raise ProtocolError(repr(error), step="lessons.decode") from error
    return periods
