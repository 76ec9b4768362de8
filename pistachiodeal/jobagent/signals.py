"""Events by which the tasks of an agent wake each other."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio


@dataclass(frozen=True, slots=True)
class AgentSignals:
    """The events shared by the tasks of an agent.

    :param refresh: a listing of the runner is needed at once.
    :param report: there is news to report to the leader.
    :param ends_acked: the leader has answered a report, which may acknowledge ends.
    :param fenced: the runner has seen a higher fencing token; the agent gets a new
        token over a new link to the leader.
    """

    refresh: curio.Event = field(default_factory=curio.Event)
    report: curio.Event = field(default_factory=curio.Event)
    ends_acked: curio.Event = field(default_factory=curio.Event)
    fenced: curio.Event = field(default_factory=curio.Event)
