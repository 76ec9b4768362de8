"""HTTP client of the platform's runtime on one worker."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

import orjson

from pistachiodeal.exceptions import WorkerError
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.http_errors import map_worker_status
from pistachiodeal.store.protocols import (
    Run,
    RunRequest,
    RunState,
    UsageSample,
    WorkerRuntime,
)
from pistachiodeal.web.client import CallError, WebClient, create_client

T = TypeVar("T")

NO_SESSION = ""


class HttpWorkerRuntime:
    """A :class:`WorkerRuntime` over HTTP; it doesn't retry."""

    def __init__(self, client: WebClient, peer: str, timeout: float) -> None:
        self._client = client
        self._peer = peer
        self._timeout = timeout
        self._session = NO_SESSION

    async def attach(self) -> Resources:
        """Take the worker over from any earlier agent; return its capacity."""
        session, capacity = await self._post("attach", {}, _decode_attached)
        self._session = session
        return capacity

    async def start(self, run: RunRequest, tag: str) -> None:
        """Start a task; idempotent for the same task and attempt."""
        checkpoint = run.checkpoint
        state = None if checkpoint is None else b64encode(checkpoint).decode()
        document = {**asdict(run), "checkpoint": state, "tag": tag}
        await self._post("start", document, _ignore)

    async def renew(self, leases: dict[str, float]) -> None:
        """Extend the leases of tasks (an end never moves earlier)."""
        if leases:
            await self._post("renew", {"leases": leases}, _ignore)

    async def checkpoint(self, task_id: str) -> bytes:
        """Return a state from which the task can be resumed."""
        body = orjson.dumps({"task_id": task_id})
        return await self._call("checkpoint", "POST", "/checkpoint", body)

    async def throttle(self, task_id: str, share: float) -> None:
        """Limit the task to a share of its size, greater than 0 and at most 1."""
        await self._post("throttle", {"task_id": task_id, "share": share}, _ignore)

    async def stop(self, task_id: str) -> Run:
        """Stop a task and return its final state; it may have finished before."""
        return await self._post("stop", {"task_id": task_id}, _decode_run)

    async def forget(self, task_id: str, attempt: int) -> None:
        """Drop the record of an ended task."""
        await self._post("forget", {"task_id": task_id, "attempt": attempt}, _ignore)

    async def usage(self) -> list[UsageSample]:
        """Return the latest usage samples, which lag behind actual use."""
        return await self._get("usage", _decode_samples)

    async def list(self) -> list[Run]:
        """Return the running tasks and the ended ones not yet forgotten."""
        return await self._get("runs", _decode_runs)

    async def _post(self, name: str, document: Any, build: Callable[[Any], T]) -> T:
        body = await self._call(name, "POST", f"/{name}", orjson.dumps(document))
        return self._parse(name, body, build)

    async def _get(self, name: str, build: Callable[[Any], T]) -> T:
        body = await self._call(name, "GET", f"/{name}", b"")
        return self._parse(name, body, build)

    async def _call(self, name: str, method: str, target: str, body: bytes) -> bytes:
        step = f"worker.{name}"
        if self._session == NO_SESSION and name != "attach":
            raise WorkerError("not attached", step=step, peer=self._peer)
        try:
            response = await self._client.call(
                method,
                target,
                headers=(("session", self._session),),
                body=body,
                timeout=self._timeout,
            )
        except CallError as error:
            raise WorkerError(error.detail, step=step, peer=self._peer) from error
        refusal = map_worker_status(response, step, self._peer)
        if refusal is not None:
            raise refusal
        return response.body

    def _parse(self, name: str, body: bytes, build: Callable[[Any], T]) -> T:
        try:
            return build(orjson.loads(body))
        except MALFORMED as error:
            detail = f"malformed answer: {describe(error)}"
            step = f"worker.{name}"
            raise WorkerError(detail, step=step, peer=self._peer) from error


def _ignore(_document: Any) -> None:
    """Ignore the body of an answer."""


def _decode_attached(document: Any) -> tuple[str, Resources]:
    return str(document["session"]), _decode_resources(document["capacity"])


def _decode_resources(document: Any) -> Resources:
    return Resources(
        int(document.get("cpu_milli", 0)),
        int(document.get("memory_mib", 0)),
        int(document.get("accelerators", 0)),
    )


def _decode_run(document: Any) -> Run:
    return Run(
        task_id=str(document["task_id"]),
        attempt=int(document["attempt"]),
        kind=str(document["kind"]),
        size=_decode_resources(document["size"]),
        state=RunState(document["state"]),
        result=str(document["result"]),
        started_at=float(document["started_at"]),
        throttle=float(document["throttle"]),
        tag=str(document["tag"]),
    )


def _decode_runs(document: Any) -> list[Run]:
    return [_decode_run(run) for run in document["runs"]]


def _decode_samples(document: Any) -> list[UsageSample]:
    return [
        UsageSample(
            subject=str(sample["subject"]),
            at=float(sample["at"]),
            used=_decode_resources(sample["used"]),
        )
        for sample in document["samples"]
    ]


def create_worker_runtime(
    address: str, *, timeout: float, connections: int = 4
) -> WorkerRuntime:
    """Return a client of the worker's runtime at ``ip:port``.

    :param timeout: seconds for one call.
    """
    client = create_client(address, connections=connections)
    return HttpWorkerRuntime(client, address, timeout)
