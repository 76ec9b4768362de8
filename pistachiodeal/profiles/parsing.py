"""Operators' bodies and preconditions, checked at the border."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.policies import NAME_PATTERN, Profile
from pistachiodeal.profiles.changes import Precondition
from pistachiodeal.web.messages import WebRequest

TAG_PATTERN = re.compile(r'(W/)?"([^"]*)"')

Model = TypeVar("Model", bound=BaseModel)


class InvalidBodyError(RequestError):
    """A body with faults; all of them are listed.

    :ivar errors: one mapping with ``path`` and ``message`` for each fault.
    """

    code = "invalid"
    status = 422
    outcome = Outcome.NOT_RUN

    def __init__(self, errors: list[dict[str, str]]) -> None:
        self.errors = errors
        listed = "; ".join(f"{one['path']}: {one['message']}" for one in errors)
        super().__init__(listed, step="profiles.validate")


class Assignment(BaseModel):
    """Body of ``PUT /-/services/{service}``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    profile: str = Field(pattern=NAME_PATTERN)


def parse_profile_body(name: str, body: bytes) -> Profile:
    """Return the profile of a body; a name in it must be that of the path.

    :raises InvalidBodyError: with all faults.
    """
    settings = parse_object(body)
    named = settings.setdefault("name", name)
    if named != name:
        fault = {"path": "name", "message": f"is not {name}, as in the path"}
        raise InvalidBodyError([fault, *list_faults(Profile, settings)])
    return validate(Profile, settings)


def parse_assignment(body: bytes) -> str:
    """Return the profile's name of a service's body.

    :raises InvalidBodyError: with all faults.
    """
    return validate(Assignment, parse_object(body)).profile


def parse_object(body: bytes) -> dict[str, Any]:
    """Return a body's JSON object.

    :raises InvalidBodyError: it is none.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        fault = {"path": "", "message": f"not JSON: {error}"}
        raise InvalidBodyError([fault]) from error
    if not isinstance(data, dict):
        raise InvalidBodyError([{"path": "", "message": "not a JSON object"}])
    return data


def validate(model: type[Model], settings: dict[str, Any]) -> Model:
    """Return the validated model, without turning one type into another.

    :raises InvalidBodyError: with all faults.
    """
    try:
        return model.model_validate(settings, strict=True)
    except ValidationError as error:
        raise InvalidBodyError(build_faults(error)) from error


def list_faults(model: type[Model], settings: dict[str, Any]) -> list[dict[str, str]]:
    """Return the faults of a model's fields, none when it is valid."""
    try:
        model.model_validate(settings, strict=True)
    except ValidationError as error:
        return build_faults(error)
    return []


def build_faults(error: ValidationError) -> list[dict[str, str]]:
    """Return a path and a message for each fault."""
    return [
        {"path": ".".join(str(part) for part in fault["loc"]), "message": fault["msg"]}
        for fault in error.errors(include_url=False, include_input=False)
    ]


def parse_precondition(request: WebRequest) -> Precondition:
    """Return what ``If-Match`` and ``If-None-Match`` ask for (RFC 9110, 13.1).

    :raises RequestError: 400, not understood.
    """
    none_match = request.header("if-none-match").strip()
    if none_match and none_match != "*":
        raise build_bad_header("If-None-Match may only be *")
    match = request.header("if-match").strip()
    if match and none_match:
        raise build_bad_header("If-Match and If-None-Match exclude each other")
    if match == "*":
        return Precondition(present=True)
    if match:
        return Precondition(versions=parse_tags(match))
    return Precondition(absent=bool(none_match))


def parse_tags(text: str) -> tuple[int, ...]:
    """Return the versions of a list of entity tags; tags that are not ours drop out.

    :raises RequestError: 400, not a list of entity tags.
    """
    versions = []
    for one in text.split(","):
        found = TAG_PATTERN.fullmatch(one.strip())
        if found is None:
            raise build_bad_header("If-Match is not a list of entity tags")
        weak, tag = found.groups()
        # If-Match compares strongly, so a weak tag matches nothing.
        if not weak and re.fullmatch(r"[0-9]{1,18}", tag):
            versions.append(int(tag))
    return tuple(versions)


def build_tag(version: int) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


def build_bad_header(detail: str) -> RequestError:
    """Return the error for a header that is not understood."""
    return RequestError(
        detail,
        code="bad_precondition",
        status=400,
        outcome=Outcome.NOT_RUN,
        step="profiles.validate",
    )
