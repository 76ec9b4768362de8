"""Data centres that the operator has closed: where that lies and how it is spelled."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.store.row_store import RowStore

CLOSURES_TABLE = "op"
CLOSURE_PREFIX = "evacuate/"
# The key after all that begin with the prefix.
CLOSURE_END = "evacuate0"


@dataclass(frozen=True, slots=True)
class ClosedDataCentres:
    """Which data centres are closed, as of one moment.

    :param names: those of the data centres. The row's key alone closes one, whatever
        its value.
    :param version: newest version of the store at that moment.
    """

    names: frozenset[str]
    version: int


async def read_closed(store: RowStore) -> ClosedDataCentres:
    """Return the data centres that are closed.

    :raises StoreError: the store has not answered.
    """
    names: set[str] = set()
    start = CLOSURE_PREFIX
    while True:
        page = await store.read(CLOSURES_TABLE, start, CLOSURE_END)
        names.update(row.key.removeprefix(CLOSURE_PREFIX) for row in page.rows)
        if not page.truncated or not page.rows:
            return ClosedDataCentres(frozenset(names), page.version)
        start = page.rows[-1].key + "\0"
