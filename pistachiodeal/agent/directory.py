"""What an agent knows of entries and partition owners, and whom it links to."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import xxhash

from pistachiodeal.wire.messages import Directory, EntryAddress, PartitionOwner

MAX_ENTRIES = 1_024
MAX_PARTITIONS = 4_096


class AgentDirectory:
    """Merges the directories of all linked entries.

    An entry counts as present while any linked entry names it: a single entry
    that is cut off from the table then can neither add nor hide others for good.
    Of the owners of a partition the one with the highest epoch wins.

    :ivar on_epoch: called with a partition and its epoch when the epoch rose.
    """

    def __init__(self) -> None:
        self.on_epoch: Callable[[int, int], None] | None = None
        self._views: dict[str, tuple[EntryAddress, ...]] = {}
        self._last: tuple[EntryAddress, ...] = ()
        self._owners: dict[int, PartitionOwner] = {}

    @property
    def entries(self) -> tuple[EntryAddress, ...]:
        """Return all entries known, the last known ones when no link is open."""
        found: dict[str, EntryAddress] = {}
        for view in self._views.values():
            for entry in view:
                found.setdefault(entry.node, entry)
        return tuple(found.values()) or self._last

    def note(self, source: str, directory: Directory) -> None:
        """Take the directory that the entry ``source`` sent."""
        self._views[source] = directory.entries[:MAX_ENTRIES]
        for owner in directory.owners:
            self._note_owner(owner)

    def forget(self, source: str) -> None:
        """Drop what ``source`` said; what was known last stays if nothing else is."""
        known = self.entries
        self._views.pop(source, None)
        if not self._views:
            self._last = known

    def get_owner(self, partition: int) -> PartitionOwner | None:
        """Return the owner of a partition, None when nobody is known to own it."""
        owner = self._owners.get(partition)
        return owner if owner and owner.node else None

    def list_partitions(self, node: str) -> set[int]:
        """Return the partitions that the entry ``node`` owns."""
        return {p for p, owner in self._owners.items() if owner.node == node}

    def _note_owner(self, owner: PartitionOwner) -> None:
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
    """Return entries, those of the own data centre first, each part by hash.

    Rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for
    Rendezvous"): a change of one entry moves only the links to that entry.
    """

    def weigh(entry: EntryAddress) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{agent}|{entry.node}".encode())
        return entry.data_centre != data_centre, -weight

    return sorted(entries, key=weigh)


def choose_entries(
    agent: str,
    data_centre: str,
    entries: Iterable[EntryAddress],
    count: int,
    avoided: Collection[str] = (),
) -> list[EntryAddress]:
    """Return the ``count`` entries to be linked to.

    One of several links goes to another data centre: entries there could not
    spill work over to this worker if all links stayed at home.

    :param avoided: addresses that are not to be chosen now.
    """
    usable = (entry for entry in entries if entry.address not in avoided)
    ranked = rank_entries(agent, data_centre, usable)
    chosen = ranked[:count]
    far = [entry for entry in ranked if entry.data_centre != data_centre]
    if count > 1 and far and far[0] not in chosen:
        chosen[-1] = far[0]
    return chosen
