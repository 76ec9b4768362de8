"""Reads jobs from all partitions of the store's tables."""

from __future__ import annotations

from functools import partial

from pistachiodeal.jobs.rows import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    RANGE_END,
    UNDIVIDED_PARTITION,
    list_partitions,
)
from pistachiodeal.store.row_store import RowPage, RowStore, StoredRow, read_whole
from pistachiodeal.store.table_scan import ScanSource
from pistachiodeal.task_groups import gather


def list_sources(*tables: str) -> list[ScanSource]:
    """Return all partitions that hold rows of some tables."""
    return [
        ScanSource(table, partition)
        for table in tables
        for partition in list_partitions(table)
    ]


async def read_submissions(store: RowStore) -> RowPage:
    """Return all submissions and cancellations."""
    return await read_whole(store, JOBS_TABLE, list_partitions(JOBS_TABLE))


async def read_tables(store: RowStore) -> tuple[RowPage, RowPage]:
    """Return all submissions with their cancellations, and all progress rows.

    Both tables are read concurrently. This is consistent only for the leader: once it
    holds the leader's row, no other process can write progress.
    """
    progress = partial(
        read_whole, store, PROGRESS_TABLE, list_partitions(PROGRESS_TABLE)
    )
    jobs, rows = await gather(partial(read_submissions, store), progress)
    return jobs, rows


async def read_progress(store: RowStore, job_id: str) -> tuple[StoredRow, ...]:
    """Return the progress rows of one job; see :mod:`~.progress_rows`."""
    rows: list[StoredRow] = []
    start, truncated = job_id, True
    while truncated:
        page = await store.read(PROGRESS_TABLE, start, job_id + RANGE_END)
        rows += page.rows
        truncated = page.truncated and bool(page.rows)
        start = page.rows[-1].key + "\0" if page.rows else ""
    return tuple(rows)


async def read_submission(store: RowStore, job_id: str) -> RowPage:
    """Return the rows of one job's submission and cancellation, if they exist."""
    end = job_id + RANGE_END
    page = await store.read(JOBS_TABLE, job_id, end, 2)
    if page.rows:
        return page
    return await store.read(JOBS_TABLE, job_id, end, 2, UNDIVIDED_PARTITION)
