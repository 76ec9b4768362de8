"""A link: one authenticated connection between two of our processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from pistachiodeal.wire.messages import Message


@dataclass(frozen=True, slots=True)
class LinkTimings:
    """When links ping and when they count as lost, in seconds.

    :param ping_s: a side that sent nothing for this long sends a ping.
    :param silent_s: a side that heard nothing for this long closes the link.
    :param handshake_s: for connecting and the handshake.
    """

    ping_s: float = 0.5
    silent_s: float = 2.0
    handshake_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is to its peers; ``incarnation`` is random for each start."""

    role: str
    node: str
    incarnation: int
    data_centre: str
    worker: str = ""
    rack: str = ""


class Link:
    """Sends and receives messages; pings and silence are its own business.

    Any task may send; one task receives.
    """

    @property
    def peer(self) -> Identity:
        """Return who the other side has proved to be."""
        raise NotImplementedError

    @property
    def closed(self) -> bool:
        """Tell whether the link is of no more use."""
        raise NotImplementedError

    async def send(self, message: Message) -> None:
        """Queue a message; waits while the outbox is full.

        :raises LinkClosedError: the message was not, and will not be, sent.
        """
        raise NotImplementedError

    async def receive(self) -> Message:
        """Return the next message that is not a ping.

        :raises LinkClosedError: closed; ``LinkSilentError`` after silence.
        :raises ProtocolError: the peer sent what is not of this protocol.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Send what is queued if that is possible at once, then close."""
        raise NotImplementedError


@asynccontextmanager
async def dial_link(
    address: str, identity: Identity, secret: str, timings: LinkTimings
) -> AsyncIterator[Link]:
    """Connect to ``ip:port`` and prove who we are; closes the link at the end.

    :raises LinkClosedError: not reachable, or closed in the handshake.
    :raises AuthenticationError: the peer does not hold the secret.
    """
    raise NotImplementedError
    yield


@asynccontextmanager
async def accept_link(
    sock: Any, identity: Identity, secret: str, timings: LinkTimings
) -> AsyncIterator[Link]:
    """Do the handshake on an accepted curio socket; closes the link at the end.

    :raises AuthenticationError: the peer does not hold the secret.
    :raises ProtocolError: garbage, or another version.
    """
    raise NotImplementedError
    yield
