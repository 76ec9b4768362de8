"""HTTP API for operators to manage profiles and services."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import orjson

from pistachiodeal.exceptions import (
    Outcome,
    ProtocolError,
    RequestError,
    StoreError,
)
from pistachiodeal.model.policies import NAME_PATTERN
from pistachiodeal.profiles.changes import (
    AssignService,
    Change,
    PutProfile,
    RemoveService,
    RetireProfile,
    build_not_found,
)
from pistachiodeal.profiles.document import ProfileDocument, parse_profile
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.profiles.parsing import (
    InvalidBodyError,
    build_tag,
    parse_assignment,
    parse_precondition,
    parse_profile_body,
)
from pistachiodeal.profiles.store import (
    AcceptedChange,
    ProfileStore,
    create_profile_store,
)
from pistachiodeal.store.protocols import Table
from pistachiodeal.web.messages import (
    WebRequest,
    WebResponse,
    build_json,
    build_problem,
)

PREFIX = "/-/"
LIST_METHODS = ("GET",)
ITEM_METHODS = ("GET", "PUT", "DELETE")
RESERVED_SERVICES = frozenset({"tasks"})

Document = dict[str, Any]


class ProfileApi:
    """Serves ``/-/profiles`` and ``/-/services``; callers are already authenticated."""

    def __init__(self, store: ProfileStore, manager: ProfileManager) -> None:
        self._store = store
        self._manager = manager

    async def handle(self, request: WebRequest) -> WebResponse:
        """Return the response; errors of the API become problem documents."""
        try:
            return await self._route(request)
        except InvalidBodyError as error:
            return build_validation_problem(error)
        except RequestError as error:
            return build_problem(error)
        except ProtocolError as error:
            broken = RequestError(
                error.detail, code="broken_document", status=500, step=error.step
            )
            return build_problem(broken)

    async def _route(self, request: WebRequest) -> WebResponse:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if kind == "profiles":
            return await self._route_profiles(request, name)
        if kind == "services":
            return await self._route_services(request, name)
        raise build_not_found("unknown_path", f"nothing at {request.path}")

    async def _route_profiles(self, request: WebRequest, name: str) -> WebResponse:
        allowed = ITEM_METHODS if name else LIST_METHODS
        if request.method not in allowed:
            return build_not_allowed(request, allowed)
        if request.method == "GET":
            return await self._show(name, "profile", list_profiles)
        precondition = parse_precondition(request)
        if request.method == "DELETE":
            accepted = await self._change(RetireProfile(name, precondition))
            return build_json(200, {"name": name, "version": accepted.version})
        profile = parse_profile_body(name, request.body)
        accepted = await self._change(PutProfile(profile, precondition))
        document: Document = {
            "name": name,
            "version": accepted.version,
            "profile": profile.model_dump(mode="json"),
            "services": accepted.document.services_using(name),
        }
        return self._answer_put(
            accepted, document, defined=not precondition.expects_item
        )

    async def _route_services(self, request: WebRequest, name: str) -> WebResponse:
        allowed = ITEM_METHODS if name else LIST_METHODS
        if request.method not in allowed:
            return build_not_allowed(request, allowed)
        if request.method == "GET":
            return await self._show(name, "service", list_services)
        precondition = parse_precondition(request)
        if request.method == "DELETE":
            accepted = await self._change(RemoveService(name, precondition))
            return build_json(200, {"service": name, "version": accepted.version})
        check_service_name(name)
        profile = parse_assignment(request.body)
        known = name in self._manager.document.services
        accepted = await self._change(AssignService(name, profile, precondition))
        document: Document = {
            "service": name,
            "version": accepted.version,
            "profile": profile,
        }
        return self._answer_put(accepted, document, defined=not known)

    def _answer_put(
        self, accepted: AcceptedChange, document: Document, defined: bool
    ) -> WebResponse:
        tag = ("etag", build_tag(accepted.version))
        return build_json(201 if defined else 200, document, (tag,))

    async def _change(self, change: Change) -> AcceptedChange:
        accepted = await self._store.change(change)
        self._manager.apply_document(accepted.document)
        return accepted

    async def _show(
        self, name: str, noun: str, list_items: Callable[[ProfileDocument], Document]
    ) -> WebResponse:
        """Return the response to a GET of one item, or of all without a name."""
        stale = await self._refresh()
        document = self._manager.document
        items = list_items(document)
        if not name:
            listing = {
                "version": document.version,
                "stale": stale,
                f"{noun}s": list(items.values()),
            }
            return build_json(200, listing, (("etag", build_tag(document.version)),))
        item = items.get(name)
        if item is None:
            raise build_not_found(f"unknown_{noun}", f"no {noun} {name}")
        tag = ("etag", build_tag(item["version"]))
        return build_json(200, {**item, "stale": stale}, (tag,))

    async def _refresh(self) -> bool:
        """Refresh from the table; return whether the local copy may be stale."""
        try:
            await self._manager.refresh()
        except StoreError as error:
            if not self._manager.version:
                raise RequestError(
                    "table did not answer and no profiles were read before",
                    code="store_unavailable",
                    status=503,
                    outcome=Outcome.NOT_RUN,
                    retry_after=error.retry_after,
                    step="profiles.read",
                ) from error
            return True
        return False


def list_profiles(document: ProfileDocument) -> Document:
    """Return the JSON objects of all profiles by name."""
    users: dict[str, list[str]] = {}
    for service in sorted(document.services):
        users.setdefault(document.services[service].profile, []).append(service)
    return {
        name: {
            "name": name,
            "version": item.version,
            "profile": parse_profile(item.settings).model_dump(mode="json"),
            "services": users.get(name, []),
        }
        for name, item in sorted(document.profiles.items())
    }


def list_services(document: ProfileDocument) -> Document:
    """Return the JSON objects of all services by name."""
    return {
        name: {"service": name, "version": item.version, "profile": item.profile}
        for name, item in sorted(document.services.items())
    }


def build_not_allowed(request: WebRequest, allowed: tuple[str, ...]) -> WebResponse:
    """Return the response to a method that is not in ``allowed``."""
    listed = ", ".join(allowed)
    error = RequestError(
        f"{request.method} is not one of {listed}",
        code="method_not_allowed",
        status=405,
        outcome=Outcome.NOT_RUN,
        step="profiles.route",
    )
    problem = build_problem(error)
    return WebResponse(405, (*problem.headers, ("allow", listed)), problem.body)


def check_service_name(name: str) -> None:
    """Refuse a service name that is reserved or malformed.

    :raises InvalidBodyError: 422.
    """
    if name in RESERVED_SERVICES or not re.fullmatch(NAME_PATTERN, name):
        raise InvalidBodyError([{"path": "service", "message": "not a service name"}])


def build_validation_problem(error: InvalidBodyError) -> WebResponse:
    """Return a problem document that lists every validation error."""
    problem = build_problem(error)
    document = orjson.loads(problem.body)
    document["errors"] = error.errors
    return WebResponse(problem.status, problem.headers, orjson.dumps(document))


def create_profile_api(table: Table, manager: ProfileManager) -> ProfileApi:
    """Return the API over the profiles in a table."""
    return ProfileApi(create_profile_store(table), manager)
