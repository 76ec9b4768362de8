"""Events of a partition's journal, and their JSON form."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec


class RequeueCause(StrEnum):
    """Why an attempt ended without a result."""

    FAILED = "failed"  # the task itself failed on its worker
    STOPPED = "stopped"  # evicted, or its worker was drained
    EXPIRED = "expired"  # its lease ran out
    REFUSED = "refused"  # it was never started
    CHECKPOINT_MISSING = "checkpoint_missing"  # nor could it be, from that one
    VANISHED = "vanished"  # its worker ended under it soon after its start
    LOST = "lost"  # its worker was not heard of until the lease was over


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
    """An attempt may run on a worker from now on.

    :param size: what is reserved for it.
    :param lease_ms: task lease, which a later owner has to wait for even if the
        profile has changed since.
    """

    task_id: str
    attempt: int
    worker: str
    size: Resources
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Requeued:
    """An attempt is over for certain, and the task waits for its next one."""

    task_id: str
    attempt: int
    cause: RequeueCause
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Finished:
    """An attempt gave the task's result."""

    task_id: str
    attempt: int
    result: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The task will not be tried again."""

    task_id: str
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancelled: a waiting task ends now, a placed one once stopped."""

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
    """Return what orjson turns into the JSON form of events."""
    return [{"event": _TAGS[type(event)], "fields": event} for event in events]


def decode_events(documents: Iterable[dict[str, Any]]) -> list[Event]:
    """Return the events of a journal row.

    :raises ProtocolError: a document is no event of this version.
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
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"no journal event: {error!r}", step="replay") from error
