"""An entry's view of the profiles, polled from the table or received from peers."""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import curio
import logbook

from pistachiodeal.exceptions import PistachiodealError, ProtocolError
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.profiles.cache import PolicyCache, create_policy_cache
from pistachiodeal.profiles.document import ProfileDocument, parse_profile
from pistachiodeal.profiles.store import ProfileStore, create_profile_store
from pistachiodeal.store.protocols import Table
from pistachiodeal.wire.messages import PolicyPart

JITTER = 0.25
MIN_REFRESH_INTERVAL_S = 0.1

log = logbook.Logger("pistachiodeal.profiles")


def ignore_change(services: set[str]) -> None:
    """Do nothing (the default callback)."""


class ProfileManager:
    """Keeps the newest document and the policies in force.

    :ivar on_change: called with the services whose policy changed.
    """

    def __init__(self, store: ProfileStore, cache: PolicyCache, poll_s: float) -> None:
        self._store = store
        self._cache = cache
        self._poll_s = poll_s
        self._document = ProfileDocument()
        self._parsed: dict[str, tuple[int, Profile]] = {}
        self._failing = False
        self._refreshed_at = -math.inf
        self.on_change: Callable[[set[str]], None] = ignore_change

    @property
    def version(self) -> int:
        """Return the version of the newest document seen, 0 for none."""
        return self._document.version

    @property
    def document(self) -> ProfileDocument:
        """Return the newest document seen."""
        return self._document

    @property
    def failing(self) -> bool:
        """Return whether the last refresh from the table failed."""
        return self._failing

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy in force; None if the service is unknown or removed."""
        return self._cache.policy(service)

    def profile(self, name: str) -> Profile | None:
        """Return a profile by name; before the first read, one known from peers."""
        item = self._document.profiles.get(name)
        if item is None:
            # Once a document was read, only its names count: a retired profile must
            # not come back through a policy that a peer still has.
            return None if self.version else self._cache.find_profile(name)
        known = self._parsed.get(name)
        if known is not None and known[0] == item.version:
            return known[1]
        profile = parse_profile(item.settings)
        self._parsed[name] = (item.version, profile)
        return profile

    def services(self) -> tuple[str, ...]:
        """Return the services that have a policy."""
        return self._cache.services()

    def parts(self, services: Iterable[str]) -> tuple[PolicyPart, ...]:
        """Return the parts to send to an agent for these services.

        A service that is not in the newest document is reported as removed at
        that document's version.
        """
        return tuple(
            part for service in services if (part := self._build_part(service))
        )

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the policies in force for a status document."""
        return self._cache.describe()

    def merge(self, parts: Iterable[PolicyPart]) -> set[str]:
        """Apply newer policies from a peer; return the services that changed."""
        # The document is complete up to its version: a part at or below it is
        # outdated, or of a service removed while the peer was partitioned.
        newer = [part for part in parts if part.version > self.version]
        changed = self._cache.merge(newer)
        if changed:
            log.notice("profiles: {} policies received from a peer", len(changed))
            self.on_change(changed)
        return changed

    def apply_document(self, document: ProfileDocument) -> set[str]:
        """Apply a document if it is newer; return the services that changed."""
        if document.version <= self.version:
            return set()
        changed = self._cache.apply(self._list_newer(document))
        self._document = document
        self._parsed = {
            key: known
            for key, known in self._parsed.items()
            if key in document.profiles
        }
        log.notice(
            "profiles: version {} in force, {} services changed",
            document.version,
            len(changed),
        )
        if changed:
            self.on_change(changed)
        return changed

    async def refresh(self) -> None:
        """Read the version from the table, and the document if it is newer.

        :raises StoreError: the table did not answer.
        :raises ProtocolError: the document is invalid.
        """
        try:
            if await self._store.read_version() > self.version:
                self.apply_document((await self._store.read()).document)
        except PistachiodealError as error:
            if not self._failing:
                log.warning("profiles: version {} kept: {}", self.version, error)
            self._failing = True
            raise
        if self._failing:
            log.notice("profiles: table answers again")
        self._failing = False

    async def refresh_rate_limited(self) -> None:
        """Refresh unless that was done just before; failures are only logged.

        Without the limit, each request that names an unknown profile would cost a
        read of the table.
        """
        now = time.monotonic()
        if now - self._refreshed_at < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        with contextlib.suppress(PistachiodealError):
            await self.refresh()

    async def run(self) -> None:
        """Poll the table until cancelled."""
        while True:
            # refresh() logs failures, and the policies in force stay.
            with contextlib.suppress(PistachiodealError):
                await self.refresh()
            await curio.sleep(self._poll_s * random.uniform(1 - JITTER, 1 + JITTER))

    def _build_part(self, service: str) -> PolicyPart | None:
        held = self._cache.parts((service,))
        if held:
            return held[0]
        return PolicyPart(service, self.version, "") if self.version else None

    def _list_newer(self, document: ProfileDocument) -> list[ServicePolicy]:
        """Return the policies that differ between a document and the cache."""
        policies = []
        for service in document.services:
            if document.policy_version(service) <= self._cache.version(service):
                continue
            try:
                policies.append(document.build_policy(service))
            except ProtocolError as error:
                log.error("profiles: policy of {} not applied: {}", service, error)
        for service in self._cache.services():
            if service not in document.services:
                policies.append(ServicePolicy(service, document.version, None))
        return policies


def create_profile_manager(table: Table, poll_s: float) -> ProfileManager:
    """Return a manager that has not read the table yet.

    :param poll_s: mean seconds between two polls of the table.
    """
    return ProfileManager(create_profile_store(table), create_policy_cache(), poll_s)
