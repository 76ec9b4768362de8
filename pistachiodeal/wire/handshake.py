"""The first messages of a link: both sides prove that they hold the secret.

The accepting side sends a nonce; the dialling side answers with its identity and
an HMAC over that nonce and the identity; the accepting side proves itself over
the dialler's nonce. A recorded handshake is of no use on another connection.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import replace
from typing import Protocol

from pistachiodeal.exceptions import AuthenticationError, ProtocolError
from pistachiodeal.wire.handshake_messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Welcome,
)
from pistachiodeal.wire.identity import AGENT_ROLE, ENTRY_ROLE, Identity
from pistachiodeal.wire.messages import Message

NONCE_BYTES = 16
ROLES = (AGENT_ROLE, ENTRY_ROLE)
STEP = "link.handshake"


class Speaker(Protocol):
    """What the handshake needs of a link."""

    async def send_now(self, message: Message) -> None:
        """Send one message at once."""

    async def receive(self) -> Message:
        """Return the next message."""


async def introduce(speaker: Speaker, identity: Identity, secret: str) -> Identity:
    """Do the dialling side's part; return the accepting side's identity.

    :raises AuthenticationError: the other side does not hold the secret.
    :raises ProtocolError: it speaks another protocol or version.
    """
    challenge = await speaker.receive()
    if not isinstance(challenge, Challenge):
        raise ProtocolError("no challenge", step=STEP)
    _check_version(challenge.version)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        PROTOCOL_VERSION,
        identity.role,
        identity.node,
        identity.incarnation,
        identity.worker,
        identity.data_centre,
        identity.rack,
        nonce,
        b"",
    )
    proof = _compute_proof(secret, challenge.nonce, _describe(hello))
    await speaker.send_now(replace(hello, proof=proof))
    welcome = await speaker.receive()
    if not isinstance(welcome, Welcome):
        raise ProtocolError("no welcome", step=STEP)
    expected = _compute_proof(secret, nonce, welcome.node)
    if not hmac.compare_digest(expected, welcome.proof):
        raise AuthenticationError("the peer does not hold the secret", step=STEP)
    return Identity(ENTRY_ROLE, welcome.node, welcome.incarnation, welcome.data_centre)


async def admit(speaker: Speaker, identity: Identity, secret: str) -> Identity:
    """Do the accepting side's part; return the dialling side's identity.

    :raises AuthenticationError: the other side does not hold the secret.
    :raises ProtocolError: it speaks another protocol or version.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await speaker.send_now(Challenge(PROTOCOL_VERSION, nonce))
    hello = await speaker.receive()
    if not isinstance(hello, Hello):
        raise ProtocolError("no hello", step=STEP)
    _check_version(hello.version)
    expected = _compute_proof(secret, nonce, _describe(hello))
    if not hmac.compare_digest(expected, hello.proof):
        raise AuthenticationError("the peer does not hold the secret", step=STEP)
    if hello.role not in ROLES:
        raise ProtocolError("unknown role", step=STEP)
    proof = _compute_proof(secret, hello.nonce, identity.node)
    welcome = Welcome(identity.node, identity.incarnation, identity.data_centre, proof)
    await speaker.send_now(welcome)
    return Identity(
        hello.role,
        hello.node,
        hello.incarnation,
        hello.data_centre,
        hello.worker,
        hello.rack,
    )


def _check_version(version: int) -> None:
    if version != PROTOCOL_VERSION:
        detail = f"the peer speaks version {version}, not {PROTOCOL_VERSION}"
        raise ProtocolError(detail, step=STEP)


def _describe(hello: Hello) -> str:
    parts = (hello.role, hello.node, str(hello.incarnation), hello.worker)
    return "\0".join((*parts, hello.data_centre, hello.rack))


def _compute_proof(secret: str, nonce: bytes, text: str) -> bytes:
    return hmac.digest(secret.encode(), nonce + text.encode(), "sha256")
