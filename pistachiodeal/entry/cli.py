"""Command line of ``pistachiodeal-entry``."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence

import curio
from logbook import Logger

from pistachiodeal import __version__, exit_codes
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.config.load import load_settings
from pistachiodeal.entry.app import EntryApp
from pistachiodeal.entry.composition import open_entry
from pistachiodeal.exceptions import PistachiodealError, SettingsError
from pistachiodeal.logs import configure_logs
from pistachiodeal.signals import SignalWatch, watch_signals

log = Logger("entry")

EPILOG = """\
exit status: 0 after a graceful stop; 1 when a component failed permanently or
requests were aborted; 2 for wrong arguments or settings
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run an entry; return the exit status."""
    arguments = _parse_arguments(argv)
    try:
        settings = load_settings(arguments.settings, EntrySettings)
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        return exit_codes.BAD_USAGE
    configure_logs(settings.log)
    try:
        return curio.run(_serve, settings)
    except (PistachiodealError, OSError) as error:
        log.error("entry: exiting on error: {}", error)
        return exit_codes.FAILURE


def _parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="pistachiodeal-entry",
        description="Accepts callers' requests and batch tasks.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, help="settings file, JSON")
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser.parse_args(argv)


async def _serve(settings: EntrySettings) -> int:
    with watch_signals() as watch:
        async with open_entry(settings) as entry:
            print(f"http {entry.web.port}")
            print(f"internal {entry.links.port}", flush=True)
            log.notice("entry: {} is listening", settings.node)
            status = await _run_until_signal(entry, watch)
            entry.write_histograms()
            return status


async def _run_until_signal(entry: EntryApp, watch: SignalWatch) -> int:
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_run, entry)
        await group.spawn(_stop_on_signal, entry, watch)
    return group.result


async def _run(entry: EntryApp) -> int:
    await entry.run()
    return exit_codes.FAILURE


async def _stop_on_signal(entry: EntryApp, watch: SignalWatch) -> int:
    """Drain at the first signal, exit immediately at the second."""
    number = await watch.wait()
    log.notice("entry: {} received", signal.Signals(number).name)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_drain, entry)
        await group.spawn(_exit_at_once, entry, watch)
    return group.result


async def _drain(entry: EntryApp) -> int:
    drained = await entry.drain()
    return exit_codes.OK if drained else exit_codes.FAILURE


async def _exit_at_once(entry: EntryApp, watch: SignalWatch) -> int:
    await watch.wait()
    log.warning("entry: second signal, {} requests cut", entry.in_flight)
    return exit_codes.FAILURE


if __name__ == "__main__":
    sys.exit(main())
