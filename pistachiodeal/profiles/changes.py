"""Operators' changes to the profile document and their conflict rules.

Only conflicting changes are coordinated (after Kevin De Porre et al., "ECROs:
Building Global Scale Systems from Sequential Code"): a change is checked against
the item that it names, and retiring a profile also against the services that use
it. Changes to different items are applied in any order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.policies import Profile
from pistachiodeal.profiles.document import ProfileDocument

MAX_PROFILES = 1_000
MAX_SERVICES = 10_000
STEP = "profiles.change"


@dataclass(frozen=True, slots=True)
class Precondition:
    """State that the operator requires of the item before the change.

    :param absent: ``If-None-Match: *``.
    :param present: ``If-Match: *``.
    :param versions: versions in ``If-Match``; None without such a header.
    """

    absent: bool = False
    present: bool = False
    versions: tuple[int, ...] | None = None

    @property
    def expects_item(self) -> bool:
        """Return whether the item has to exist."""
        return self.present or self.versions is not None

    def check(self, version: int, document: ProfileDocument) -> None:
        """Check the precondition against an item's version, 0 if it does not exist.

        A document version newer than the item's own is accepted, too: an operator
        who saw the document at that version saw the item in its current state.

        :raises RequestError: 412, the item changed since the operator saw it.
        """
        if self.absent and version:
            raise build_mismatch(version)
        if not self.expects_item:
            return
        if not version:
            raise build_mismatch(version)
        if self.present:
            return
        if not any(version <= seen <= document.version for seen in self.versions or ()):
            raise build_mismatch(version)


ANY_STATE = Precondition()


class Change(Protocol):
    """A change, which is applied again to the newest document after a lost race."""

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version of the document.

        :param raced: an earlier attempt lost a race against another change.
        :raises RequestError: the change conflicts with the document or is invalid.
        """


@dataclass(frozen=True, slots=True)
class PutProfile:
    """Create or update a profile."""

    profile: Profile
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.profiles.get(self.profile.name)
        version = item.version if item else 0
        self.precondition.check(version, document)
        if version and not self.precondition.expects_item:
            # Without a precondition, the first attempt found no such profile, or it
            # would have failed here. After a lost race, another operator defined the
            # profile in the meantime.
            raise build_mismatch(version) if raced else build_missing(version)
        if not version and len(document.profiles) >= MAX_PROFILES:
            raise build_conflict("too_many_profiles", f"limit is {MAX_PROFILES}")
        return document.put_profile(self.profile)


@dataclass(frozen=True, slots=True)
class RetireProfile:
    """Remove a profile that no service uses."""

    name: str
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.profiles.get(self.name)
        if item is None:
            raise build_not_found("unknown_profile", f"no profile {self.name}")
        if not self.precondition.expects_item:
            raise build_missing(item.version)
        self.precondition.check(item.version, document)
        users = document.services_using(self.name)
        if users:
            named = ", ".join(users[:10])
            more = ", and others" if len(users) > 10 else ""
            raise build_conflict("profile_in_use", f"used by {named}{more}")
        return document.drop_profile(self.name)


@dataclass(frozen=True, slots=True)
class AssignService:
    """Assign a profile to a service."""

    service: str
    profile: str
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.services.get(self.service)
        self.precondition.check(item.version if item else 0, document)
        if self.profile not in document.profiles:
            raise build_not_found("unknown_profile", f"no profile {self.profile}")
        if item is None and len(document.services) >= MAX_SERVICES:
            raise build_conflict("too_many_services", f"limit is {MAX_SERVICES}")
        return document.put_service(self.service, self.profile)


@dataclass(frozen=True, slots=True)
class RemoveService:
    """Remove a service and its profile assignment."""

    service: str
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.services.get(self.service)
        if item is None:
            raise build_not_found("unknown_service", f"no service {self.service}")
        self.precondition.check(item.version, document)
        return document.drop_service(self.service)


def build_mismatch(version: int) -> RequestError:
    """Return the error for an item that is not in the required state."""
    state = f"changed at version {version}" if version else "does not exist"
    return RequestError(
        f"item does not match the precondition: it {state}",
        code="precondition_failed",
        status=412,
        outcome=Outcome.NOT_RUN,
        step=STEP,
    )


def build_missing(version: int) -> RequestError:
    """Return the error for a change that lacks a required ``If-Match``."""
    return RequestError(
        f"item exists at version {version}: send If-Match with its last seen ETag",
        code="precondition_required",
        status=428,
        outcome=Outcome.NOT_RUN,
        step=STEP,
    )


def build_conflict(code: str, detail: str) -> RequestError:
    """Return an error with status 409 (conflict)."""
    return RequestError(
        detail, code=code, status=409, outcome=Outcome.NOT_RUN, step=STEP
    )


def build_not_found(code: str, detail: str) -> RequestError:
    """Return an error with status 404 (not found)."""
    return RequestError(
        detail, code=code, status=404, outcome=Outcome.NOT_RUN, step=STEP
    )
