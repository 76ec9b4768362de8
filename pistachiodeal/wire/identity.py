"""The identity under which a process authenticates to its peers."""

from __future__ import annotations

from dataclasses import dataclass

AGENT_ROLE = "agent"
ENTRY_ROLE = "entry"


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity under which a process authenticates to its peers.

    :param role: ``agent`` or ``entry``.
    :param node: name of the process, stable over restarts.
    :param incarnation: random number drawn at each start of the process.
    """

    role: str
    node: str
    incarnation: int
    data_centre: str
    worker: str = ""
    rack: str = ""
