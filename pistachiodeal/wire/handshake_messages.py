"""Messages by which both sides of a new link prove who they are."""

from __future__ import annotations

from dataclasses import dataclass

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Challenge:
    """Sent by the accepting side as soon as a connection is open."""

    version: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the dialling side.

    :param role: ``agent`` or ``entry``.
    :param node: name of the process, stable over restarts.
    :param incarnation: random for each start of the process.
    :param nonce: random; the answer proves the secret over it.
    :param proof: HMAC of the acceptor's challenge with the shared secret.
    """

    version: int
    role: str
    node: str
    incarnation: int
    worker: str
    data_centre: str
    rack: str
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer of the accepting side to :class:`Hello`.

    :param proof: HMAC of the dialler's nonce with the shared secret.
    """

    node: str
    incarnation: int
    data_centre: str
    proof: bytes
