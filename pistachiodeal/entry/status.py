"""The status document for operators."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from pistachiodeal.entry.dispatch import Dispatcher
from pistachiodeal.entry.protocols import TaskService
from pistachiodeal.entry.sessions import Session, SessionTable
from pistachiodeal.entry.targets import TargetTable
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.web.server import WebServer
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import ServiceLoad


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The objects that the status document is read from.

    :param started_at: monotonic time at which the entry was created.
    """

    identity: Identity
    started_at: float
    sessions: SessionTable
    targets: TargetTable
    profiles: ProfileManager
    batch: TaskService
    dispatcher: Dispatcher
    web: WebServer
    metrics: Metrics


def build_status(sources: StatusSources, draining: bool) -> dict[str, Any]:
    """Return the status document of this process."""
    counters = sources.web.counters
    return {
        "node": sources.identity.node,
        "incarnation": sources.identity.incarnation,
        "data_centre": sources.identity.data_centre,
        "uptime_s": round(time.monotonic() - sources.started_at, 1),
        "draining": draining,
        "in_flight": sources.dispatcher.in_flight,
        "http": {
            "connections": counters.connections,
            "open": counters.open_now,
            "requests": counters.requests,
            "rejected": counters.rejected,
        },
        "profiles_version": sources.profiles.version,
        "policies": sources.profiles.describe(),
        "agents": [_describe(session) for session in sources.sessions.list_all()],
        "services": sources.targets.build_status(),
        "counts": sources.metrics.counts(),
        "batch": sources.batch.status(),
    }


def _describe(session: Session) -> dict[str, Any]:
    return {
        "node": session.node,
        "worker": session.worker,
        "data_centre": session.data_centre,
        "rack": session.rack,
        "incarnation": session.incarnation,
        "draining": session.draining,
        "retired": session.retired,
        "outstanding": session.outstanding,
        "services": [load.service for load in _list_loads(session)],
    }


def _list_loads(session: Session) -> tuple[ServiceLoad, ...]:
    return session.report.services if session.report else ()
