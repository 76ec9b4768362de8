"""HTTP API of the local port: announcements of runners, and the status document."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from pistachiodeal.addresses import is_address
from pistachiodeal.agent.runners import AnnouncedRunner, RunnerTable
from pistachiodeal.config.common import ADDRESS_PATTERN, NODE_PATTERN
from pistachiodeal.exceptions import RequestError
from pistachiodeal.model.policies import NAME_PATTERN
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.messages import WebLimits, WebRequest, WebResponse, build_json
from pistachiodeal.web.validation import describe_validation_errors

LIMITS = WebLimits(head_bytes=8_192, body_bytes=16_384, connections=512)
RUNNERS_PATH = "/runners/"
STATUS_PATH = "/status"


class Announcement(BaseModel):
    """Body of ``PUT /runners/{name}``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: str = Field(pattern=NAME_PATTERN)
    address: str = Field(pattern=ADDRESS_PATTERN)
    slots: int = Field(ge=1, le=1_024)
    cpu_milli: int = Field(ge=0, le=10_000_000)
    memory_mib: int = Field(ge=0, le=100_000_000)
    accelerators: int = Field(0, ge=0, le=1_024)

    @field_validator("address")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Check the ranges of the numbers, which the pattern does not."""
        if not is_address(value):
            raise ValueError("no such address")
        return value

    def build_runner(self, name: str) -> AnnouncedRunner:
        """Return the announcement as the runner table takes it."""
        size = Resources(self.cpu_milli, self.memory_mib, self.accelerators)
        return AnnouncedRunner(name, self.service, self.address, self.slots, size)


class RunnerName(BaseModel):
    """Validates the runner's name in the path."""

    name: str = Field(pattern=NODE_PATTERN)


class AnnounceApi:
    """Handles the HTTP requests to the local port."""

    def __init__(
        self,
        table: RunnerTable,
        expiry_s: float,
        build_status: Callable[[], dict[str, Any]],
    ) -> None:
        self._table = table
        self._expiry_s = expiry_s
        self._build_status = build_status

    async def handle(self, request: WebRequest) -> WebResponse:
        """Handle one request.

        :raises RequestError: the announcement is invalid, the worker has no room
            for the runner, or the path, runner or method does not exist.
        """
        if request.path == STATUS_PATH:
            _check_method(request, "GET")
            return build_json(200, self._build_status())
        if request.path.startswith(RUNNERS_PATH):
            name = _read_name(request.path.removeprefix(RUNNERS_PATH))
            if request.method == "DELETE":
                return await self._remove(name)
            _check_method(request, "PUT")
            return await self._announce(name, request)
        raise RequestError(code="not_found", status=404, step="announce")

    async def _announce(self, name: str, request: WebRequest) -> WebResponse:
        announcement = _read_announcement(request.body).build_runner(name)
        added = await self._table.announce(announcement)
        document = {"name": name, "expiry_s": self._expiry_s}
        return build_json(201 if added else 200, document)

    async def _remove(self, name: str) -> WebResponse:
        if not await self._table.remove(name):
            raise RequestError(code="not_found", status=404, step="announce")
        return WebResponse(204)


def _check_method(request: WebRequest, method: str) -> None:
    if request.method != method:
        raise RequestError(code="method_not_allowed", status=405, step="announce")


def _read_name(name: str) -> str:
    try:
        return RunnerName(name=name).name
    except ValidationError as error:
        raise _build_bad_announcement(describe_validation_errors(error)) from error


def _read_announcement(body: bytes) -> Announcement:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _build_bad_announcement("the body is not JSON") from error
    if not isinstance(document, dict):
        raise _build_bad_announcement("the body is no JSON object")
    try:
        return Announcement.model_validate(document)
    except ValidationError as error:
        raise _build_bad_announcement(describe_validation_errors(error)) from error


def _build_bad_announcement(detail: str) -> RequestError:
    return RequestError(detail, code="bad_announcement", status=400, step="announce")
