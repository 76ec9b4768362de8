"""Who a process is to its peers."""

from __future__ import annotations

from dataclasses import dataclass

AGENT_ROLE = "agent"
ENTRY_ROLE = "entry"


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is to its peers; ``incarnation`` is random for each start."""

    role: str
    node: str
    incarnation: int
    data_centre: str
    worker: str = ""
    rack: str = ""
