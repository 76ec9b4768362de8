"""Mutual authentication at the start of a link, with a shared secret.

The accepting side sends a nonce. The dialling side answers with its identity, a nonce
of its own, and an HMAC over the received nonce and the identity. The accepting side
answers with an HMAC over the dialling side's nonce and its own node name. The nonces
are random for each connection, so a recorded handshake cannot be replayed on another.
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
SEPARATOR = "\0"


class MessageStream(Protocol):
    """The operations of a link that the handshake uses."""

    async def send_now(self, message: Message) -> None:
        """Write one message to the socket without queueing it."""

    async def receive(self) -> Message:
        """Return the next message."""


async def run_dialling_side(
    stream: MessageStream, identity: Identity, secret: str
) -> Identity:
    """Run the dialling side of the handshake; return the accepting side's identity.

    :raises AuthenticationError: the peer does not hold the secret.
    :raises ProtocolError: the peer uses another protocol or protocol version.
    """
    challenge = await stream.receive()
    if not isinstance(challenge, Challenge):
        raise ProtocolError("expected a Challenge message", step=STEP)
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
    proof = _compute_proof(secret, challenge.nonce, _build_signed_text(hello))
    await stream.send_now(replace(hello, proof=proof))
    welcome = await stream.receive()
    if not isinstance(welcome, Welcome):
        raise ProtocolError("expected a Welcome message", step=STEP)
    _check_names(welcome.node, welcome.data_centre)
    expected = _compute_proof(secret, nonce, welcome.node)
    if not hmac.compare_digest(expected, welcome.proof):
        raise AuthenticationError("the peer does not hold the secret", step=STEP)
    return Identity(ENTRY_ROLE, welcome.node, welcome.incarnation, welcome.data_centre)


async def run_accepting_side(
    stream: MessageStream, identity: Identity, secret: str
) -> Identity:
    """Run the accepting side of the handshake; return the dialling side's identity.

    :raises AuthenticationError: the peer does not hold the secret.
    :raises ProtocolError: the peer uses another protocol or protocol version.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.send_now(Challenge(PROTOCOL_VERSION, nonce))
    hello = await stream.receive()
    if not isinstance(hello, Hello):
        raise ProtocolError("expected a Hello message", step=STEP)
    _check_version(hello.version)
    _check_names(hello.node, hello.worker, hello.data_centre, hello.rack)
    expected = _compute_proof(secret, nonce, _build_signed_text(hello))
    if not hmac.compare_digest(expected, hello.proof):
        raise AuthenticationError("the peer does not hold the secret", step=STEP)
    if hello.role not in ROLES:
        raise ProtocolError("the peer's role is unknown", step=STEP)
    proof = _compute_proof(secret, hello.nonce, identity.node)
    welcome = Welcome(identity.node, identity.incarnation, identity.data_centre, proof)
    await stream.send_now(welcome)
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
        detail = f"the peer uses protocol version {version}, not {PROTOCOL_VERSION}"
        raise ProtocolError(detail, step=STEP)


def _check_names(*names: str) -> None:
    # Without a separator in any name, a proof fits only one identity, and that of a
    # dialling side, which covers several names, is none of an accepting side.
    if any(SEPARATOR in name for name in names):
        raise AuthenticationError("a name holds a separator", step=STEP)


def _build_signed_text(hello: Hello) -> str:
    parts = (hello.role, hello.node, str(hello.incarnation), hello.worker)
    return SEPARATOR.join((*parts, hello.data_centre, hello.rack))


def _compute_proof(secret: str, nonce: bytes, text: str) -> bytes:
    return hmac.digest(secret.encode(), nonce + text.encode(), "sha256")
