"""Histograms are bounded in number and merge by addition."""

from __future__ import annotations

import pytest

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.histograms import create_histograms


def test_the_number_of_histograms_is_bounded() -> None:
    """Guards against memory that grows by 22 KB with each new caller name.

    Callers may use a new name for each request, so not every pair of caller and
    service can have a histogram of its own.
    """
    histograms = create_histograms(limit=10)
    for number in range(500):
        histograms.record(f"caller-{number}", f"service-{number % 50}", 0.001)
    rows = histograms.build_document()["histograms"]
    assert len(rows) <= 12
    assert sum(row["count"] for row in rows) == 500


def test_documents_merge_by_addition() -> None:
    first, second, merged = (create_histograms() for _ in range(3))
    for _ in range(90):
        first.record("shop", "orders", 0.001)
    for _ in range(10):
        second.record("shop", "orders", 0.5)
    second.record("shop", "orders", 4000.0)
    merged.merge(first.build_document())
    merged.merge(second.build_document())
    (row,) = merged.build_document()["histograms"]
    assert row["count"] == 101
    assert row["p50_us"] == pytest.approx(1_000, rel=0.01)
    assert row["p99_us"] == pytest.approx(500_000, rel=0.01)
    assert row["max_us"] == pytest.approx(60_000_000, rel=0.01)


@pytest.mark.parametrize("document", [{}, {"histograms": [{"encoded": "garbage"}]}])
def test_garbage_does_not_merge(document: dict) -> None:
    with pytest.raises(ProtocolError):
        create_histograms().merge(document)
