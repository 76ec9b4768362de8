"""Events of a partition's journal and their JSON form."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec


class RequeueCause(StrEnum):
    """Why an attempt ended without a result."""

    FAILED = "failed"  # the task itself failed on its worker
    STOPPED = "stopped"  # evicted, or its worker was drained
    EXPIRED = "expired"  # its lease ran out
    REFUSED = "refused"  # its agent never started it
    CHECKPOINT_MISSING = (
        "checkpoint_missing"  # not started: its checkpoint does not exist
    )
    VANISHED = "vanished"  # its worker crashed soon after its start
    LOST = "lost"  # its worker was out of contact until the lease ended


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller's task was admitted."""

    spec: TaskSpec

    @property
    def task_id(self) -> str:
        """Return the id of the task."""
        return self.spec.task_id


@dataclass(frozen=True, slots=True)
class Placed:
    """An attempt was placed and may run on a worker from now on.

    :param size: resources reserved for the attempt.
    :param lease_ms: task lease. A later owner waits for this lease, even if the
        profile has changed in the meantime.
    """

    task_id: str
    attempt: int
    worker: str
    size: Resources
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Requeued:
    """An attempt has definitely ended, and the task waits for its next attempt."""

    task_id: str
    attempt: int
    cause: RequeueCause
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Finished:
    """An attempt completed and returned the result of the task."""

    task_id: str
    attempt: int
    result: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The task failed for good and is not retried."""

    task_id: str
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancelled: a queued task ends at once, a placed one once stopped."""

    task_id: str


Event = Submitted | Placed | Requeued | Finished | Failed | CancelAsked

_TAGS: dict[type, str] = {
    Submitted: "submitted",
    Placed: "placed",
    Requeued: "requeued",
    Finished: "finished",
    Failed: "failed",
    CancelAsked: "cancel_asked",
}
_TYPES: dict[str, type] = {tag: kind for kind, tag in _TAGS.items()}


def encode_events(events: Iterable[Event]) -> list[dict[str, Any]]:
    """Return events as documents that orjson can serialize."""
    return [{"event": _TAGS[type(event)], "fields": event} for event in events]


def decode_events(documents: Iterable[dict[str, Any]]) -> list[Event]:
    """Return the events of a journal row.

    :raises ProtocolError: a document is not an event known to this version.
    """
    return [_decode_event(document) for document in documents]


def decode_spec(document: dict[str, Any]) -> TaskSpec:
    """Return a task's specification from its JSON form."""
    declared = Resources(**document["declared"])
    return TaskSpec(**{**document, "declared": declared})


def decode_placed(document: dict[str, Any]) -> Placed:
    """Return a placement from its JSON form."""
    return Placed(**{**document, "size": Resources(**document["size"])})


def _decode_event(document: dict[str, Any]) -> Event:
    try:
        kind = _TYPES[document["event"]]
        fields = dict(document["fields"])
        if kind is Submitted:
            return Submitted(decode_spec(fields["spec"]))
        if kind is Placed:
            return decode_placed(fields)
        if kind is Requeued:
            fields["cause"] = RequeueCause(fields["cause"])
        return kind(**fields)
    except MALFORMED as error:
        raise ProtocolError(
            f"invalid journal event: {describe(error)}", step="replay"
        ) from error
