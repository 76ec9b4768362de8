"""An entry's view of the profiles: polled, and learnt from peers in an outage."""

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
LEAST_PAUSE_S = 0.1

log = logbook.Logger("pistachiodeal.profiles")


def ignore_change(services: set[str]) -> None:
    """Do nothing with a change."""


class ProfileManager:
    """Holds the newest document and the policies in force.

    :ivar on_change: called with the services whose policy changed.
    """

    def __init__(self, store: ProfileStore, cache: PolicyCache, poll_s: float) -> None:
        self._store = store
        self._cache = cache
        self._poll_s = poll_s
        self._document = ProfileDocument()
        self._parsed: dict[str, tuple[int, Profile]] = {}
        self._failing = False
        self._asked_at = -math.inf
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
        """Tell whether the last look at the table failed."""
        return self._failing

    def policy(self, service: str) -> ServicePolicy | None:
        """Return what is in force for a service; None when unknown or removed."""
        return self._cache.policy(service)

    def profile(self, name: str) -> Profile | None:
        """Return a profile by name, also one only learnt from peers."""
        item = self._document.profiles.get(name)
        if item is None:
            # A document that was seen is the truth on names, so a profile that
            # was retired must not come back from a policy that a peer still holds.
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
        """Return what to tell an agent about these services.

        A service that the newest document does not have is told as removed at
        that document's version.
        """
        return tuple(
            part for service in services if (part := self._build_part(service))
        )

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return what is in force, for a status document."""
        return self._cache.describe()

    def merge(self, parts: Iterable[PolicyPart]) -> set[str]:
        """Take over what is newer from a peer; return the services that changed."""
        # Up to its version the document says all there is: a part at or below it
        # is old news, or of a service that was removed while the peer was cut off.
        newer = [part for part in parts if part.version > self.version]
        changed = self._cache.merge(newer)
        if changed:
            log.notice("profiles: {} policies learnt from a peer", len(changed))
            self.on_change(changed)
        return changed

    def apply_document(self, document: ProfileDocument) -> set[str]:
        """Put a document in force if it is newer; return the services that changed."""
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
        """Look at the table once.

        :raises StoreError: the table did not answer.
        :raises ProtocolError: the document is broken.
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
        """Look at the table unless that was done just now; failures are logged.

        Many callers who name a profile that does not exist must not cost a read
        each.
        """
        now = time.monotonic()
        if now - self._asked_at < LEAST_PAUSE_S:
            return
        self._asked_at = now
        with contextlib.suppress(PistachiodealError):
            await self.refresh()

    async def run(self) -> None:
        """Look at the table again and again, until cancelled."""
        while True:
            # refresh logs a failure; what is in force stays in force
            with contextlib.suppress(PistachiodealError):
                await self.refresh()
            await curio.sleep(self._poll_s * random.uniform(1 - JITTER, 1 + JITTER))

    def _build_part(self, service: str) -> PolicyPart | None:
        held = self._cache.parts((service,))
        if held:
            return held[0]
        return PolicyPart(service, self.version, "") if self.version else None

    def _list_newer(self, document: ProfileDocument) -> list[ServicePolicy]:
        """Return what a document changes against what is in force."""
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
    """Return a keeper that has seen nothing yet.

    :param poll_s: mean seconds between two looks at the table.
    """
    return ProfileManager(create_profile_store(table), create_policy_cache(), poll_s)
