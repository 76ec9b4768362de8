"""Merging of differing directories, and the choice of entries to link to."""

from __future__ import annotations

from pistachiodeal.agent.directory import MergedDirectory, choose_entries
from pistachiodeal.wire.messages import Directory, EntryAddress, PartitionOwner

ENTRIES = tuple(
    EntryAddress(f"e{n}", f"127.0.0.1:{9000 + n}", f"dc{n % 3}") for n in range(12)
)


def build_owner(epoch: int, node: str) -> Directory:
    return Directory((), (PartitionOwner(3, epoch, node, "127.0.0.1:1"),))


def test_the_highest_epoch_of_a_partition_wins() -> None:
    """Guards against reports of runs sent to an entry that lost the partition.

    After a takeover the earlier owner, resumed from a suspension, sends its old
    directory; the latest arrival must not win.
    """
    directory = MergedDirectory()
    epochs: list[tuple[int, int]] = []
    directory.on_epoch = lambda partition, epoch: epochs.append((partition, epoch))
    for epoch, node in ((4, "e1"), (5, "e2"), (4, "e1"), (5, "e9")):
        directory.update(node, build_owner(epoch, node))
    owner = directory.get_owner(3)
    assert owner is not None and owner.node == "e2"
    assert epochs == [(3, 4), (3, 5)]
    assert directory.list_partitions("e2") == {3}
    directory.update("e2", build_owner(6, ""))
    assert directory.get_owner(3) is None


def test_one_entry_can_neither_hide_others_nor_keep_them_for_good() -> None:
    directory = MergedDirectory()
    directory.update("e0", Directory(ENTRIES[:2], ()))
    directory.update("e1", Directory(ENTRIES[1:3], ()))
    assert {entry.node for entry in directory.entries} == {"e0", "e1", "e2"}
    directory.remove_source("e0")
    assert {entry.node for entry in directory.entries} == {"e1", "e2"}
    directory.remove_source("e1")
    assert {entry.node for entry in directory.entries} == {"e1", "e2"}
    directory.update("e3", Directory(ENTRIES[3:4], ()))
    assert {entry.node for entry in directory.entries} == {"e3"}


def test_links_prefer_the_own_data_centre_and_one_goes_to_another() -> None:
    chosen = choose_entries("a1", "dc1", ENTRIES, 3)
    assert [entry.data_centre == "dc1" for entry in chosen] == [True, True, False]


def test_an_entry_that_leaves_moves_only_the_links_to_it() -> None:
    for agent in (f"a{n}" for n in range(20)):
        before = choose_entries(agent, "dc1", ENTRIES, 3)
        left = [entry for entry in ENTRIES if entry is not before[0]]
        after = choose_entries(agent, "dc1", left, 3)
        assert set(before[1:]) <= set(after)


def test_links_spread_over_the_entries() -> None:
    agents = [f"a{n}" for n in range(200)]
    first = [choose_entries(agent, "dc1", ENTRIES, 1)[0].node for agent in agents]
    counts = [first.count(node) for node in set(first)]
    assert len(counts) == 4
    assert min(counts) > 25
