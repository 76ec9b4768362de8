"""Opens links: dials or accepts a connection and runs the handshake."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import curio
from curio.io import Socket

from pistachiodeal.addresses import is_address, split_address
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
    """Connect to ``ip:port`` and authenticate; the link is closed on exit.

    :raises LinkClosedError: the address can't be used, the peer is unreachable, or the
        connection was closed during the handshake.
    :raises AuthenticationError: the peer does not hold the secret.
    """
    if not is_address(address):
        raise LinkClosedError("not an address", step=STEP_HANDSHAKE, peer=address)
    raw = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_STREAM)
    sock = Socket(raw)
    link = Link(sock, address, timings)

    async def dial() -> Identity:
        await sock.connect(split_address(address))
        return await handshake.run_dialling_side(link, identity, secret)

    async with _open(link, sock, timings, dial):
        yield link


@asynccontextmanager
async def accept_link(
    sock: Socket, identity: Identity, secret: str, timings: LinkTimings
) -> AsyncIterator[Link]:
    """Run the handshake on an accepted curio socket; the link is closed on exit.

    :raises LinkClosedError: the peer has disconnected, or the connection was closed
        during the handshake.
    :raises AuthenticationError: the peer does not hold the secret.
    :raises ProtocolError: the peer sent an invalid message, or uses another protocol
        version.
    """
    link = Link(sock, _describe_peer(sock), timings)

    async def accept() -> Identity:
        return await handshake.run_accepting_side(link, identity, secret)

    async with _open(link, sock, timings, accept):
        yield link


@asynccontextmanager
async def _open(
    link: Link, sock: Socket, timings: LinkTimings, run_handshake: Handshake
) -> AsyncIterator[None]:
    try:
        try:
            async with curio.timeout_after(timings.handshake_s):
                peer = await run_handshake()
                nodelay = stdlib_socket.TCP_NODELAY
                sock.setsockopt(stdlib_socket.IPPROTO_TCP, nodelay, 1)
                await link.finish_handshake(peer)
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
    """Return the peer's address, or ``unknown`` if the peer has disconnected."""
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return "unknown"
    return f"{host}:{port}"
