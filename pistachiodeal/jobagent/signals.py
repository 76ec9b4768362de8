"""Events by which the parts of an agent wake each other."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio


@dataclass(frozen=True, slots=True)
class AgentSignals:
    """What wakes the parts of an agent.

    :param look: a listing is wanted at once.
    :param report: there is news for the leader.
    :param noted: the leader has said which ends are durable.
    :param fenced: the runner has seen a higher fencing token; a new one comes with a
        new link to the leader.
    """

    look: curio.Event = field(default_factory=curio.Event)
    report: curio.Event = field(default_factory=curio.Event)
    noted: curio.Event = field(default_factory=curio.Event)
    fenced: curio.Event = field(default_factory=curio.Event)
