"""The handshake of a link against a peer that doesn't hold the secret."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.exceptions import AuthenticationError
from pistachiodeal.wire.handshake import run_accepting_side, run_dialling_side
from pistachiodeal.wire.handshake_messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Welcome,
)
from pistachiodeal.wire.identity import AGENT_ROLE, ENTRY_ROLE, Identity

SECRET = "s" * 16
AGENT = Identity(AGENT_ROLE, "a1", 7, "dc1", "w1", "r1")
OTHER_AGENT = Identity(AGENT_ROLE, "a2", 8, "dc1", "w2", "r2")
ENTRY = Identity(ENTRY_ROLE, "e1", 1, "dc1")


class Stream:
    """One end of a connection in memory."""

    def __init__(self, received: curio.Queue, sent: curio.Queue) -> None:
        self._received = received
        self._sent = sent

    async def send_now(self, message) -> None:
        await self._sent.put(message)

    async def receive(self):
        return await self._received.get()


def create_connection() -> tuple[Stream, Stream]:
    """Return both ends of a connection."""
    forth, back = curio.Queue(), curio.Queue()
    return Stream(forth, back), Stream(back, forth)


def test_both_sides_learn_who_the_other_is():
    async def main():
        ours, theirs = create_connection()
        entry = await curio.spawn(run_accepting_side, theirs, ENTRY, SECRET)
        assert await run_dialling_side(ours, AGENT, SECRET) == ENTRY
        assert await entry.join() == AGENT

    curio.run(main)


async def get_proof(nonce: bytes) -> tuple[str, bytes]:
    """Make another agent prove that it holds the secret, for this nonce.

    :return: the text that its proof covers beside the nonce, and the proof.
    """
    ours, theirs = create_connection()
    victim = await curio.spawn(run_dialling_side, theirs, OTHER_AGENT, SECRET)
    await ours.send_now(Challenge(PROTOCOL_VERSION, nonce))
    hello = await ours.receive()
    await victim.cancel()
    parts = (hello.role, hello.node, str(hello.incarnation), hello.worker)
    return "\0".join((*parts, hello.data_centre, hello.rack)), hello.proof


def test_the_proof_of_a_dialling_peer_does_not_pass_for_that_of_an_entry():
    """Guards against a false entry that holds no secret.

    It asks one agent to prove itself with the nonce of another agent, and answers the
    other one with this proof, under a node name that is the text that it covers.
    """

    async def main():
        ours, theirs = create_connection()
        agent = await curio.spawn(run_dialling_side, theirs, AGENT, SECRET)
        await ours.send_now(Challenge(PROTOCOL_VERSION, b"n" * 16))
        hello = await ours.receive()
        text, proof = await get_proof(hello.nonce)
        await ours.send_now(Welcome(text, 1, "dc1", proof))
        with pytest.raises(curio.TaskError) as caught:
            await agent.join()
        assert isinstance(caught.value.__cause__, AuthenticationError)

    curio.run(main)


def test_a_name_with_the_separator_is_refused():
    """Guards against a proof that fits two identities."""

    async def main():
        ours, theirs = create_connection()
        entry = await curio.spawn(run_accepting_side, theirs, ENTRY, SECRET)
        await ours.receive()
        names = ("a1\0007", "w1", "dc1", "r1")
        node, worker, data_centre, rack = names
        hello = Hello(
            PROTOCOL_VERSION, AGENT_ROLE, node, 7, worker, data_centre, rack,
            b"n" * 16, b"p" * 32,
        )  # fmt: skip
        await ours.send_now(hello)
        with pytest.raises(curio.TaskError) as caught:
            await entry.join()
        assert caught.value.__cause__.detail == "a name holds a separator"

    curio.run(main)
