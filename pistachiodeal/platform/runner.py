"""Client of the runner on an agent's VM, and decoders of the runner's messages."""

from __future__ import annotations

from dataclasses import astuple
from functools import partial
from typing import Any

import orjson
from logbook import Logger

from pistachiodeal.exceptions import Outcome, ProtocolError
from pistachiodeal.jobs.checks import MAX_ACCELERATORS, MAX_NUMBER, check_fields
from pistachiodeal.jobs.incarnations import build_incarnation, get_runner
from pistachiodeal.jobs.progress import MAX_COUNT
from pistachiodeal.jobs.runtime import (
    CallResult,
    Goodbye,
    Listing,
    StartCall,
    WorkerHeartbeat,
)
from pistachiodeal.malformed import MALFORMED, describe, shorten
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.client import (
    CallError,
    OtherPeerError,
    PeerCheck,
    WebClient,
    create_client,
)
from pistachiodeal.web.messages import Headers, WebResponse
from pistachiodeal.wire.job_messages import EndedTask, RunningTask

log = Logger("runner")

HEARTBEAT_PATH = "/api/Instances.Heartbeat/"
DEREGISTER_PATH = "/api/Instances.Deregister/"
HOLD_PATH = "/api/hold"
DRAINING = "draining"
# Field with the time at which this incarnation of the runner started.
START_TIME_FIELD = "born"
STATES = ("ready", DRAINING)
OK = 200
CONFLICT = 409
OTHER_INCARNATION = 421
REASONS = {
    "fence": CallResult.FENCED,
    "old": CallResult.SUPERSEDED,
    "late": CallResult.LATE,
    "room": CallResult.NO_ROOM,
    "ticket": CallResult.NO_TICKET,
}
# The runner is on the same VM and answers in a millisecond; if a call takes longer,
# its answer was lost or the connection is dead.
CALL_TIMEOUT_S = 0.6
CONNECTIONS = 16
# Bounds of what reports to the leader and its rows carry.
MAX_LABELS = 64
MAX_NAME_LENGTH = 1_000
MAX_CHECKPOINT_LENGTH = 1_000
MAX_PERCENT = 100


class PlatformRunner:
    """Implements ``Runtime`` by calls to one runner."""

    def __init__(self, client: WebClient) -> None:
        self._client = client

    async def start(self, call: StartCall) -> CallResult:
        """Start a run."""
        document: dict[str, Any] = {
            "task": call.task,
            "run_id": call.run,
            "spec": call.text,
            "until_ms": call.lease_end_ms,
            "fencing_token": call.token,
        }
        if call.checkpoint:
            document["last_checkpoint"] = call.checkpoint
        if call.ticket:
            document["ticket"] = call.ticket
        return await self._send_order("/api/run-start", call.worker, document)

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        """Stop a run."""
        document = {"task": task, "run_id": run, "fencing_token": token}
        return await self._send_order("/api/run-stop", worker, document)

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """Limit a run to a percentage of its full speed."""
        document = {
            "task": task,
            "run_id": run,
            "percent": percent,
            "fencing_token": token,
        }
        return await self._send_order("/api/pace", worker, document)

    async def renew(
        self,
        worker: str,
        token: int,
        acknowledged: int,
        lease_end_ms: int,
        wait_ms: int,
    ) -> Listing:
        """Renew the lease; list the running tasks and those that have ended."""
        # "last_seen" acknowledges ends: the runner drops them for good, so only ends
        # that are stored durably may be acknowledged.
        document = {"fencing_token": token, "last_seen": acknowledged}
        if lease_end_ms:
            document["until_ms"] = lease_end_ms
        if wait_ms:
            document["wait_ms"] = wait_ms
        timeout = CALL_TIMEOUT_S + wait_ms / 1000
        try:
            result, answer = await self._call(HOLD_PATH, worker, document, timeout)
        except ProtocolError as error:
            return Listing(CallResult.UNREADABLE, detail=str(error))
        if result is CallResult.DONE:
            return decode_listing(worker, answer)
        return Listing(result)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _send_order(
        self, path: str, worker: str, document: dict[str, Any]
    ) -> CallResult:
        try:
            result, _ = await self._call(path, worker, document)
        except ProtocolError as error:
            log.warning("runner: cannot send {} to {}: {}", path, worker, error)
            return CallResult.REFUSED
        return result

    async def _call(
        self,
        path: str,
        worker: str,
        document: dict[str, Any],
        timeout: float = CALL_TIMEOUT_S,
    ) -> tuple[CallResult, dict[str, Any]]:
        """Make one call to one incarnation of a runner.

        :raises ProtocolError: the runner doesn't identify its incarnation; the call
            was not made.
        """
        headers = (
            ("content-type", "application/json"),
            ("expect-instance", get_runner(worker)),
        )
        try:
            response = await self._client.call(
                "POST",
                path,
                headers=headers,
                body=orjson.dumps(document),
                timeout=timeout,
                peer_check=_build_introduction(worker, headers, document),
            )
        except OtherPeerError:
            return CallResult.OTHER_INCARNATION, {}
        except CallError as error:
            return _map_failure(error), {}
        if response.status == OK:
            return CallResult.DONE, _parse(response.body)
        if response.status == OTHER_INCARNATION:
            return CallResult.OTHER_INCARNATION, {}
        if response.status == CONFLICT:
            reason = str(_parse(response.body).get("reason"))
            return REASONS.get(reason, CallResult.REFUSED), {}
        return CallResult.REFUSED, {}


