"""Parsing and validation of operators' request bodies and preconditions."""

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
    """A request body is invalid; lists all validation errors.

    :ivar errors: a mapping with ``path`` and ``message`` for each error.
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
    """Return the profile in a body; a name in it must match the path.

    :raises InvalidBodyError: lists all validation errors.
    """
    settings = parse_object(body)
    named = settings.setdefault("name", name)
    if named != name:
        fault = {"path": "name", "message": f"does not match {name} in the path"}
        raise InvalidBodyError([fault, *list_faults(Profile, settings)])
    return validate(Profile, settings)


def parse_assignment(body: bytes) -> str:
    """Return the profile name in the body of a service.

    :raises InvalidBodyError: lists all validation errors.
    """
    return validate(Assignment, parse_object(body)).profile


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    :raises InvalidBodyError: the body is not a JSON object.
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
    """Return the validated model; types are not converted.

    :raises InvalidBodyError: lists all validation errors.
    """
    try:
        return model.model_validate(settings, strict=True)
    except ValidationError as error:
        raise InvalidBodyError(build_faults(error)) from error


def list_faults(model: type[Model], settings: dict[str, Any]) -> list[dict[str, str]]:
    """Return the validation errors of a model's fields, if any."""
    try:
        model.model_validate(settings, strict=True)
    except ValidationError as error:
        return build_faults(error)
    return []


def build_faults(error: ValidationError) -> list[dict[str, str]]:
    """Return a path and a message for each validation error."""
    return [
        {"path": ".".join(str(part) for part in fault["loc"]), "message": fault["msg"]}
        for fault in error.errors(include_url=False, include_input=False)
    ]


def parse_precondition(request: WebRequest) -> Precondition:
    """Return the precondition in ``If-Match`` and ``If-None-Match`` (RFC 9110, 13.1).

    :raises RequestError: 400, a header is malformed or both are given.
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
    """Return the versions in a list of entity tags; foreign tags are ignored.

    :raises RequestError: 400, the text is not a list of entity tags.
    """
    versions = []
    for one in text.split(","):
        found = TAG_PATTERN.fullmatch(one.strip())
        if found is None:
            raise build_bad_header("If-Match is not a list of entity tags")
        weak, tag = found.groups()
        # If-Match uses the strong comparison, so a weak tag never matches.
        if not weak and re.fullmatch(r"[0-9]{1,18}", tag):
            versions.append(int(tag))
    return tuple(versions)


def build_tag(version: int) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


def build_bad_header(detail: str) -> RequestError:
    """Return the error for a malformed precondition header."""
    return RequestError(
        detail,
        code="bad_precondition",
        status=400,
        outcome=Outcome.NOT_RUN,
        step="profiles.validate",
    )
