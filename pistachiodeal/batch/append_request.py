"""What an owner asks its partition's journal to write, and where."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import curio

from pistachiodeal.batch.events import Event
from pistachiodeal.batch.protocols import Outgoing
from pistachiodeal.exceptions import Outcome

Settled = Callable[[Outcome], Sequence[Outgoing]]


def _settle_nothing(outcome: Outcome) -> Sequence[Outgoing]:
    return ()


@dataclass(eq=False, slots=True)
class Append:
    """Events that are to become durable together.

    :ivar payload: size of what callers and tasks wrote into the events, characters.
    :ivar outcome: None until settled; then ``ran`` (durable), ``not_run`` (no
        effect, for certain) or ``unknown``.
    :ivar then: called without an await once settled, after the events were
        applied; returns the messages to be sent.
    :ivar retry_after: after how many seconds another try makes sense.
    """

    events: tuple[Event, ...]
    payload: int = 0
    then: Settled = _settle_nothing
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
