"""Addresses that other writers leave where this project's processes follow them."""

from __future__ import annotations

import curio
import orjson
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pistachiodeal.addresses import is_address, split_address
from pistachiodeal.exceptions import LinkClosedError, ProtocolError
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.leader_link import LeaderLink
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY, LeaderTerm
from pistachiodeal.leader.directory import Directory
from pistachiodeal.leader.election import Election
from pistachiodeal.leader.leader_row import decode_leader_row
from pistachiodeal.peers import PeerContext, dial_peer, query_leader
from pistachiodeal.store.row_store import RowWrite, StoredRow, Transaction
from pistachiodeal.wire.identity import AGENT_ROLE, ENTRY_ROLE, Identity
from pistachiodeal.wire.job_messages import Label, LeaderNotice
from tests.standins.job_cluster import SECRET, create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

ODD_ADDRESSES = [
    "10.0.0.1:99999",
    "10.0.0.1:65536",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:\u0663",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:80:80",
    "10.0.0.1",
    "a\0b:80",
    ":",
    "[::1]:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "h" * 70 + ":80",
    "\U0001f642:80",
]


def build_peers(role: str = ENTRY_ROLE) -> PeerContext:
    identity = Identity(role, "node", 1, "dc")
    return PeerContext(
        identity, "127.0.0.1:1", SECRET, Directory(()), create_quiet_log()
    )


def write_leader(state: RowsState, address: str, epoch: int = 3) -> None:
    """Write the leader's row, as another writer does."""
    row = {"epoch": epoch, "node": "e1", "address": address, "nonce": 9}
    write = RowWrite(CONTROL_TABLE, LEADER_KEY, orjson.dumps(row))
    state.apply(Transaction((), (write,)))


@settings(deadline=None)
@given(st.text() | st.from_regex(r"\A[0-9.:]{3,24}\Z"))
@example("10.0.0.1:" + "9" * 5_000)
@example("10.0.0.1:\u0663")
def test_what_counts_as_an_address_can_be_connected_to(text: str):
    """Guards against an address that is accepted and raises where it is used."""
    if not is_address(text):
        return
    host, port = split_address(text)
    assert 0 < port <= 65_535 and host.isascii()
    assert f"{host}:{port}".count(":") == 1


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_leader_row_without_a_usable_address_is_replaced(address: str):
    """Guards against entries that end again and again, and start no task any more.

    They followed the row, and connecting to the address raised an error that the
    election did not expect.
    """
    state = RowsState()
    write_leader(state, address)
    with pytest.raises(ProtocolError):
        decode_leader_row(state.rows[CONTROL_TABLE, LEADER_KEY])
    taken: list[LeaderTerm] = []

    async def lead(term: LeaderTerm) -> None:
        taken.append(term)
        await curio.sleep(60)

    async def main() -> None:
        election = Election(MemoryRows(state), build_peers(), lead)
        task = await curio.spawn(election.run, daemon=True)
        async with curio.ignore_after(3.0):
            while not taken and not task.terminated:
                await curio.sleep(0.02)
        await task.cancel()

    curio.run(main)
    assert taken
    row = decode_leader_row(state.rows[CONTROL_TABLE, LEADER_KEY])
    assert (row.epoch, row.address) == (taken[0].epoch, "127.0.0.1:1")


@pytest.mark.parametrize("epoch", [2**32 - 1, 2**32, 10**9 + 1])
def test_a_leader_row_with_an_epoch_that_cannot_be_followed_is_replaced(epoch: int):
    """Guards against leaders whose own rows count as unreadable, one after another."""
    row = {"epoch": epoch, "node": "e1", "address": "10.0.0.1:80", "nonce": 9}
    with pytest.raises(ProtocolError):
        decode_leader_row(StoredRow("leader", orjson.dumps(row), 1))


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_agent_survives_a_leader_row_without_a_usable_address(address: str):
    """Guards against agents that end, and report to no leader any more."""
    state = RowsState()
    write_leader(state, address)
    peers, events, signals = build_peers(AGENT_ROLE), create_quiet_log(), AgentSignals()
    ledger = AgentLedger(events)
    executor = Executor(ledger, None, events, signals)
    link = LeaderLink(MemoryRows(state), peers, ledger, executor, signals)

    async def main() -> bool:
        task = await curio.spawn(link.run, daemon=True)
        await curio.sleep(0.2)
        alive = not task.terminated
        await task.cancel()
        return alive

    assert curio.run(main)
    assert peers.directory.leader == ""


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_notice_with_an_odd_address_names_nobody(address: str):
    """Guards against one entry's notice that keeps others from the leader."""
    directory = Directory(("10.0.0.9:7",))
    entries = (Label(address), Label("10.0.0.2:7"))
    directory.apply_notice(LeaderNotice(3, "10.0.0.2:7", 0, entries, 0))
    directory.apply_notice(LeaderNotice(4, address, 0, entries, 0))
    directory.update_entry(address)
    assert (directory.epoch, directory.leader) == (3, "10.0.0.2:7")
    assert set(directory.list_others()) == {"10.0.0.9:7", "10.0.0.2:7"}


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_dialling_an_odd_address_is_an_error_of_the_link(address: str):
    """Guards against an error that no caller of a peer expects."""

    async def main() -> None:
        peers = build_peers()
        assert await query_leader(peers, address) is None
        with pytest.raises(LinkClosedError, match="not an address"):
            async with dial_peer(peers, address):
                pass

    curio.run(main)
