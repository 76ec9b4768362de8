"""Creates components of the agent from its settings."""

from __future__ import annotations

import secrets

from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.tasks import TaskManager, create_task_manager
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.store.http_objects import create_object_store
from pistachiodeal.store.http_worker import create_worker_runtime
from pistachiodeal.wire.identity import AGENT_ROLE, Identity

INCARNATION_BITS = 63
OBJECT_CONNECTIONS = 2


def create_identity(settings: AgentSettings) -> Identity:
    """Create the identity that this agent process presents to entries."""
    return Identity(
        role=AGENT_ROLE,
        node=settings.node,
        incarnation=secrets.randbits(INCARNATION_BITS),
        data_centre=settings.data_centre,
        worker=settings.worker,
        rack=settings.rack,
    )


def create_tasks(
    settings: AgentSettings,
    links: LinkManager,
    policies: PolicyCache,
    metrics: Metrics,
) -> TaskManager:
    """Create the task manager with its clients of the worker and the object store."""
    runtime = settings.runtime
    return create_task_manager(
        create_worker_runtime(runtime.worker, timeout=runtime.timeout_s),
        create_object_store(
            runtime.objects, timeout=runtime.timeout_s, connections=OBJECT_CONNECTIONS
        ),
        links,
        policies,
        settings=settings,
        metrics=metrics,
    )
