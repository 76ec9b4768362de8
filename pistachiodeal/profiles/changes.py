"""Operators' changes to the profile document, and when each of them loses.

Only changes that touch each other are coordinated (after Kevin De Porre et al.,
"ECROs: Building Global Scale Systems from Sequential Code"): a change is tested
against the item that it names, and retire also against the services that hold
the profile; changes of other items are applied in any order.
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
    """What the operator says of the item before the change.

    :param absent: ``If-None-Match: *``.
    :param present: ``If-Match: *``.
    :param versions: versions of ``If-Match``; None where there was none.
    """

    absent: bool = False
    present: bool = False
    versions: tuple[int, ...] | None = None

    @property
    def given(self) -> bool:
        """Tell whether the item was said to exist in some state."""
        return self.present or self.versions is not None

    def check(self, version: int, document: ProfileDocument) -> None:
        """Test against the version of the item, 0 when there is none.

        A version of the document that is newer than the item's own will do, too:
        whoever saw the document at that version saw the item as it is.

        :raises RequestError: 412, the item is not what the operator saw.
        """
        if self.absent and version:
            raise build_mismatch(version)
        if not self.given:
            return
        if not version:
            raise build_mismatch(version)
        if self.present:
            return
        if not any(version <= seen <= document.version for seen in self.versions or ()):
            raise build_mismatch(version)


ANY_STATE = Precondition()


class Change(Protocol):
    """One change, applied again to the newest document after a lost race."""

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version.

        :param raced: an earlier try of this change lost against another one.
        :raises RequestError: this change has lost, or was never possible.
        """


@dataclass(frozen=True, slots=True)
class PutProfile:
    """Define a profile, or revise it."""

    profile: Profile
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.profiles.get(self.profile.name)
        version = item.version if item else 0
        self.precondition.check(version, document)
        if version and not self.precondition.given:
            # Without a precondition the first try found no such profile, or it
            # would have ended here: the other operator defined it in between.
            raise build_mismatch(version) if raced else build_missing(version)
        if not version and len(document.profiles) >= MAX_PROFILES:
            raise build_conflict("too_many_profiles", f"limit is {MAX_PROFILES}")
        return document.put_profile(self.profile)


@dataclass(frozen=True, slots=True)
class RetireProfile:
    """Retire a profile that no service holds."""

    name: str
    precondition: Precondition = ANY_STATE

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        """Return the next version (see :class:`Change`)."""
        item = document.profiles.get(self.name)
        if item is None:
            raise build_not_found("unknown_profile", f"no profile {self.name}")
        if not self.precondition.given:
            raise build_missing(item.version)
        self.precondition.check(item.version, document)
        holders = document.holders(self.name)
        if holders:
            named = ", ".join(holders[:10])
            more = ", and others" if len(holders) > 10 else ""
            raise build_conflict("profile_in_use", f"held by {named}{more}")
        return document.drop_profile(self.name)


@dataclass(frozen=True, slots=True)
class AssignService:
    """Let a service pick a profile."""

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
    """Take a service off its profile."""

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
    """Return the error of the loser of a race."""
    state = f"changed at version {version}" if version else "does not exist"
    return RequestError(
        f"not in the state that was named: it {state}",
        code="precondition_failed",
        status=412,
        outcome=Outcome.NOT_RUN,
        step=STEP,
    )


def build_missing(version: int) -> RequestError:
    """Return the error of a change that must name what it changes."""
    return RequestError(
        f"exists at version {version}: send If-Match with the ETag that you saw",
        code="precondition_required",
        status=428,
        outcome=Outcome.NOT_RUN,
        step=STEP,
    )


def build_conflict(code: str, detail: str) -> RequestError:
    """Return an error with status 409."""
    return RequestError(
        detail, code=code, status=409, outcome=Outcome.NOT_RUN, step=STEP
    )


def build_not_found(code: str, detail: str) -> RequestError:
    """Return an error with status 404."""
    return RequestError(
        detail, code=code, status=404, outcome=Outcome.NOT_RUN, step=STEP
    )
