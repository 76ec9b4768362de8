"""``pistachiodeal task``: submit, cancel and show batch tasks."""

from __future__ import annotations

import argparse
import re
import secrets
from pathlib import Path
from typing import Any

from pistachiodeal.commands.entries import call_entries
from pistachiodeal.commands.errors import UsageError
from pistachiodeal.commands.options import Context
from pistachiodeal.commands.output import print_fields, print_json
from pistachiodeal.commands.parsers import Subparsers, add_command, add_group

TASKS = "/tasks"
TASK_ID = re.compile(r"^[A-Za-z0-9._-]{1,200}$")


def add_commands(parsers: Subparsers, common: argparse.ArgumentParser) -> None:
    """Add the commands to the parser."""
    group = add_group(parsers, "task", "submit, cancel and show batch tasks")
    submit = add_command(group, common, "submit", "submit a task", run_submit)
    submit.add_argument("--kind", required=True, help="kind of work")
    submit.add_argument("--team", required=True, help="team whose quota is charged")
    submit.add_argument("--profile", required=True, help="profile of the task")
    submit.add_argument("--cpu-milli", type=int, default=1000, metavar="N")
    submit.add_argument("--memory-mib", type=int, default=256, metavar="N")
    submit.add_argument("--accelerators", type=int, default=0, metavar="N")
    submit.add_argument(
        "--payload", default="", help="text that is passed to the worker"
    )
    submit.add_argument("--payload-file", metavar="FILE", help="file with the payload")
    submit.add_argument(
        "--urgent", action="store_true", help="run before non-urgent tasks"
    )
    submit.add_argument(
        "--key", help="idempotency key: a repeated key never creates a second task"
    )
    cancel = add_command(group, common, "cancel", "cancel a task", run_cancel)
    cancel.add_argument("task_id")
    show = add_command(group, common, "show", "show the state of a task", run_show)
    show.add_argument("task_id")


async def run_submit(context: Context, args: argparse.Namespace) -> None:
    """Submit a task; prints its id once it is durable."""
    # The idempotency key allows a retry on the next entry: if the first entry
    # accepted the task and its answer was lost, the retry returns the same task.
    key = args.key or secrets.token_hex(16)
    answer = await call_entries(
        context,
        "POST",
        TASKS,
        document=_build_task(args),
        headers=(("idempotency-key", key),),
        repeatable=True,
    )
    _print_task(context, answer.document)


async def run_cancel(context: Context, args: argparse.Namespace) -> None:
    """Cancel a task and print its state: it may already have finished."""
    answer = await call_entries(
        context, "DELETE", _build_target(args.task_id), repeatable=True
    )
    _print_task(context, answer.document)


async def run_show(context: Context, args: argparse.Namespace) -> None:
    """Print a task."""
    answer = await call_entries(
        context, "GET", _build_target(args.task_id), repeatable=True
    )
    _print_task(context, answer.document)


def _build_task(args: argparse.Namespace) -> dict[str, Any]:
    payload = args.payload
    if args.payload_file is not None:
        try:
            payload = Path(args.payload_file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"payload file {args.payload_file}: {error}") from error
    return {
        "kind": args.kind,
        "team": args.team,
        "profile": args.profile,
        "cpu_milli": args.cpu_milli,
        "memory_mib": args.memory_mib,
        "accelerators": args.accelerators,
        "payload": payload,
        "urgent": args.urgent,
    }


def _build_target(task_id: str) -> str:
    if not TASK_ID.match(task_id):
        raise UsageError(f"{task_id!r} is not a task id")
    return f"{TASKS}/{task_id}"


def _print_task(context: Context, document: Any) -> None:
    if context.as_json:
        print_json(document)
    else:
        print_fields(document)
