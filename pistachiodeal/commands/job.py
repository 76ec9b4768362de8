"""``pistachiodeal job``: shows jobs on the users' platform.

The rows are read directly from the store, so the commands also work while no entry is
reachable. Only ``job queues ADDRESS...`` asks entries.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from pistachiodeal import exit_codes
from pistachiodeal.addresses import is_address
from pistachiodeal.commands.errors import CommandError, UsageError
from pistachiodeal.commands.job_path import add_path
from pistachiodeal.commands.job_queues import print_reports
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_fields, print_json, print_table
from pistachiodeal.commands.parsers import Subparsers, add_command, add_group
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.explain import explain_job, report_steps
from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.progress import apply_progress
from pistachiodeal.jobs.progress_rows import ProgressRows, collect_progress
from pistachiodeal.jobs.record import JobRecord, build_record
from pistachiodeal.jobs.rows import (
    build_cancel_key,
    decode_ended_job,
    decode_job,
    find_partition,
    is_ended,
    split_key,
)
from pistachiodeal.jobs.tables import read_progress, read_submission, read_tables
from pistachiodeal.jobs.tombstones import is_tombstone
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY
from pistachiodeal.malformed import MALFORMED, shorten
from pistachiodeal.platform.closures import ClosedDataCentres, read_closed
from pistachiodeal.platform.rows import create_rows
from pistachiodeal.store.row_store import RowStore, StoredRow, read_row

STORE_VARIABLE = "PISTACHIODEAL_STORE"


@dataclass(frozen=True, slots=True)
class FoundJob:
    """A job as read from its rows."""

    record: JobRecord
    cancelled: bool

    @property
    def state(self) -> JobState:
        """Return the state that callers see."""
        if self.cancelled and not self.record.state.final:
            return JobState.CANCELLED
        return self.record.state


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the commands to the parser."""
    group = add_group(parsers, "job", "inspect jobs on the users' platform")
    show = add_command(group, common, "show", "show a job and its steps", run_show)
    why = add_command(group, common, "why", "explain what a job waits for", run_why)
    listing = add_command(group, common, "list", "list jobs", run_list)
    listing.add_argument("--queue", default="", help="only jobs of this queue")
    listing.add_argument(
        "--open", action="store_true", help="only jobs that are not final"
    )
    queues = add_command(
        group, common, "queues", "count jobs by queue, or ask entries", run_queues
    )
    queues.add_argument(
        "addresses",
        nargs="*",
        metavar="ADDRESS",
        help="metrics listener of an entry; without any, the store's rows are counted",
    )
    for command in (show, why):
        command.add_argument("job_id")
    add_path(group, common)
    closed = add_command(
        group, common, "closed", "list closed data centres", run_closed
    )
    for command in (show, why, listing, queues, closed):
        command.add_argument(
            "--store",
            metavar="IP:PORT",
            default=os.environ.get(STORE_VARIABLE, ""),
            help=f"the platform's store (default: {STORE_VARIABLE})",
        )


async def run_show(context: Context, args: argparse.Namespace) -> None:
    """Print a job and its steps."""
    found = await _read(_find_job, args)
    steps = [asdict(step) for step in report_steps(found.record)]
    document = {**_describe(found), "steps": steps}
    if context.as_json:
        print_json(document)
    else:
        print_fields(document)


async def run_why(context: Context, args: argparse.Namespace) -> None:
    """Print what a job waits for."""
    found = await _read(_find_job, args)
    leader = await _read(_find_leader, args)
    why = explain_job(found.record, cancelled=found.cancelled, leader=leader)
    document = {**_describe(found), "leader": leader, "why": why}
    if context.as_json:
        print_json(document)
    else:
        print_fields(document)


async def run_list(context: Context, args: argparse.Namespace) -> None:
    """Print one line for each job."""
    rows = [
        _describe(found)
        for found in await _read(_read_jobs, args)
        if not args.queue or found.record.job.queue.name == args.queue
        if not args.open or not found.state.final
    ]
    if context.as_json:
        print_json(rows)
    else:
        print_table(
            ("job", "queue", "state", "age_s"), [list(row.values()) for row in rows]
        )


