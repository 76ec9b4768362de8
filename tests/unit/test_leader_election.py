"""Who takes the lead when several entries could."""

from __future__ import annotations

import curio

from pistachiodeal.leader.commits import Authority
from pistachiodeal.leader.directory import Directory
from pistachiodeal.leader.election import Election, is_weak
from pistachiodeal.peers import PeerContext
from pistachiodeal.wire.identity import ENTRY_ROLE, Identity
from tests.harness.ports import take_port
from tests.standins.job_cluster import SECRET, create_quiet_log
from tests.standins.rows import MemoryRows, RowsState


def test_a_weak_entry_leaves_the_lead_to_a_strong_one():
    """Symptom: for 13 s short jobs took 20 s instead of 2.

    Sequence: the leader is refused by the store; of the followers, one on a third of a
    core with a slow link is the first to notice, and takes over.
    Cause: whoever campaigned first led, whatever its VM.
    """
    leaders: list[str] = []

    async def lead_for_ever(name: str) -> None:
        leaders.append(name)
        await curio.sleep(60)

    async def main() -> None:
        state = RowsState()
        elections = []
        for name, cores, link_mbps in (("weak", 0.3, 10.0), ("strong", 2.1, 200.0)):

            async def lead(_: Authority, name: str = name) -> None:
                await lead_for_ever(name)

            address = f"127.0.0.1:{take_port()}"
            identity = Identity(ENTRY_ROLE, name, 1, "dc")
            peers = PeerContext(
                identity, address, SECRET, Directory(()), create_quiet_log()
            )
            election = Election(
                MemoryRows(state), peers, lead, weak=is_weak(cores, link_mbps)
            )
            elections.append(await curio.spawn(election.run, daemon=True))
            await curio.sleep(0.2)
        await curio.sleep(1.2)
        for election in elections:
            await election.cancel()

    curio.run(main)
    assert leaders == ["strong"]


def test_a_weak_entry_leads_when_nobody_else_does():
    """The load: all entries of a deployment are small."""
    leaders: list[str] = []

    async def main() -> None:
        async def lead(_: Authority) -> None:
            leaders.append("weak")
            await curio.sleep(60)

        address = f"127.0.0.1:{take_port()}"
        identity = Identity(ENTRY_ROLE, "weak", 1, "dc")
        peers = PeerContext(
            identity, address, SECRET, Directory(()), create_quiet_log()
        )
        election = Election(MemoryRows(RowsState()), peers, lead, weak=True)
        task = await curio.spawn(election.run, daemon=True)
        await curio.sleep(1.6)
        await task.cancel()

    curio.run(main)
    assert leaders == ["weak"]
