"""Callers that check by which version of the configuration they are answered."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio
import orjson

from pistachiodeal.web.client import CallError, WebClient, create_client
from pistachiodeal.web.messages import WebResponse
from tests.simulation.clock import SimulatedClock
from tests.simulation.entries import SimulatedDeployment, SimulatedEntry

# The platform's bounds: a version is in force this long after its acknowledgement, and
# this much later while the store serves only a part of the hosts.
APPLY_S = 2.0
STRETCH_S = 5.0
# Nothing is promised of a host, or beside a store, that failed within this time.
CONTACT_S = 3.0
CALL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3.0
NEVER = -1_000.0
NOT_FOUND = 404
SERVED = 200
UNAVAILABLE = 503


@dataclass
class Disturbances:
    """What was disturbed, and until when, in simulated seconds.

    :ivar hosts: end of the last disturbance of each host.
    :ivar store: end of the last disturbance of the store as a whole.
    :ivar store_in_part: end of the last time at which the store served only some hosts.
    """

    hosts: dict[str, float] = field(default_factory=dict)
    store: float = NEVER
    store_in_part: float = NEVER

    def disturb(self, host: str, until: float) -> None:
        """Note a disturbance of a host."""
        self.hosts[host] = max(until, self.hosts.get(host, NEVER))

    def disturb_store(self, until: float) -> None:
        """Note a disturbance of the whole store."""
        self.store = max(until, self.store)

    def disturb_store_in_part(self, until: float) -> None:
        """Note that the store serves only some hosts, or delays what feeds hear."""
        self.store_in_part = max(until, self.store_in_part)

    def is_promised(self, host: str, acknowledged_at: float, now: float) -> bool:
        """Tell whether a version has to be in force at a host by now."""
        calm_since = max(self.hosts.get(host, NEVER), self.store)
        if now - calm_since < CONTACT_S:
            return False
        if now - self.store_in_part >= CONTACT_S:
            return now - acknowledged_at >= APPLY_S
        # Nothing is promised if the whole store was disturbed as well since then.
        return (
            now - acknowledged_at >= APPLY_S + STRETCH_S
            and acknowledged_at > self.store
        )


@dataclass
class Check:
    """Asks one entry by two queues that a version added and dropped.

    :ivar violations: what was answered by an older version than is allowed.
    :ivar counts: number of answers by status, or by the code of a refusal.
    """

    deployment: SimulatedDeployment
    disturbances: Disturbances
    clock: SimulatedClock
    violations: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)

    async def run(self, entry: SimulatedEntry) -> None:
        """Ask without end."""
        client = create_client(entry.callers, connections=4)
        while True:
            await curio.sleep(CALL_INTERVAL_S)
            required = self._find_required(entry.host) if entry.running else 0
            if not required:
                await client.close()
                continue
            for queue, wrong in (
                (f"added-{required}", NOT_FOUND),
                (f"only-{required - 1}", SERVED),
            ):
                await self._ask(client, entry, queue, wrong, required)

    async def _ask(
        self,
        client: WebClient,
        entry: SimulatedEntry,
        queue: str,
        wrong: int,
        required: int,
    ) -> None:
        """Ask for a queue; record the status that only an older version gives."""
        asked_at = self.clock.now
        try:
            response = await client.call("GET", f"/{queue}/", timeout=CALL_TIMEOUT_S)
        except CallError:
            self._count("none")
            return
        self._count(_describe(response))
        if response.status == wrong:
            late_s = asked_at - self.deployment.acknowledged[required]
            self.violations.append(
                f"{asked_at:.2f} {entry.host} answered {response.status} to {queue}, "
                f"though version {required} was acknowledged {late_s:.2f} s before"
            )

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _find_required(self, host: str) -> int:
        """Return the newest version that has to be in force at a host, or 0."""
        now = self.clock.now
        return max(
            (
                version
                for version, at in self.deployment.acknowledged.items()
                if self.disturbances.is_promised(host, at, now)
            ),
            default=0,
        )


def _describe(response: WebResponse) -> str:
    if response.status != UNAVAILABLE:
        return str(response.status)
    return str(orjson.loads(response.body)["code"])
