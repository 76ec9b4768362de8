"""Messages by which both sides of a new link authenticate each other."""

from __future__ import annotations

from dataclasses import dataclass

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side, sent as soon as a connection is open."""

    version: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the dialling side.

    :param role: ``agent`` or ``entry``.
    :param node: name of the process, stable over restarts.
    :param incarnation: random number drawn at each start of the process.
    :param nonce: random bytes that the accepting side's proof has to cover.
    :param proof: HMAC, with the shared secret, over the challenge's nonce and the
        identity fields.
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

    :param proof: HMAC, with the shared secret, over the nonce of the :class:`Hello`
        and ``node``.
    """

    node: str
    incarnation: int
    data_centre: str
    proof: bytes
