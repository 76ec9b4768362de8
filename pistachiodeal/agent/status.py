"""The agent's status document for operators."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from pistachiodeal import __version__
from pistachiodeal.agent.links import LinkKeeper
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskKeeper
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.cache import PolicyCache


@dataclass(frozen=True, slots=True)
class StatusParts:
    """The components that the status document describes."""

    settings: AgentSettings
    tasks: TaskKeeper
    requests: RequestHandler
    links: LinkKeeper
    policies: PolicyCache
    metrics: Metrics


def build_status(
    parts: StatusParts, *, attached: bool, draining: bool
) -> dict[str, Any]:
    """Return the status document of this process."""
    ledger = parts.tasks.ledger
    return {
        "node": parts.settings.node,
        "worker": parts.settings.worker,
        "version": __version__,
        "attached": attached,
        "draining": draining,
        "capacity": asdict(ledger.capacity),
        "free": asdict(ledger.free),
        "requests_open": parts.requests.open_count,
        "services": [
            {
                "service": load.service,
                "slots": load.slots,
                "busy": load.busy,
                "queued": load.queued,
                "latency_us": load.latency_us,
            }
            for load in parts.requests.figures()
        ],
        "links": [link.peer.node for link in parts.links.links],
        "policies": parts.policies.describe(),
        "counts": parts.metrics.counts(),
    }