async def run_queues(context: Context, args: argparse.Namespace) -> None:
    """Print what entries know of the queues, or the number of jobs by state."""
    if args.addresses:
        await print_reports(context, args.addresses)
        return
    counts: dict[str, dict[str, int]] = {}
    for found in await _read(_read_jobs, args):
        states = counts.setdefault(found.record.job.queue.name, {})
        states[found.state.value] = states.get(found.state.value, 0) + 1
    if context.as_json:
        print_json(counts)
        return
    names = [state.value for state in JobState]
    rows = [
        [queue, *(states.get(name, 0) for name in names)]
        for queue, states in sorted(counts.items())
    ]
    print_table(("queue", *names), rows)


async def run_closed(context: Context, args: argparse.Namespace) -> None:
    """Print the closed data centres, in which no runs are started."""
    names = sorted((await _read(_read_closed, args)).names)
    if context.as_json:
        print_json(names)
    else:
        print_table(("data_centre",), [[name] for name in names])


async def _read(read: Any, args: argparse.Namespace) -> Any:
    """Read from the store; turns its errors into command errors."""
    if not is_address(args.store):
        raise UsageError("no store: give --store ip:port")
    try:
        return await read(create_rows(args.store, find_partition), args)
    except StoreError as error:
        raise CommandError(
            error.detail,
            exit_codes.UNREACHABLE,
            code=error.code,
            step=error.step,
            peer=args.store,
        ) from None
    except ProtocolError as error:
        raise CommandError(
            error.detail, exit_codes.FAILURE, code=error.code, step=error.step
        ) from None


async def _find_job(store: RowStore, args: argparse.Namespace) -> FoundJob:
    job_id = args.job_id
    page = await read_submission(store, job_id)
    rows = {row.key: row for row in page.rows}
    if job_id not in rows or is_tombstone(rows[job_id].value):
        raise CommandError(f"no job {job_id}", exit_codes.NOT_FOUND, code="unknown_job")
    progress = collect_progress(await read_progress(store, job_id)).get(job_id)
    return _build(rows[job_id], progress, cancelled=build_cancel_key(job_id) in rows)


async def _read_jobs(store: RowStore, _: argparse.Namespace) -> list[FoundJob]:
    jobs, pages = await read_tables(store)
    progress = collect_progress(pages.rows)
    keys = {row.key for row in jobs.rows}
    found = []
    for row in jobs.rows:
        if split_key(row.key)[1] or is_tombstone(row.value):
            continue
        cancelled = build_cancel_key(row.key) in keys
        try:
            found.append(_build(row, progress.get(row.key), cancelled=cancelled))
        except ProtocolError as error:
            print(f"left out {shorten(row.key)}: {error}", file=sys.stderr)
    return found


async def _read_closed(store: RowStore, _: argparse.Namespace) -> ClosedDataCentres:
    return await read_closed(store)


async def _find_leader(store: RowStore, _: argparse.Namespace) -> str:
    page = await read_row(store, CONTROL_TABLE, LEADER_KEY)
    try:
        return str(orjson.loads(page.rows[0].value)["node"]) if page.rows else ""
    except MALFORMED:
        # Entries replace a row that they can't read.
        return ""


def _build(
    row: StoredRow, progress: ProgressRows | None, *, cancelled: bool
) -> FoundJob:
    decode = decode_ended_job if is_ended(row.value) else decode_job
    record = build_record(decode(row.key, row.value))
    if progress is not None and progress.head is not None:
        apply_progress(record, progress.join(), progress.head.version)
    if not record.state.final:
        record.open_due(time.time())
    return FoundJob(record, cancelled)


def _describe(found: FoundJob) -> dict[str, Any]:
    job = found.record.job
    return {
        "job": job.job_id,
        "queue": job.queue.name,
        "state": found.state.value,
        "age_s": round(time.time() - job.accepted_s, 1),
    }
