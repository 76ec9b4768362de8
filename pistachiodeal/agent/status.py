"""The agent's status document for operators."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from pistachiodeal import __version__
from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskManager
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.cache import PolicyCache


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The components that the status document describes."""

    settings: AgentSettings
    tasks: TaskManager
    requests: RequestHandler
    links: LinkManager
    policies: PolicyCache
    metrics: Metrics


def build_status(
    sources: StatusSources, *, attached: bool, draining: bool
) -> dict[str, Any]:
    """Return the status document of this process."""
    ledger = sources.tasks.ledger
    return {
        "node": sources.settings.node,
        "worker": sources.settings.worker,
        "version": __version__,
        "attached": attached,
        "draining": draining,
        "capacity": asdict(ledger.capacity),
        "free": asdict(ledger.free),
        "requests_open": sources.requests.open_count,
        "services": [
            {
                "service": load.service,
                "slots": load.slots,
                "busy": load.busy,
                "queued": load.queued,
                "latency_us": load.latency_us,
            }
            for load in sources.requests.list_loads()
        ],
        "links": [link.peer.node for link in sources.links.links],
        "policies": sources.policies.describe(),
        "counts": sources.metrics.counts(),
    }
