"""Latency histograms by caller and service.

HDR histograms (Gil Tene, HdrHistogram) with two significant digits take about 22 KB
each. Histograms of several processes can be merged by addition.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import curio
import orjson
from hdrh.histogram import HdrHistogram

from pistachiodeal.exceptions import ProtocolError

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
OTHER = "other"
ROWS_PER_YIELD = 20
PERCENTILES = {"p50_us": 50.0, "p90_us": 90.0, "p99_us": 99.0, "p999_us": 99.9}

Key = tuple[str, str]


class Histograms:
    """A bounded number of histograms.

    :param limit: number of pairs of caller and service with a histogram of their
        own. Beyond it, all further callers of a service share one histogram; a
        tenth of the limit is added for these. Beyond that, all share one.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._shared_limit = limit + max(1, limit // 10)
        self._histograms: dict[Key, HdrHistogram] = {}

    def record(self, caller: str, service: str, seconds: float) -> None:
        """Record one latency; values over 60 s are recorded as 60 s."""
        value = min(max(int(seconds * 1_000_000), LOWEST_US), HIGHEST_US)
        self._get_or_create(caller, service).record_value(value)

    def build_document(self) -> dict[str, Any]:
        """Return all histograms as a JSON document, as read by :meth:`merge`."""
        return {"histograms": list(self._iterate_rows())}

    async def collect_document(self) -> dict[str, Any]:
        """Return the same as :meth:`build_document`, yielding to other tasks.

        A row takes about a third of a millisecond. A thousand rows at once would
        delay heartbeats by more than half of a link's ping interval.
        """
        rows = []
        for row in self._iterate_rows():
            rows.append(row)
            if len(rows) % ROWS_PER_YIELD == 0:
                await curio.sleep(0)
        return {"histograms": rows}

    def write(self, path: str) -> None:
        """Write the document to a file.

        :raises OSError: the file cannot be written.
        """
        Path(path).write_bytes(orjson.dumps(self.build_document()))

    def merge(self, document: Mapping[str, Any]) -> None:
        """Add the histograms of another process.

        :raises ProtocolError: :meth:`build_document` didn't create the document.
        """
        try:
            for row in document["histograms"]:
                other = HdrHistogram.decode(row["encoded"])
                self._get_or_create(str(row["caller"]), str(row["service"])).add(other)
        except Exception as error:
            # The library raises many types, such as struct.error and zlib.error.
            raise ProtocolError(
                f"not a histogram document: {type(error).__name__}",
                step="histograms.merge",
            ) from error

    def _iterate_rows(self) -> Iterator[dict[str, Any]]:
        for (caller, service), histogram in sorted(self._histograms.items()):
            yield _describe(caller, service, histogram)

    def _get_or_create(self, caller: str, service: str) -> HdrHistogram:
        key = (caller, service)
        histogram = self._histograms.get(key)
        if histogram is not None:
            return histogram
        if len(self._histograms) >= self._limit:
            key = (OTHER, service)
        if len(self._histograms) >= self._shared_limit and key not in self._histograms:
            key = (OTHER, OTHER)
        return self._histograms.setdefault(key, _create_histogram())


def create_histograms(limit: int = 1000) -> Histograms:
    """Return histograms for about ``limit`` pairs of caller and service."""
    return Histograms(limit)


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def _describe(caller: str, service: str, histogram: HdrHistogram) -> dict[str, Any]:
    row: dict[str, Any] = {
        "caller": caller,
        "service": service,
        "count": histogram.get_total_count(),
    }
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES.values()))
    for name, percentile in PERCENTILES.items():
        row[name] = int(values[percentile])
    row["max_us"] = int(histogram.get_max_value())
    row["encoded"] = histogram.encode().decode()
    return row
