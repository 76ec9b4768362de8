"""Opens links: dials or accepts a connection, and does the handshake."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import curio
from curio.io import Socket

from pistachiodeal.addresses import split_address
from pistachiodeal.exceptions import (
    LinkClosedError,
    LinkRefusedError,
    ProtocolError,
)
from pistachiodeal.wire import handshake
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import Link, LinkTimings

STEP_HANDSHAKE = "link.handshake"

Handshake = Callable[[], Awaitable[Identity]]


@asynccontextmanager
async def dial_link(
    address: str, identity: Identity, secret: str, timings: LinkTimings
) -> AsyncIterator[Link]:
    """Connect to ``ip:port`` and prove who we are; closes the link at the end.

    :raises LinkClosedError: not reachable, or closed in the handshake.
    :raises AuthenticationError: the peer does not hold the secret.
    """
    raw = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
    sock = Socket(raw)
    link = Link(sock, address, timings)

    async def introduce() -> Identity:
        await sock.connect(split_address(address))
        return await handshake.introduce(link, identity, secret)

    async with _open(link, sock, timings, introduce):
        yield link


@asynccontextmanager
async def accept_link(
    sock: Socket, identity: Identity, secret: str, timings: LinkTimings
) -> AsyncIterator[Link]:
    """Do the handshake on an accepted curio socket; closes the link at the end.

    :raises LinkClosedError: the peer is gone, or closed in the handshake.
    :raises AuthenticationError: the peer does not hold the secret.
    :raises ProtocolError: garbage, or another version.
    """
    link = Link(sock, _describe_peer(sock), timings)

    async def admit() -> Identity:
        return await handshake.admit(link, identity, secret)

    async with _open(link, sock, timings, admit):
        yield link


@asynccontextmanager
async def _open(
    link: Link, sock: Socket, timings: LinkTimings, shake_hands: Handshake
) -> AsyncIterator[None]:
    try:
        try:
            async with curio.timeout_after(timings.handshake_s):
                peer = await shake_hands()
                nodelay = stdlib_socket.TCP_NODELAY
                sock.setsockopt(stdlib_socket.IPPROTO_TCP, nodelay, 1)
                await link.open(peer)
        except curio.TaskTimeout:
            raise LinkClosedError(
                f"no handshake within {timings.handshake_s:.3g} s",
                step=STEP_HANDSHAKE,
                peer=link.address,
            ) from None
        except ConnectionRefusedError as error:
            raise LinkRefusedError(
                repr(error), step=STEP_HANDSHAKE, peer=link.address
            ) from None
        except OSError as error:
            raise LinkClosedError(
                repr(error), step=STEP_HANDSHAKE, peer=link.address
            ) from None
        except ProtocolError as error:
            error.peer = error.peer or link.address
            raise
        yield
    finally:
        await link.close()


def _describe_peer(sock: Socket) -> str:
    """Return the peer's address; a peer that is gone again has none."""
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return "unknown"
    return f"{host}:{port}"
