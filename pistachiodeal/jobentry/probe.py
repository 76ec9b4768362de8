"""Whether the store answers this process."""

from __future__ import annotations

from logbook import Logger

from pistachiodeal.exceptions import StoreError
from pistachiodeal.jobs.rows import JOBS_TABLE, PROBE_KEY
from pistachiodeal.store.row_store import RowStore, read_row

log = Logger("probe")


async def probe_store(store: RowStore) -> bool:
    """Tell whether a read is answered.

    A caller's insert as the probe would be one more that nobody knows the end of.
    """
    try:
        await read_row(store, JOBS_TABLE, PROBE_KEY)
    except StoreError as error:
        log.debug("probe: the store gives no answer: {}", error)
        return False
    return True
