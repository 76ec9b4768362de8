"""``pistachiodeal job queues ADDRESS...``: what entries know of the queues."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict, replace

from pistachiodeal import exit_codes
from pistachiodeal.addresses import is_address
from pistachiodeal.commands.entries import call_entry
from pistachiodeal.commands.errors import CommandError, UsageError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import format_error, print_json, print_table
from pistachiodeal.commands.queue_answers import decode_report
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.queue_report import QueueReport, QueueRow

COLUMNS = (
    "queue",
    "waiting",
    "active",
    "running",
    "ahead_core_s",
    "drain",
    "wait_s",
    "rejected",
    "share",
    "obstacle",
)


async def print_reports(context: Context, addresses: Sequence[str]) -> None:
    """Print the report of each entry.

    :raises CommandError: an entry gave no valid report; the others' are printed.
    """
    for address in addresses:
        if not is_address(address):
            raise UsageError(f"entry {address!r} is not ip:port")
    reports: dict[str, QueueReport] = {}
    failures = []
    for address in dict.fromkeys(addresses):
        try:
            reports[address] = await _fetch(context, address)
        except CommandError as error:
            failures.append(error)
    _print(context, reports)
    # An entry that is down is reported by the exit status, whatever the others said.
    failures.sort(key=lambda one: one.exit_status == exit_codes.NO_ANSWER)
    for failure in failures[:-1]:
        print(format_error(failure), file=sys.stderr)
    if failures:
        raise failures[-1]


async def _fetch(context: Context, address: str) -> QueueReport:
    # The metrics listener checks no token, so it isn't sent one.
    anonymous = replace(context, token="")
    try:
        answer = await call_entry(anonymous, address, "GET", "/queues")
        return decode_report(answer.document)
    except ProtocolError as error:
        raise _create_error(error.detail, address) from None
    except CommandError as error:
        if error.code == "bad_answer":
            detail = "no report on queues; is it the metrics port of a newer entry?"
            raise _create_error(detail, address) from None
        if error.exit_status == exit_codes.UNREACHABLE:
            error.exit_status = exit_codes.NO_ANSWER
        raise


def _create_error(detail: str, address: str) -> CommandError:
    return CommandError(
        detail,
        exit_codes.FAILURE,
        code="bad_answer",
        step="command.read",
        peer=address,
    )


def _print(context: Context, reports: Mapping[str, QueueReport]) -> None:
    if context.as_json:
        print_json(
            [
                {"entry": address, **asdict(report)}
                for address, report in reports.items()
            ]
        )
        return
    for address, report in reports.items():
        print(f"{address}: {_describe(report)}")
        print_table(COLUMNS, [_list_cells(row) for row in report.queues])
        if report.slow_workers:
            rows = [
                (worker.place, round(worker.speed, 2)) for worker in report.slow_workers
            ]
            print_table(("slow worker", "speed"), rows)


def _describe(report: QueueReport) -> str:
    role = "leads" if report.leads else f"follows {report.leader or 'no known leader'}"
    if report.age_s is None:
        return f"{role}, no summary of the load"
    return f"{role}, summary of epoch {report.epoch} is {report.age_s:.1f} s old"


def _list_cells(row: QueueRow) -> tuple[object, ...]:
    return (
        row.queue,
        row.waiting_jobs,
        row.active_jobs,
        row.running_tasks,
        _round(row.work_ahead),
        _round(row.drain_rate),
        _round(row.predicted_wait_s),
        0 if row.rejected == {} else _join(row.rejected),
        _join(row.shares),
        row.obstacle,
    )


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 1)


def _join(values: Mapping[str, float] | None) -> str:
    return ", ".join(
        f"{name} {round(value, 2):g}" for name, value in (values or {}).items()
    )
