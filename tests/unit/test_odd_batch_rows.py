"""Rows of other writers among those by which entries divide the partitions."""

from __future__ import annotations

import curio
import orjson
import pytest

from pistachiodeal.batch.keys import ENTRY_PREFIX, build_task_id, partition_key
from pistachiodeal.batch.rows import parse_entry, parse_owner
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.store.protocols import Row, Write
from pistachiodeal.wire.codec import encode_message
from pistachiodeal.wire.messages import Directory, EntryAddress, PartitionOwner
from tests.unit.test_batch_service import BatchHarness, post
from tests.unit.test_odd_addresses import ODD_ADDRESSES
from tests.unit.test_odd_values import DEEP_JSON, iterate_odd

ENTRY = {
    "node": "odd",
    "incarnation": 1,
    "beat": 1,
    "address": "10.0.0.3:1",
    "data_centre": "dc1",
    "http": "10.0.0.3:2",
    "team_cpu": {"hall": 5},
}
OWNER = {
    "partition": 0,
    "node": "odd",
    "incarnation": 1,
    "address": "10.0.0.3:1",
    "epoch": 4,
    "nonce": "n",
}
ODD_ROWS = [
    b"\xff",
    b"[]",
    b"{}",
    orjson.dumps({**OWNER, "later_field": 1}),
    orjson.dumps({**OWNER, "epoch": 2**64 - 1}),
    orjson.dumps({**OWNER, "address": "10.0.0.3:99999"}),
    DEEP_JSON,
]


def test_an_entry_or_owner_is_refused_or_can_be_sent_to_agents():
    """Guards against a directory that can't be sent, for one row's sake."""
    for path, odd, value in iterate_odd(ENTRY):
        try:
            entry = parse_entry(Row("entry/odd", value, 1))
        except ProtocolError:
            continue
        sum(entry.team_cpu.values())
        address = EntryAddress(entry.node, entry.address, entry.data_centre)
        assert encode_message(Directory((address,), ())), (path, odd)
    for path, odd, value in iterate_odd(OWNER):
        try:
            owner = parse_owner(Row("partition/0000", value, 1))
        except ProtocolError:
            continue
        found = PartitionOwner(owner.partition, owner.epoch, owner.node, owner.address)
        assert encode_message(Directory((), (found,))), (path, odd)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_entry_without_a_usable_address_is_no_entry(address: str):
    """Guards against agents that dial it, and fail at it."""
    for document, parse in ((ENTRY, parse_entry), (OWNER, parse_owner)):
        value = orjson.dumps({**document, "address": address})
        with pytest.raises(ProtocolError):
            parse(Row("k", value, 1))


@pytest.mark.parametrize("value", ODD_ROWS)
def test_odd_rows_of_entries_and_partitions_hide_no_other(value: bytes):
    """Guards against entries that serve no task since one row can't be read.

    The partition whose row it is gets an owner again.
    """

    async def main() -> None:
        harness = BatchHarness()
        await harness.table.commit(
            [Write(ENTRY_PREFIX + "odd", value), Write(partition_key(0), value)]
        )
        await harness.table.commit([Write("partition/x", value)])
        entry = harness.entry("a")
        await harness.round(entry)
        await harness.round(entry)
        assert set(entry.context.membership.live_entries()) == {"a"}
        for number in range(6):
            assert (await entry.service.handle(post(f"k{number}"))).status == 201
        partitions = {build_task_id("hall", f"k{n}", 2)[:4] for n in range(6)}
        assert partitions == {"0000", "0001"}

    curio.run(main)
