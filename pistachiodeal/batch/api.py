"""HTTP API of ``/tasks``, on the receiving entry and on the owner."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pistachiodeal.batch.admission import TaskAdmission, find_task
from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.forwarder import Forwarder
from pistachiodeal.batch.keys import build_task_id, parse_partition
from pistachiodeal.batch.partition import describe_task
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.rows import OwnerRow
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.policies import NAME_PATTERN
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskRecord, TaskSpec
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json, get_header
from pistachiodeal.web.validation import describe_validation_errors

TASKS_PATH = "/tasks"
KEY_HEADER = "idempotency-key"
MAX_KEY = 256
MAX_PAYLOAD = 8_192
FORWARD_S = 4.0

ServerLookup = Callable[[int], PartitionServer | None]
OwnerLookup = Callable[[int], OwnerRow | None]


class TaskBody(BaseModel):
    """The body of a submission."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    kind: str = Field(pattern=NAME_PATTERN)
    team: str = Field(pattern=NAME_PATTERN)
    profile: str = Field(pattern=NAME_PATTERN)
    cpu_milli: int = Field(1_000, ge=1, le=1_000_000_000)
    memory_mib: int = Field(256, ge=1, le=1_000_000_000)
    accelerators: int = Field(0, ge=0, le=10_000)
    payload: str = Field("", max_length=MAX_PAYLOAD)
    urgent: bool = False


class TaskApi:
    """Handles ``/tasks`` here, or forwards to the owner of the task's partition."""

    def __init__(
        self,
        context: BatchContext,
        admission: TaskAdmission,
        forwarder: Forwarder,
        find_server: ServerLookup,
        find_owner: OwnerLookup,
    ) -> None:
        self._context = context
        self._admission = admission
        self._forwarder = forwarder
        self._find_server = find_server
        self._find_owner = find_owner
        self._partitions = context.settings.batch.partitions

    async def handle(self, request: WebRequest, *, forward: bool = True) -> WebResponse:
        """Handle a request.

        :param forward: False for a request that another entry has forwarded: two
            entries that consider each other the owner must not pass it back and
            forth for ever.
        :raises RequestError: the caller turns it into a problem document.
        """
        if request.path == TASKS_PATH:
            return await self._submit(request, forward)
        task_id = request.path.removeprefix(TASKS_PATH + "/")
        partition = parse_partition(task_id, self._partitions)
        if partition is None:
            raise RequestError(f"no task {task_id}", code="unknown_task", status=404)
        if request.method not in ("GET", "DELETE"):
            raise _build_method_error("GET, DELETE")
        server = self._find_server(partition)
        if server is None:
            return await self._forward(partition, request, forward)
        if request.method == "GET":
            return _build_answer(200, find_task(server, task_id), server)
        record = await self._admission.cancel(server, task_id)
        return _build_answer(200 if record.state.final else 202, record, server)

    async def _submit(self, request: WebRequest, forward: bool) -> WebResponse:
        if request.method != "POST":
            raise _build_method_error("POST")
        body = _parse_body(request.body)
        request = _ensure_key(request)
        key = request.header(KEY_HEADER)
        task_id = build_task_id(body.team, key, self._partitions)
        partition = int(task_id.partition("-")[0])
        server = self._find_server(partition)
        if server is None:
            return await self._forward_submit(partition, task_id, request, forward)
        await self._check_profile(body.profile)
        admitted = await self._admission.submit(server, _build_spec(task_id, body))
        status = 201 if admitted.created else 200
        return _build_answer(status, admitted.record, server)

    async def _forward_submit(
        self, partition: int, task_id: str, request: WebRequest, forward: bool
    ) -> WebResponse:
        try:
            return await self._forward(partition, request, forward)
        except RequestError as error:
            if error.outcome is Outcome.UNKNOWN:
                error.detail = f"{error.detail}: check task {task_id}"
            raise

    async def _forward(
        self, partition: int, request: WebRequest, forward: bool
    ) -> WebResponse:
        owner = self._find_owner(partition)
        own_node = self._context.membership.own_row.node
        if not forward or owner is None or owner.node in ("", own_node):
            raise RequestError(
                f"partition {partition} is not served by this entry",
                code="no_owner",
                status=503,
                retry_after=self._context.settings.batch.beat_s,
                step="batch.forward",
            )
        return await self._forwarder.call(owner.address, request, FORWARD_S)

    async def _check_profile(self, name: str) -> None:
        # A profile that was defined through another entry is not known here until the
        # next poll. Callers treat the refusal as final, so the table is read first.
        if self._context.profile_of(name) is None:
            await self._context.refresh_profiles()
        if self._context.profile_of(name) is None:
            raise RequestError(
                f"no profile {name}",
                code="unknown_profile",
                status=422,
                step="batch.submit",
            )


def _parse_body(body: bytes) -> TaskBody:
    try:
        return TaskBody.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise RequestError(
            f"the body is not valid JSON: {error}", code="bad_body", status=400
        ) from None
    except ValidationError as error:
        faults = describe_validation_errors(error)
        raise RequestError(faults, code="bad_task", status=422) from None


def _ensure_key(request: WebRequest) -> WebRequest:
    key = get_header(request.headers, KEY_HEADER)
    if len(key) > MAX_KEY:
        raise RequestError(
            f"the idempotency key has more than {MAX_KEY} characters",
            code="bad_key",
            status=400,
        )
    if key:
        return request
    header = (KEY_HEADER, secrets.token_hex(16))
    others = tuple(pair for pair in request.headers if pair[0] != KEY_HEADER)
    return replace(request, headers=(*others, header))


def _build_spec(task_id: str, body: TaskBody) -> TaskSpec:
    return TaskSpec(
        task_id=task_id,
        kind=body.kind,
        team=body.team,
        profile=body.profile,
        declared=Resources(body.cpu_milli, body.memory_mib, body.accelerators),
        payload=body.payload,
        urgent=body.urgent,
    )


def _build_answer(
    status: int, record: TaskRecord, server: PartitionServer
) -> WebResponse:
    document: dict[str, Any] = describe_task(record)
    document["confirmed"] = server.has_authority
    location = (("location", f"{TASKS_PATH}/{record.spec.task_id}"),)
    return build_json(status, document, location if status == 201 else ())


def _build_method_error(allowed: str) -> RequestError:
    return RequestError(
        f"allowed methods: {allowed}", code="method_not_allowed", status=405
    )
