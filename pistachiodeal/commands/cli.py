"""``pistachiodeal``: parses the arguments and runs a command."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

import curio
import orjson

from pistachiodeal import __version__, exit_codes
from pistachiodeal.commands import (
    histograms,
    job,
    profile,
    service,
    settings,
    status,
    task,
)
from pistachiodeal.commands.errors import CommandError
from pistachiodeal.commands.options import create_common_parser, create_context
from pistachiodeal.commands.output import format_error
from pistachiodeal.exceptions import SettingsError

COMMANDS = (profile, service, task, job, status, histograms, settings)


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    args = create_parser().parse_args(argv)
    try:
        context = create_context(args)
        curio.run(args.run, context, args)
        sys.stdout.flush()
    except CommandError as error:
        return _report(error, getattr(args, "json", False))
    except SettingsError as error:
        fault = CommandError(
            error.detail,
            exit_codes.BAD_USAGE,
            code=error.code,
            step=error.step,
            peer=error.peer,
        )
        return _report(fault, getattr(args, "json", False))
    except BrokenPipeError:
        return _discard_output()
    except KeyboardInterrupt:
        return exit_codes.FAILURE
    return exit_codes.OK


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    codes = "\n".join(f"  {code}  {text}" for code, text in exit_codes.MEANINGS.items())
    parser = argparse.ArgumentParser(
        prog="pistachiodeal",
        description="Manages profiles, services, batch tasks and jobs.",
        epilog=f"exit status:\n{codes}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    common = create_common_parser()
    for module in COMMANDS:
        module.add_commands(parsers, common)
    return parser


def _report(error: CommandError, as_json: bool) -> int:
    if as_json:
        print(orjson.dumps(error.build_document()).decode(), file=sys.stderr)
    else:
        print(format_error(error), file=sys.stderr)
    return error.exit_status


def _discard_output() -> int:
    """Redirect stdout, so that the interpreter's final flush doesn't fail again."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return exit_codes.OK


if __name__ == "__main__":
    sys.exit(main())
