"""Keeps the rows of cancellations to which no job belongs, for a limited time.

These are tombstones, and cancellations whose job was removed while they were written.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobs.tombstones import TOMBSTONE_KEPT_S
from pistachiodeal.store.row_store import StoredRow


@dataclass(frozen=True, slots=True)
class SeenRow:
    """A row as it was last read.

    :param since: when it was first read at this version, seconds of the boot clock.
    """

    version: int
    since: float


class TombstoneBook:
    """Notes rows in the order in which this leader has first read them."""

    def __init__(self) -> None:
        self._rows: dict[str, SeenRow] = {}

    def __contains__(self, key: object) -> bool:
        return key in self._rows

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: str) -> SeenRow | None:
        """Return a row, None if it isn't noted."""
        return self._rows.get(key)

    def observe(self, row: StoredRow) -> None:
        """Note a tombstone, or a cancellation of a job that isn't known."""
        seen = self._rows.get(row.key)
        if seen is not None and seen.version >= row.version:
            return
        self._rows.pop(row.key, None)
        self._rows[row.key] = SeenRow(row.version, read_boot_clock())

    def forget(self, key: str) -> None:
        """Drop a row that is removed, or to which a job belongs."""
        self._rows.pop(key, None)

    def iterate_old(self, now: float) -> Iterator[tuple[str, SeenRow]]:
        """Yield the keys and rows that have been kept for long enough.

        :param now: seconds of the boot clock.
        """
        for key, row in self._rows.items():
            if now - row.since <= TOMBSTONE_KEPT_S:
                return
            yield key, row
