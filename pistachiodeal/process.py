"""Entry point of the job programs: settings, logs, signals and event loop."""

from __future__ import annotations

import argparse
import os
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import curio
import logbook

from pistachiodeal import exit_codes
from pistachiodeal.config.deployment import DeploymentSettings, load_deployment
from pistachiodeal.events import EventLog, create_event_log
from pistachiodeal.exceptions import SettingsError
from pistachiodeal.reload import SETTINGS_VARIABLE
from pistachiodeal.signals import SignalWatch, watch_signals

LOG_LEVEL = "INFO"


class App(Protocol):
    """A program that :func:`run_process` runs."""

    async def run(self, signals: SignalWatch) -> None:
        """Serve until a stop signal is received."""


def run_process(
    role: str, create: Callable[[DeploymentSettings, EventLog], App]
) -> None:
    """Run a program until it stops, then exit the process.

    :param role: ``entry`` or ``agent``.
    """
    parser = argparse.ArgumentParser(prog=f"pistachiodeal {role}")
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"path of the JSON settings (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args()
    try:
        settings = load_deployment(arguments.settings)
    except SettingsError as error:
        print(error.detail, file=sys.stderr)
        sys.exit(exit_codes.BAD_USAGE)
    if arguments.check:
        sys.exit(exit_codes.OK)
    events = create_event_log(settings.node)
    handler = logbook.StreamHandler(sys.stderr, level=LOG_LEVEL)
    handler.format_string = "{record.level_name:<7} {record.message}"
    logbook.NullHandler().push_application()
    handler.push_application()
    with watch_signals(signal.SIGHUP) as signals:
        curio.run(_serve, role, settings, create, events, signals)
    sys.exit(exit_codes.OK)


async def _serve(
    role: str,
    settings: DeploymentSettings,
    create: Callable[[DeploymentSettings, EventLog], App],
    events: EventLog,
    signals: SignalWatch,
) -> None:
    events.emit("process.started", role=role, host=settings.host, pid=os.getpid())
    await create(settings, events).run(signals)
