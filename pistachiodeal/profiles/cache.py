"""Cache of the policies in force, which keeps the highest version per service."""

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
class _CachedPolicy:
    """A policy and the text that is sent to peers.

    The text is kept as received: a peer may run a newer program and know fields
    that parsing drops here.
    """

    policy: ServicePolicy
    part: PolicyPart


class PolicyCache:
    """Keeps the policy with the highest version seen for each service.

    A removed service is kept as a tombstone. Otherwise a peer that was partitioned
    during the removal would bring the old policy back.
    """

    def __init__(self, tombstone_limit: int) -> None:
        self._tombstone_limit = tombstone_limit
        self._cached: dict[str, _CachedPolicy] = {}
        self._tombstones: dict[str, None] = {}

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy in force; None if the service is unknown or removed."""
        cached = self._cached.get(service)
        if cached is None or cached.policy.profile is None:
            return None
        return cached.policy

    def version(self, service: str) -> int:
        """Return the cached version of a service or its tombstone, 0 for none."""
        cached = self._cached.get(service)
        return cached.policy.version if cached else 0

    def services(self) -> tuple[str, ...]:
        """Return the services that have a policy."""
        return tuple(key for key in self._cached if key not in self._tombstones)

    def find_profile(self, name: str) -> Profile | None:
        """Return the newest profile of this name that any service uses."""
        found: ServicePolicy | None = None
        for cached in self._cached.values():
            policy = cached.policy
            if policy.profile is None or policy.profile.name != name:
                continue
            if found is None or policy.version > found.version:
                found = policy
        return found.profile if found else None

    def merge(self, parts: Iterable[PolicyPart]) -> set[str]:
        """Apply newer policies from a peer; return the services that changed.

        Policies that cannot be decoded are logged and ignored.
        """
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
            self._put(policy, part)
            changed.add(part.service)
        return changed

    def apply(self, policies: Iterable[ServicePolicy]) -> set[str]:
        """Apply newer policies; return the services that changed."""
        changed = set()
        for policy in policies:
            if policy.version <= self.version(policy.service):
                continue
            self._put(policy, build_part(policy))
            changed.add(policy.service)
        return changed

    def parts(self, services: Iterable[str]) -> tuple[PolicyPart, ...]:
        """Return the parts to send for these services, including tombstones."""
        cached = (self._cached.get(service) for service in services)
        return tuple(item.part for item in cached if item is not None)

    def all_parts(self) -> tuple[PolicyPart, ...]:
        """Return the parts to send for all services, including tombstones."""
        return tuple(cached.part for cached in self._cached.values())

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the policies in force for a status document."""
        return {
            service: {
                "version": cached.policy.version,
                "profile": cached.policy.profile.name,
                "promised_ms": cached.policy.profile.promised_ms,
            }
            for service, cached in self._cached.items()
            if cached.policy.profile is not None
        }

    def _put(self, policy: ServicePolicy, part: PolicyPart) -> None:
        self._cached[policy.service] = _CachedPolicy(policy, part)
        self._tombstones.pop(policy.service, None)
        if policy.profile is not None:
            return
        self._tombstones[policy.service] = None
        if len(self._tombstones) > self._tombstone_limit:
            oldest = next(iter(self._tombstones))
            del self._tombstones[oldest]
            del self._cached[oldest]


def build_part(policy: ServicePolicy) -> PolicyPart:
    """Return the wire message of a policy."""
    text = policy.profile.model_dump_json() if policy.profile else ""
    return PolicyPart(policy.service, policy.version, text)


def decode_profile(text: str) -> Profile | None:
    """Return the profile in a part's text; None if the service was removed.

    :raises ProtocolError: the text is not a valid profile.
    """
    if not text:
        return None
    try:
        settings = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("policy is not JSON", step="profiles.merge") from error
    if not isinstance(settings, dict):
        raise ProtocolError("policy is not a JSON object", step="profiles.merge")
    return parse_profile(settings)


def create_policy_cache(tombstone_limit: int = TOMBSTONE_LIMIT) -> PolicyCache:
    """Return an empty cache.

    :param tombstone_limit: above this, the oldest tombstones are dropped.
    """
    return PolicyCache(tombstone_limit)
