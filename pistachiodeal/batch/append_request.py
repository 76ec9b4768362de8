"""Requests to append events to a partition's journal, and positions in it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import curio

from pistachiodeal.batch.events import Event
from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.exceptions import Outcome

SettledCallback = Callable[[Outcome], Sequence[OutgoingMessage]]


def _send_nothing(outcome: Outcome) -> Sequence[OutgoingMessage]:
    return ()


@dataclass(eq=False, slots=True)
class AppendRequest:
    """Events that become durable together.

    :ivar payload: size of the data from callers and tasks in the events, characters.
    :ivar on_settled: called once the outcome is known, after the events were
        applied and without an await in between; returns the messages to send.
    :ivar outcome: None until settled; then ``ran`` (durable), ``not_run``
        (definitely no effect) or ``unknown``.
    :ivar retry_after: seconds after which the caller may retry.
    """

    events: tuple[Event, ...]
    payload: int = 0
    on_settled: SettledCallback = _send_nothing
    outcome: Outcome | None = None
    retry_after: float = 1.0
    settled: curio.Event = field(default_factory=curio.Event)


@dataclass(frozen=True, slots=True)
class JournalPosition:
    """The position of an owner in a partition's journal.

    :param row_version: version of the partition row that names this owner.
    :param seq: number of the last journal row.
    """

    partition: int
    epoch: int
    row_version: int
    seq: int
