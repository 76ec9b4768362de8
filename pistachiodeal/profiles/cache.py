"""Policies in force here: the highest version of each service wins."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import logbook
import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.profiles.document import parse_profile
from pistachiodeal.wire.messages import PolicyPart

TOMBSTONE_LIMIT = 10_000

log = logbook.Logger("pistachiodeal.profiles")


@dataclass(frozen=True, slots=True)
class _Held:
    """A policy, and the text that is passed on to peers.

    The text is kept as it came: a peer may be newer than this program and know
    fields which parsing drops.
    """

    policy: ServicePolicy
    part: PolicyPart


class PolicyCache:
    """Keeps each service's policy of the highest version it has seen.

    A removed service stays as a tombstone, or a peer that was cut off while it
    was removed would bring the old policy back.
    """

    def __init__(self, tombstone_limit: int) -> None:
        self._tombstone_limit = tombstone_limit
        self._held: dict[str, _Held] = {}
        self._tombstones: dict[str, None] = {}

    def policy(self, service: str) -> ServicePolicy | None:
        """Return what is in force; None when unknown or removed."""
        held = self._held.get(service)
        if held is None or held.policy.profile is None:
            return None
        return held.policy

    def version(self, service: str) -> int:
        """Return the version held for a service or its tombstone, 0 for none."""
        held = self._held.get(service)
        return held.policy.version if held else 0

    def services(self) -> tuple[str, ...]:
        """Return the services that have a policy."""
        return tuple(key for key in self._held if key not in self._tombstones)

    def find_profile(self, name: str) -> Profile | None:
        """Return the newest profile of this name that some service holds."""
        found: ServicePolicy | None = None
        for held in self._held.values():
            policy = held.policy
            if policy.profile is None or policy.profile.name != name:
                continue
            if found is None or policy.version > found.version:
                found = policy
        return found.profile if found else None

    def merge(self, parts: Iterable[PolicyPart]) -> set[str]:
        """Take over what is newer; return the services that changed."""
        changed = set()
        for part in parts:
            if part.version <= self.version(part.service):
                continue
            try:
                profile = decode_profile(part.profile)
            except ProtocolError as error:
                log.warning("profiles: policy of {} ignored: {}", part.service, error)
                continue
            policy = ServicePolicy(part.service, part.version, profile)
            self._hold(policy, part)
            changed.add(part.service)
        return changed

    def apply(self, policies: Iterable[ServicePolicy]) -> set[str]:
        """Take over what is newer; return the services that changed."""
        changed = set()
        for policy in policies:
            if policy.version <= self.version(policy.service):
                continue
            self._hold(policy, build_part(policy))
            changed.add(policy.service)
        return changed

    def parts(self, services: Iterable[str]) -> tuple[PolicyPart, ...]:
        """Return what to tell a peer about these services, tombstones included."""
        held = (self._held.get(service) for service in services)
        return tuple(one.part for one in held if one is not None)

    def all_parts(self) -> tuple[PolicyPart, ...]:
        """Return what to tell a peer about every service, tombstones included."""
        return tuple(held.part for held in self._held.values())

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return what is in force, for a status document."""
        return {
            service: {
                "version": held.policy.version,
                "profile": held.policy.profile.name,
                "promised_ms": held.policy.profile.promised_ms,
            }
            for service, held in self._held.items()
            if held.policy.profile is not None
        }

    def _hold(self, policy: ServicePolicy, part: PolicyPart) -> None:
        self._held[policy.service] = _Held(policy, part)
        self._tombstones.pop(policy.service, None)
        if policy.profile is not None:
            return
        self._tombstones[policy.service] = None
        if len(self._tombstones) > self._tombstone_limit:
            oldest = next(iter(self._tombstones))
            del self._tombstones[oldest]
            del self._held[oldest]


def build_part(policy: ServicePolicy) -> PolicyPart:
    """Return a policy as it goes over a link."""
    text = policy.profile.model_dump_json() if policy.profile else ""
    return PolicyPart(policy.service, policy.version, text)


def decode_profile(text: str) -> Profile | None:
    """Return the profile of a part; None when the service was removed.

    :raises ProtocolError: it is no profile.
    """
    if not text:
        return None
    try:
        settings = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("policy is not JSON", step="profiles.merge") from error
    if not isinstance(settings, dict):
        raise ProtocolError("policy is no object", step="profiles.merge")
    return parse_profile(settings)


def create_policy_cache(tombstone_limit: int = TOMBSTONE_LIMIT) -> PolicyCache:
    """Return an empty cache; the oldest tombstones go first over the limit."""
    return PolicyCache(tombstone_limit)
