"""The targets of each service, updated by the agents' reports."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any

from pistachiodeal.routing.candidate import Candidate
from pistachiodeal.wire.messages import Report

SERVICE_LIMIT = 10_000
MICROSECOND = 1e-6


class TargetTable:
    """Maps each service to its candidates, one for each agent."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, dict[str, Candidate]] = {}
        self._lists: dict[str, list[Candidate]] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have at least one target."""
        return tuple(self._services)

    def find(self, service: str) -> Sequence[Candidate]:
        """Return a service's candidates; empty when no agent announces it."""
        return self._lists.get(service, ())

    def update(
        self, node: str, data_centre: str, report: Report, earlier: frozenset[str]
    ) -> frozenset[str]:
        """Apply an agent's report; return the services that it lists.

        :param earlier: services that the agent's previous report listed.
        """
        now = self._clock()
        named: set[str] = set()
        for load in report.services:
            candidate = self._get_or_create(load.service, node, data_centre)
            if candidate is None:
                continue
            latency_s = load.latency_us * MICROSECOND
            candidate.apply_report(load.slots, load.busy, load.queued, latency_s, now)
            named.add(load.service)
        self.remove(node, earlier - named)
        return frozenset(named)

    def remove(self, node: str, services: frozenset[str]) -> None:
        """Remove a node's targets of these services."""
        for service in services:
            nodes = self._services.get(service, {})
            if nodes.pop(node, None) is None:
                continue
            if nodes:
                self._lists[service] = list(nodes.values())
            else:
                del self._services[service]
                del self._lists[service]

    def build_status(self) -> dict[str, list[dict[str, Any]]]:
        """Return the targets of each service for the status document."""
        now = self._clock()
        return {
            service: [_describe(candidate, now) for candidate in nodes.values()]
            for service, nodes in self._services.items()
        }

    def _get_or_create(
        self, service: str, node: str, data_centre: str
    ) -> Candidate | None:
        nodes = self._services.get(service)
        if nodes is None:
            if len(self._services) >= SERVICE_LIMIT:
                return None
            nodes = self._services[service] = {}
        candidate = nodes.get(node)
        if candidate is None:
            candidate = nodes[node] = Candidate(node, data_centre)
            self._lists[service] = list(nodes.values())
        return candidate


def _describe(candidate: Candidate, now: float) -> dict[str, Any]:
    return {
        "node": candidate.node,
        "data_centre": candidate.data_centre,
        "slots": candidate.slots,
        "busy": candidate.busy,
        "queued": candidate.queued,
        "outstanding": candidate.outstanding,
        "latency_ms": round(candidate.latency_s * 1000, 3),
        "doubtful": candidate.is_doubtful(now),
        "load": round(candidate.compute_load(now), 2),
    }


def create_target_table(clock: Callable[[], float] = time.monotonic) -> TargetTable:
    """Return a table without targets."""
    return TargetTable(clock)
