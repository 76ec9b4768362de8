"""Interfaces that the batch queue requires from the entry process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from pistachiodeal.model.policies import Profile
from pistachiodeal.wire.messages import Message, Report

ProfileRefresh = Callable[[], Awaitable[None]]
ProfileLookup = Callable[[str], Profile | None]


class WorkerSession(Protocol):
    """A link from the agent of a worker."""

    @property
    def node(self) -> str:
        """Return the name of the agent."""

    @property
    def worker(self) -> str:
        """Return the name of the worker."""

    @property
    def data_centre(self) -> str:
        """Return the data centre of the worker."""

    @property
    def rack(self) -> str:
        """Return the rack of the worker."""

    @property
    def incarnation(self) -> int:
        """Return the random number that identifies this start of the agent."""

    @property
    def report(self) -> Report | None:
        """Return the latest report, None before the first report."""

    async def send(self, message: Message) -> None:
        """Send a message.

        :raises LinkClosedError: the message was not sent and will not be.
        """


def _do_nothing() -> None:
    return None


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for an agent that is built when it is sent.

    :param build: returns the message, or None if it must no longer be sent.
    :param on_unsent: called when the message was definitely not sent.
    """

    session: WorkerSession
    build: Callable[[], Message | None]
    on_unsent: Callable[[], None] = _do_nothing
