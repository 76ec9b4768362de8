"""The runner beside an agent: its calls and its heartbeats."""

from __future__ import annotations

from dataclasses import astuple
from functools import partial
from typing import Any

import orjson
from logbook import Logger

from pistachiodeal.exceptions import Outcome, ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.jobs.incarnations import build_incarnation, get_runner
from pistachiodeal.jobs.runtime import (
    CallResult,
    Goodbye,
    Listing,
    StartCall,
    WorkerBeat,
)
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

BEAT_PATH = "/api/Instances.Heartbeat/"
LEAVE_PATH = "/api/Instances.Deregister/"
HOLD_PATH = "/api/hold"
DRAINING = "draining"
# When this start of the runner was.
BORN = "born"
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
# The runner is on the same VM and answers in a millisecond; a call that takes
# longer has lost its answer, or its connection has gone silent.
CALL_TIMEOUT_S = 0.6
CONNECTIONS = 16


class PlatformRunner:
    """Calls to one runner; see ``Runtime``."""

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
        return await self._order("/api/run-start", call.worker, document)

    async def stop(self, worker: str, token: int, task: str, run: int) -> CallResult:
        """Stop a run."""
        document = {"task": task, "run_id": run, "fencing_token": token}
        return await self._order("/api/run-stop", worker, document)

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """Let a run work at a share of its speed."""
        document = {
            "task": task,
            "run_id": run,
            "percent": percent,
            "fencing_token": token,
        }
        return await self._order("/api/pace", worker, document)

    async def renew(
        self, worker: str, token: int, noted: int, lease_end_ms: int, wait_ms: int
    ) -> Listing:
        """Renew the lease and list what runs and has ended."""
        # The field for acknowledged ends speaks of what was seen; it is final, so it
        # holds what is durable.
        document = {"fencing_token": token, "last_seen": noted}
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

    async def _order(
        self, path: str, worker: str, document: dict[str, Any]
    ) -> CallResult:
        try:
            result, _ = await self._call(path, worker, document)
        except ProtocolError as error:
            log.warning("runner: {} for {} was not sent: {}", path, worker, error)
            return CallResult.REFUSED
        return result

    async def _call(
        self,
        path: str,
        worker: str,
        document: dict[str, Any],
        timeout: float = CALL_TIMEOUT_S,
    ) -> tuple[CallResult, dict[str, Any]]:
        """Make one call to one start of a runner.

        :raises ProtocolError: who answers doesn't say which start it is; nothing was
            asked of it.
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
    """Return the first call on each connection, where the headers don't say enough.

    They name all starts of a runner alike; a connection leads to one of them. Sent to
    another start, a call could acknowledge ends that nobody has seen.
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
        partial(_read_name, worker),
    )


def create_runner(address: str) -> PlatformRunner:
    """Return a client of the runner at ``ip:port``."""
    return PlatformRunner(create_client(address, connections=CONNECTIONS))


def decode_beat(path: str, body: bytes) -> WorkerBeat:
    """Return a runner's heartbeat.

    :raises ProtocolError: it can't be read.
    """
    try:
        document = orjson.loads(body)
        room = document.get("capacity", {})
        state = document["state"]
        labels = tuple(document.get("labels", ()))
        beat = WorkerBeat(
            _read_incarnation(path.removeprefix(BEAT_PATH), document),
            document["service"],
            document["address"],
            state == DRAINING,
            document.get("remaining_ms", 0),
            document.get("seq", 0),
            Resources(room.get("cpu", 0), room.get("mem_mb", 0), room.get("gpu", 0)),
            labels,
        )
        check_fields(beat)
        check_fields(beat.capacity)
        if state not in STATES or path == BEAT_PATH or not beat.service:
            raise ValueError("its state is unknown, or it doesn't say who sent it")
        if any(type(label) is not str for label in labels):
            raise ValueError("a label is no text")
        if min(beat.leaving_ms, beat.sequence, *astuple(beat.capacity)) < 0:
            raise ValueError("a figure is negative")
        return beat
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(repr(error), step="heartbeat.decode") from None


def decode_goodbye(path: str, body: bytes) -> Goodbye:
    """Return a runner's goodbye.

    :raises ProtocolError: it can't be read.
    """
    runner = path.removeprefix(LEAVE_PATH)
    try:
        document = orjson.loads(body) if body else {}
        if not runner or not isinstance(document, dict):
            raise ValueError("it doesn't say who sent it")
        return Goodbye(runner, _read_incarnation(runner, document))
    except ValueError as error:
        raise ProtocolError(repr(error), step="goodbye.decode") from None


def decode_listing(worker: str, answer: dict[str, Any]) -> Listing:
    """Return what a runner answers to a call meant for one incarnation.

    One that can't be read tells nothing, least of all that the incarnation has ended.
    """
    try:
        if _read_answerer(worker, answer) != worker:
            return Listing(CallResult.OTHER_INCARNATION)
        listing = Listing(
            CallResult.DONE,
            answer["clock_ms"],
            tuple(_decode_running(row) for row in answer.get("running", ())),
            tuple(EndedTask(*row[:5]) for row in answer.get("ended_at", ())),
        )
        check_fields(listing)
        return listing
    except (ValueError, KeyError, TypeError, IndexError) as error:
        return Listing(CallResult.UNREADABLE, detail=repr(error))


def _read_name(worker: str, response: WebResponse) -> str:
    """Return which start of a runner answers, empty where it refuses the call.

    :raises ProtocolError: its listing doesn't say.
    """
    if response.status != OK:
        return ""
    try:
        return _read_answerer(worker, _parse(response.body))
    except ValueError as error:
        raise ProtocolError(str(error), step="runner.introduce") from None


def _read_answerer(worker: str, answer: dict[str, Any]) -> str:
    """Return which start of a runner has answered a call that is meant for one.

    :raises ValueError: it doesn't say, and has said so before.
    """
    runner = get_runner(worker)
    found = _read_incarnation(runner, answer)
    if found == runner != worker:
        raise ValueError(f"{BORN} is missing")
    return found


def _read_incarnation(runner: str, document: dict[str, Any]) -> str:
    """Return which start of a runner a message is from.

    A runner of a platform that gives each start an id of its own says nothing more.

    :raises ValueError: what it says makes no sense.
    """
    if BORN not in document:
        return runner
    born = document[BORN]
    if type(born) is not int or born < 0:
        raise ValueError(f"{BORN} is {born!r}, and no whole number of milliseconds")
    return build_incarnation(runner, born)


def _decode_running(row: list[Any]) -> RunningTask:
    figure = int(row[4]) if len(row) > 4 and row[4] is not None else 0
    return RunningTask(row[0], row[1], row[2], int(row[3]), figure)


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
