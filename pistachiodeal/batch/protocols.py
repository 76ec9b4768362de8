"""What the batch queue needs of the process that holds it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from pistachiodeal.model.policies import Profile
from pistachiodeal.wire.messages import Message, Report

ProfileRefresh = Callable[[], Awaitable[None]]
ProfileLookup = Callable[[str], Profile | None]


class WorkerSession(Protocol):
    """One link from a worker's agent."""

    @property
    def node(self) -> str:
        """Return the agent's name."""

    @property
    def worker(self) -> str:
        """Return the worker's name."""

    @property
    def data_centre(self) -> str:
        """Return the worker's data centre."""

    @property
    def rack(self) -> str:
        """Return the worker's rack."""

    @property
    def incarnation(self) -> int:
        """Return the random number of this start of the agent."""

    @property
    def report(self) -> Report | None:
        """Return the latest report, None before the first."""

    async def send(self, message: Message) -> None:
        """Send a message.

        :raises LinkClosedError: it was not, and will not be, sent.
        """


def _ignore() -> None:
    return None


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for an agent, built at the moment it is sent.

    :param build: returns None when by then it must not be sent.
    :param on_unsent: called when it was not sent, for certain.
    """

    session: WorkerSession
    build: Callable[[], Message | None]
    on_unsent: Callable[[], None] = _ignore