def _build_introduction(
    worker: str, headers: Headers, document: dict[str, Any]
) -> PeerCheck | None:
    """Return the first call on each connection, which identifies the incarnation.

    The headers name only the runner, not its incarnation, while a connection leads to
    one incarnation. Sent to another one, a call could acknowledge ends that nobody has
    seen. Returns None if the runner's id already identifies the incarnation.
    """
    if get_runner(worker) == worker:
        return None
    question = {"fencing_token": document["fencing_token"], "last_seen": 0}
    return PeerCheck(
        worker,
        "POST",
        HOLD_PATH,
        headers,
        orjson.dumps(question),
        partial(_read_introduction, worker),
    )


def create_runner(address: str) -> PlatformRunner:
    """Return a client of the runner at ``ip:port``."""
    return PlatformRunner(create_client(address, connections=CONNECTIONS))


def decode_heartbeat(path: str, body: bytes) -> WorkerHeartbeat:
    """Decode a runner's heartbeat.

    :raises ProtocolError: it is malformed.
    """
    try:
        document = orjson.loads(body)
        room = document.get("capacity", {})
        state = document["state"]
        labels = tuple(document.get("labels", ()))
        heartbeat = WorkerHeartbeat(
            _read_incarnation(path.removeprefix(HEARTBEAT_PATH), document),
            document["service"],
            document["address"],
            state == DRAINING,
            document.get("remaining_ms", 0),
            document.get("seq", 0),
            Resources(room.get("cpu", 0), room.get("mem_mb", 0), room.get("gpu", 0)),
            labels,
        )
        check_fields(heartbeat)
        check_fields(heartbeat.capacity)
        if state not in STATES or path == HEARTBEAT_PATH or not heartbeat.service:
            raise ValueError("unknown state, or missing sender")
        if any(type(label) is not str for label in labels):
            raise ValueError("a label is not a string")
        _check_size(heartbeat)
        return heartbeat
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="heartbeat.decode") from None


def decode_goodbye(path: str, body: bytes) -> Goodbye:
    """Decode a runner's deregistration.

    :raises ProtocolError: it is malformed.
    """
    runner = path.removeprefix(DEREGISTER_PATH)
    try:
        document = orjson.loads(body) if body else {}
        if not runner or not isinstance(document, dict):
            raise ValueError("missing sender, or not an object")
        return Goodbye(runner, _read_incarnation(runner, document))
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="goodbye.decode") from None


def decode_listing(worker: str, answer: dict[str, Any]) -> Listing:
    """Decode a runner's listing, requested from one incarnation.

    A malformed answer proves nothing; in particular, it doesn't mean that the
    incarnation has ended.
    """
    try:
        if _read_responder(worker, answer) != worker:
            return Listing(CallResult.OTHER_INCARNATION)
        listing = Listing(
            CallResult.DONE,
            answer["clock_ms"],
            tuple(_decode_running(row) for row in answer.get("running", ())),
            tuple(_decode_ended(row) for row in answer.get("ended_at", ())),
        )
        check_fields(listing)
        if not 0 <= listing.clock_ms <= MAX_NUMBER:
            raise ValueError("the clock is out of bounds")
        return listing
    except MALFORMED as error:
        return Listing(CallResult.UNREADABLE, detail=describe(error))


