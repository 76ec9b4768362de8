"""The entries and partition owners known to an agent, and how entries are ranked."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import xxhash

from pistachiodeal.wire.messages import Directory, EntryAddress, PartitionOwner

MAX_ENTRIES = 1_024
MAX_PARTITIONS = 4_096


class MergedDirectory:
    """Merges the directories that all linked entries send.

    An entry counts as present while any linked entry lists it, so an entry that
    is cut off from the table can neither add nor hide others permanently. Of
    several owners of a partition, the one with the highest epoch wins.

    :ivar on_epoch: called with a partition and its new epoch when that increases.
    """

    def __init__(self) -> None:
        self.on_epoch: Callable[[int, int], None] | None = None
        self._directories: dict[str, tuple[EntryAddress, ...]] = {}
        self._last_entries: tuple[EntryAddress, ...] = ()
        self._owners: dict[int, PartitionOwner] = {}

    @property
    def entries(self) -> tuple[EntryAddress, ...]:
        """Return all known entries; without a link, the ones known last."""
        found: dict[str, EntryAddress] = {}
        for directory in self._directories.values():
            for entry in directory:
                found.setdefault(entry.node, entry)
        return tuple(found.values()) or self._last_entries

    def update(self, source: str, directory: Directory) -> None:
        """Replace the directory of the entry ``source`` by a newer one."""
        self._directories[source] = directory.entries[:MAX_ENTRIES]
        for owner in directory.owners:
            self._update_owner(owner)

    def remove_source(self, source: str) -> None:
        """Remove the directory of ``source``.

        If it was the only one, its entries are kept as the last known ones.
        """
        known = self.entries
        self._directories.pop(source, None)
        if not self._directories:
            self._last_entries = known

    def get_owner(self, partition: int) -> PartitionOwner | None:
        """Return the owner of a partition, None if no owner is known."""
        owner = self._owners.get(partition)
        return owner if owner and owner.node else None

    def list_partitions(self, node: str) -> set[int]:
        """Return the partitions that the entry ``node`` owns."""
        return {p for p, owner in self._owners.items() if owner.node == node}

    def _update_owner(self, owner: PartitionOwner) -> None:
        if not 0 <= owner.partition < MAX_PARTITIONS:
            return
        known = self._owners.get(owner.partition)
        if known and known.epoch >= owner.epoch:
            return
        self._owners[owner.partition] = owner
        if self.on_epoch:
            self.on_epoch(owner.partition, owner.epoch)


def rank_entries(
    agent: str, data_centre: str, entries: Iterable[EntryAddress]
) -> list[EntryAddress]:
    """Return entries, those of the agent's data centre first, each group by hash.

    Rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for
    Rendezvous"): adding or removing an entry moves only the links to that entry.
    """

    def sort_key(entry: EntryAddress) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{agent}|{entry.node}".encode())
        return entry.data_centre != data_centre, -weight

    return sorted(entries, key=sort_key)


def choose_entries(
    agent: str,
    data_centre: str,
    entries: Iterable[EntryAddress],
    count: int,
    avoided: Collection[str] = (),
) -> list[EntryAddress]:
    """Return the ``count`` entries to link to.

    If ``count`` is above 1, one of them is in another data centre; without that
    link the entries there could not spill work over to this worker.

    :param avoided: addresses that must not be chosen.
    """
    usable = (entry for entry in entries if entry.address not in avoided)
    ranked = rank_entries(agent, data_centre, usable)
    chosen = ranked[:count]
    remote = [entry for entry in ranked if entry.data_centre != data_centre]
    if count > 1 and remote and remote[0] not in chosen:
        chosen[-1] = remote[0]
    return chosen
