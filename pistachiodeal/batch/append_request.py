"""What an owner asks its partition's journal to write, and where."""

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
    """Events that are to become durable together.

    :ivar payload: size of what callers and tasks wrote into the events, characters.
    :ivar outcome: None until settled; then ``ran`` (durable), ``not_run`` (no
        effect, for certain) or ``unknown``.
    :ivar on_settled: called without an await once settled, after the events were
        applied; returns the messages to be sent.
    :ivar retry_after: after how many seconds another try makes sense.
    """

    events: tuple[Event, ...]
    payload: int = 0
    on_settled: SettledCallback = _send_nothing
    outcome: Outcome | None = None
    retry_after: float = 1.0
    settled: curio.Event = field(default_factory=curio.Event)


@dataclass(frozen=True, slots=True)
class JournalPosition:
    """Where an owner stands in a partition's journal.

    :param row_version: version of the partition row that makes it the owner.
    :param seq: the last journal row there is.
    """

    partition: int
    epoch: int
    row_version: int
    seq: int
