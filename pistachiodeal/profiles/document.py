"""The one document that holds all profiles and the services that picked them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
from pydantic import ValidationError

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.model.policies import Profile, ServicePolicy

HISTORY = 128


@dataclass(frozen=True, slots=True)
class ProfileItem:
    """A profile as it is stored.

    :param version: document version at which it last changed.
    :param settings: its fields; those that a newer program wrote are kept.
    """

    version: int
    settings: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ServiceItem:
    """The profile that a service picked, and the document version of that."""

    version: int
    profile: str


@dataclass(frozen=True, slots=True)
class ProfileDocument:
    """All profiles and services at one version; never changed in place.

    :param version: counts up by one with every change; 0 before the first.
    :param recent: nonces of the latest changes, the last one that of ``version``;
        by these an operator's change whose answer was lost is found again, also
        when others have changed the document since.
    """

    version: int = 0
    profiles: Mapping[str, ProfileItem] = field(default_factory=dict)
    services: Mapping[str, ServiceItem] = field(default_factory=dict)
    recent: tuple[str, ...] = ()

    def put_profile(self, profile: Profile) -> ProfileDocument:
        """Return the next version, with this profile defined or revised."""
        version = self.version + 1
        item = ProfileItem(version, profile.model_dump(mode="json"))
        profiles = {**self.profiles, profile.name: item}
        return replace(self, version=version, profiles=profiles)

    def drop_profile(self, name: str) -> ProfileDocument:
        """Return the next version, without this profile."""
        profiles = {key: item for key, item in self.profiles.items() if key != name}
        return replace(self, version=self.version + 1, profiles=profiles)

    def put_service(self, service: str, profile: str) -> ProfileDocument:
        """Return the next version, with this service on this profile."""
        version = self.version + 1
        services = {**self.services, service: ServiceItem(version, profile)}
        return replace(self, version=version, services=services)

    def drop_service(self, service: str) -> ProfileDocument:
        """Return the next version, without this service."""
        services = {key: item for key, item in self.services.items() if key != service}
        return replace(self, version=self.version + 1, services=services)

    def with_nonce(self, nonce: str) -> ProfileDocument:
        """Return the same version with its change's nonce noted."""
        return replace(self, recent=(*self.recent, nonce)[-HISTORY:])

    def find_change(self, nonce: str) -> int:
        """Return the version that this nonce's change made, 0 if it is not here."""
        if nonce not in self.recent:
            return 0
        behind = len(self.recent) - 1 - self.recent.index(nonce)
        return self.version - behind

    def remembers(self, version: int) -> bool:
        """Tell whether the nonce of the change that made ``version`` is kept."""
        return version > self.version - len(self.recent)

    def holders(self, profile: str) -> list[str]:
        """Return the services that hold a profile, sorted."""
        held = (key for key, item in self.services.items() if item.profile == profile)
        return sorted(held)

    def policy_version(self, service: str) -> int:
        """Return the version at which what this service gets last changed."""
        item = self.services[service]
        profile = self.profiles.get(item.profile)
        return max(item.version, profile.version if profile else 0)

    def build_policy(self, service: str) -> ServicePolicy:
        """Return what is in force for a service of this document."""
        item = self.services[service]
        profile = self.profiles.get(item.profile)
        parsed = parse_profile(profile.settings) if profile else None
        return ServicePolicy(service, self.policy_version(service), parsed)


def parse_profile(settings: Mapping[str, Any]) -> Profile:
    """Return a profile from stored fields, without those unknown to this program.

    While the programs are being replaced one by one, an older one meets fields
    of a newer one; it would refuse the whole document and stay on an old version.

    :raises ProtocolError: a known field has an impossible value.
    """
    known = {key: settings[key] for key in Profile.model_fields if key in settings}
    try:
        return Profile.model_validate(known)
    except ValidationError as error:
        raise ProtocolError("stored profile is not valid", step="profiles") from error


def encode_document(document: ProfileDocument) -> bytes:
    """Return the row's value."""
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
    """Return the document of a row's value.

    :raises ProtocolError: the row is not a document.
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
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError("profile document is broken", step="profiles") from error
