"""Reads which data centres the operator has closed."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.store.row_store import RowStore

CLOSURES_TABLE = "op"
CLOSURE_PREFIX = "evacuate/"
# The first key after those that begin with the prefix: "0" follows "/" in ASCII.
CLOSURE_END = "evacuate0"


@dataclass(frozen=True, slots=True)
class ClosedDataCentres:
    """The closed data centres as of one version of the store.

    :param names: names of the data centres. The existence of a row closes one,
        whatever its value.
    :param version: newest version of the store at the time of reading.
    """

    names: frozenset[str]
    version: int


async def read_closed(store: RowStore) -> ClosedDataCentres:
    """Return the data centres that are closed.

    :raises StoreError: the store didn't answer.
    """
    names: set[str] = set()
    start = CLOSURE_PREFIX
    while True:
        page = await store.read(CLOSURES_TABLE, start, CLOSURE_END)
        names.update(row.key.removeprefix(CLOSURE_PREFIX) for row in page.rows)
        if not page.truncated or not page.rows:
            return ClosedDataCentres(frozenset(names), page.version)
        start = page.rows[-1].key + "\0"
