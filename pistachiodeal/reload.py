"""Handles SIGHUP: checks whether the settings file has changed."""

from __future__ import annotations

import os
import signal

from pistachiodeal.config.deployment import DeploymentSettings, load_deployment
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import SettingsError
from pistachiodeal.signals import SignalWatch

SETTINGS_VARIABLE = "PISTACHIODEAL_CONFIG"


async def wait_for_stop(
    signals: SignalWatch, settings: DeploymentSettings, events: EventLog
) -> None:
    """Wait for a stop signal; check the settings file at each SIGHUP.

    Addresses can't change in a running process, and limits are fixed by its
    deployment, so a change is only logged and takes effect at the next start.
    """
    while True:
        number = await signals.wait()
        if number != signal.SIGHUP:
            return
        try:
            found = load_deployment(os.environ.get(SETTINGS_VARIABLE, ""))
        except SettingsError as error:
            events.emit("process.reload", outcome="unreadable", cause=error.detail)
            continue
        outcome = "unchanged" if found == settings else "changed, needs a restart"
        events.emit("process.reload", outcome=outcome)
