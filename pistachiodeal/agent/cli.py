"""Command line of ``pistachiodeal-agent``."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence
from types import FrameType

import curio
import logbook

from pistachiodeal import __version__, exit_codes
from pistachiodeal.agent.app import AgentApp, open_agent
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.load import load_settings
from pistachiodeal.exceptions import PistachiodealError, SettingsError
from pistachiodeal.logs import configure_logs
from pistachiodeal.signals import watch_signals

log = logbook.Logger("agent")


def main(argv: Sequence[str] | None = None) -> int:
    """Run an agent until a signal stops it; return the exit status."""
    arguments = _build_parser().parse_args(argv)
    try:
        settings = load_settings(arguments.settings, AgentSettings)
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        return exit_codes.BAD_USAGE
    configure_logs(settings.log)
    try:
        status: int = curio.run(_run, settings, arguments.leave)
    except (PistachiodealError, OSError) as error:
        log.error("agent: ended by an error: {!r}", error)
        return exit_codes.FAILURE
    return status


async def _run(settings: AgentSettings, leave: bool) -> int:
    with watch_signals() as watch:
        async with open_agent(settings, leave) as app:
            _stop_for_good_on_signal(app)
            print(f"announce {app.port}", flush=True)
            return await app.run(watch)


def _stop_for_good_on_signal(app: AgentApp) -> None:
    def stop(number: int, frame: FrameType | None) -> None:
        app.leave = True
        signal.raise_signal(signal.SIGTERM)

    signal.signal(signal.SIGUSR1, stop)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pistachiodeal-agent",
        description="Runs beside a worker: takes on its requests and tasks.",
        epilog="SIGTERM stops gracefully and leaves tasks running under their "
        "leases; SIGUSR1 also evicts them, for a worker that leaves for good.",
    )
    parser.add_argument("--settings", required=True, help="settings, a JSON file")
    parser.add_argument(
        "--leave",
        action="store_true",
        help="a graceful stop means that the worker leaves for good",
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


if __name__ == "__main__":
    sys.exit(main())
