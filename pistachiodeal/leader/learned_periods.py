"""Encodes the periods of serving images in the row of learned state."""

from __future__ import annotations

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.scheduling.load_forecast import PeriodEstimate

MAX_PERIODS = 100
MIN_PERIOD_S = 0.01
MAX_PERIOD_S = 1e6


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
            if one.period_s and not MIN_PERIOD_S <= one.period_s <= MAX_PERIOD_S:
                raise ValueError("a period is out of bounds")
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="lessons.decode") from error
    return periods
