"""Options common to all commands, read from arguments and the environment."""

from __future__ import annotations

import argparse
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pistachiodeal.addresses import is_address
from pistachiodeal.commands.errors import UsageError

TOKEN_VARIABLE = "PISTACHIODEAL_TOKEN"
ENTRY_VARIABLE = "PISTACHIODEAL_ENTRY"
DEFAULT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Context:
    """Settings shared by all commands.

    :param timeout: seconds for one call to one entry.
    """

    entries: tuple[str, ...]
    token: str
    timeout: float
    as_json: bool


def create_common_parser() -> argparse.ArgumentParser:
    """Return the parent parser of every command."""
    parser = argparse.ArgumentParser(add_help=False, argument_default=argparse.SUPPRESS)
    group = parser.add_argument_group("common options")
    group.add_argument(
        "--entry",
        action="append",
        metavar="IP:PORT",
        help="HTTP address of an entry; repeat to add entries to try in turn "
        f"(default: {ENTRY_VARIABLE}, comma-separated)",
    )
    group.add_argument("--token", help=f"operators' token (default: {TOKEN_VARIABLE})")
    group.add_argument("--token-file", metavar="FILE", help="file that holds the token")
    group.add_argument(
        "--timeout",
        type=float,
        metavar="SECONDS",
        help=f"timeout of one call to one entry (default: {DEFAULT_TIMEOUT_S:g})",
    )
    group.add_argument("--json", action="store_true", help="print JSON")
    return parser


def create_context(args: argparse.Namespace) -> Context:
    """Return the context from arguments and environment.

    :raises UsageError: an address, the timeout or the token is invalid.
    """
    timeout = getattr(args, "timeout", DEFAULT_TIMEOUT_S)
    if not 0 < timeout < float("inf"):
        raise UsageError("--timeout must be greater than 0")
    return Context(
        entries=_read_entries(args),
        token=_read_token(args),
        timeout=timeout,
        as_json=getattr(args, "json", False),
    )


def _read_entries(args: argparse.Namespace) -> tuple[str, ...]:
    named: list[str] = getattr(args, "entry", [])
    if not named:
        named = [
            part.strip()
            for part in os.environ.get(ENTRY_VARIABLE, "").split(",")
            if part.strip()
        ]
    for address in named:
        if not is_address(address):
            raise UsageError(f"entry {address!r} is not ip:port")
    return tuple(dict.fromkeys(named))


def _read_token(args: argparse.Namespace) -> str:
    token: Any = getattr(args, "token", None)
    path = getattr(args, "token_file", None)
    if token is None and path is not None:
        try:
            token = Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"token file {path}: {error}") from error
    if token is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    if not token.isascii() or not token.isprintable():
        raise UsageError(
            "the token contains characters that are not allowed in a header"
        )
    return str(token)
