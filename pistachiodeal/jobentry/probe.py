"""Checks whether the store answers this process."""

from __future__ import annotations

from logbook import Logger

from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobs.rows import JOBS_TABLE, PROBE_KEY
from pistachiodeal.store.row_store import RowStore, read_row

log = Logger("probe")


async def probe_store(store: RowStore) -> bool:
    """Return whether the store answers a read.

    Probing with a caller's insert instead could leave it with an unknown outcome.
    """
    try:
        await read_row(store, JOBS_TABLE, PROBE_KEY)
    except StoreError as error:
        log.debug("probe: the store does not answer: {}", error)
        return False
    return True
