"""The document with all profiles and the services that use them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
from pydantic import ValidationError

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.malformed import MALFORMED
from pistachiodeal.model.policies import Profile, ServicePolicy

MAX_RECENT_CHANGES = 128


@dataclass(frozen=True, slots=True)
class ProfileItem:
    """A stored profile.

    :param version: document version at which it last changed.
    :param settings: its fields, including unknown ones that a newer program wrote.
    """

    version: int
    settings: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ServiceItem:
    """The profile assigned to a service.

    :param version: document version of the assignment.
    """

    version: int
    profile: str


@dataclass(frozen=True, slots=True)
class ProfileDocument:
    """All profiles and services at one version; immutable.

    :param version: increases by one with every change; 0 before the first.
    :param recent: nonces of the latest changes; the last one made ``version``. They
        identify a change whose commit result was lost, even after other changes.
    """

    version: int = 0
    profiles: Mapping[str, ProfileItem] = field(default_factory=dict)
    services: Mapping[str, ServiceItem] = field(default_factory=dict)
    recent: tuple[str, ...] = ()

    def put_profile(self, profile: Profile) -> ProfileDocument:
        """Return the next version with this profile created or updated."""
        version = self.version + 1
        item = ProfileItem(version, profile.model_dump(mode="json"))
        profiles = {**self.profiles, profile.name: item}
        return replace(self, version=version, profiles=profiles)

    def drop_profile(self, name: str) -> ProfileDocument:
        """Return the next version without this profile."""
        profiles = {key: item for key, item in self.profiles.items() if key != name}
        return replace(self, version=self.version + 1, profiles=profiles)

    def put_service(self, service: str, profile: str) -> ProfileDocument:
        """Return the next version with this profile assigned to a service."""
        version = self.version + 1
        services = {**self.services, service: ServiceItem(version, profile)}
        return replace(self, version=version, services=services)

    def drop_service(self, service: str) -> ProfileDocument:
        """Return the next version without this service."""
        services = {key: item for key, item in self.services.items() if key != service}
        return replace(self, version=self.version + 1, services=services)

    def with_nonce(self, nonce: str) -> ProfileDocument:
        """Return the same version with the nonce of its change recorded."""
        return replace(self, recent=(*self.recent, nonce)[-MAX_RECENT_CHANGES:])

    def find_change(self, nonce: str) -> int:
        """Return the version made by the change with this nonce, 0 if not found."""
        if nonce not in self.recent:
            return 0
        behind = len(self.recent) - 1 - self.recent.index(nonce)
        return self.version - behind

    def has_nonce_for(self, version: int) -> bool:
        """Return whether the nonce of the change that made ``version`` is kept."""
        return version > self.version - len(self.recent)

    def services_using(self, profile: str) -> list[str]:
        """Return the sorted names of the services that use a profile."""
        held = (key for key, item in self.services.items() if item.profile == profile)
        return sorted(held)

    def policy_version(self, service: str) -> int:
        """Return the version at which this service's policy last changed."""
        item = self.services[service]
        profile = self.profiles.get(item.profile)
        return max(item.version, profile.version if profile else 0)

    def build_policy(self, service: str) -> ServicePolicy:
        """Return the policy of a service in this document."""
        item = self.services[service]
        profile = self.profiles.get(item.profile)
        parsed = parse_profile(profile.settings) if profile else None
        return ServicePolicy(service, self.policy_version(service), parsed)


def parse_profile(settings: Mapping[str, Any]) -> Profile:
    """Return a profile from stored fields; unknown fields are dropped.

    During a rolling update, an older program reads fields that a newer one wrote.
    If it refused them, it would reject the whole document and keep an old version.

    :raises ProtocolError: a known field has an invalid value.
    """
    known = {key: settings[key] for key in Profile.model_fields if key in settings}
    try:
        return Profile.model_validate(known)
    except ValidationError as error:
        raise ProtocolError("stored profile is not valid", step="profiles") from error


def encode_document(document: ProfileDocument) -> bytes:
    """Return the encoded row value of a document."""
    return orjson.dumps(
        {
            "version": document.version,
            "recent": document.recent,
            "profiles": {
                name: {"version": item.version, "profile": dict(item.settings)}
                for name, item in document.profiles.items()
            },
            "services": {
                name: {"version": item.version, "profile": item.profile}
                for name, item in document.services.items()
            },
        }
    )


def decode_document(value: bytes) -> ProfileDocument:
    """Return the document in a row's value.

    :raises ProtocolError: the value is not a valid document.
    """
    try:
        data = orjson.loads(value)
        return ProfileDocument(
            version=int(data["version"]),
            profiles={
                name: ProfileItem(int(item["version"]), dict(item["profile"]))
                for name, item in data["profiles"].items()
            },
            services={
                name: ServiceItem(int(item["version"]), str(item["profile"]))
                for name, item in data["services"].items()
            },
            recent=tuple(data["recent"]),
        )
    except MALFORMED as error:
        raise ProtocolError("profile document is invalid", step="profiles") from error