def _read_introduction(worker: str, response: WebResponse) -> str:
    """Return the incarnation that answers, or an empty string if it refuses the call.

    :raises ProtocolError: the answer doesn't identify the incarnation.
    """
    if response.status != OK:
        return ""
    try:
        return _read_responder(worker, _parse(response.body))
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="runner.introduce") from None


def _read_responder(worker: str, answer: dict[str, Any]) -> str:
    """Return the incarnation that has answered a call meant for ``worker``.

    :raises ValueError: the answer doesn't identify it, although earlier messages of
        this runner did.
    """
    runner = get_runner(worker)
    found = _read_incarnation(runner, answer)
    if found == runner != worker:
        raise ValueError(f"{START_TIME_FIELD} is missing")
    return found


def _read_incarnation(runner: str, document: dict[str, Any]) -> str:
    """Return the incarnation of a runner that sent a message.

    Without a start time the runner's id is returned: some platforms give each
    incarnation an id of its own.

    :raises ValueError: the start time is not a non-negative integer.
    """
    if START_TIME_FIELD not in document:
        return runner
    born = document[START_TIME_FIELD]
    if type(born) is not int or born < 0:
        raise ValueError(
            f"{START_TIME_FIELD} is {shorten(repr(born))}, and no whole number of "
            "milliseconds"
        )
    return build_incarnation(runner, born)


def _check_size(heartbeat: WorkerHeartbeat) -> None:
    """Check that reports can carry what a heartbeat says.

    :raises ValueError: a number is out of bounds, or a text is too long.
    """
    capacity = heartbeat.capacity
    numbers = (heartbeat.leaving_ms, heartbeat.sequence, *astuple(capacity))
    if not 0 <= min(numbers) <= max(numbers) <= MAX_NUMBER:
        raise ValueError("a number is out of bounds")
    if capacity.accelerators > MAX_ACCELERATORS or len(heartbeat.labels) > MAX_LABELS:
        raise ValueError("too many accelerators or labels")
    names = (heartbeat.worker, heartbeat.service, *heartbeat.labels)
    if max(len(name) for name in names) > MAX_NAME_LENGTH:
        raise ValueError("a name is too long")


def _decode_running(row: list[Any]) -> RunningTask:
    task, run, checkpoint, percent = row[:4]
    _check_run(task, run)
    figure = row[4] if len(row) > 4 else 0
    return RunningTask(
        task,
        run,
        _read_checkpoint(checkpoint),
        _read_figure(percent, MAX_PERCENT),
        _read_figure(figure, MAX_COUNT),
    )


def _decode_ended(row: list[Any]) -> EndedTask:
    number, task, run, how, checkpoint = row[:5]
    _check_run(task, run)
    if type(number) is not int or not 0 < number <= MAX_NUMBER:
        raise ValueError("the number of an end is out of bounds")
    kind = how if type(how) is str and len(how) <= MAX_NAME_LENGTH else ""
    return EndedTask(number, task, run, kind, _read_checkpoint(checkpoint))


def _check_run(task: Any, run: Any) -> None:
    """Check what identifies a run; nothing may be concluded from a list without it.

    :raises ValueError: it is no valid name and number.
    """
    if type(task) is not str or len(task) > MAX_NAME_LENGTH:
        raise ValueError("a run has no valid task")
    if type(run) is not int or not 0 <= run <= MAX_COUNT:
        raise ValueError("a run has no valid number")


def _read_checkpoint(value: Any) -> str:
    """Return a checkpoint; without a usable one a task starts from the beginning."""
    usable = type(value) is str and len(value) <= MAX_CHECKPOINT_LENGTH
    return value if usable else ""


def _read_figure(value: Any, limit: int) -> int:
    """Return a figure within bounds, 0 for one that is no number."""
    return int(max(0, min(value, limit))) if type(value) in (int, float) else 0


def _map_failure(error: CallError) -> CallResult:
    if error.outcome is not Outcome.NOT_RUN:
        return CallResult.UNKNOWN
    if "ConnectionRefused" in error.detail:
        return CallResult.ABSENT
    return CallResult.REFUSED


def _parse(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
