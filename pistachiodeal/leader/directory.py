"""Addresses of the entries and of the leader, as other processes report them."""

from __future__ import annotations

from pistachiodeal.addresses import is_address
from pistachiodeal.clock import read_boot_clock
from pistachiodeal.wire.job_messages import Label, LeaderNotice

# A leader sends a notice every 0.25 s. A process that received none for this long has
# probably lost the leader too and can't confirm that it is alive.
LEADER_SILENCE_LIMIT_S = 0.8
# Maximum number of addresses: more than the entries of a deployment of 28,000 workers.
# The bound is needed because VMs are replaced, and addresses change, over years.
MAX_ENTRIES = 512


class Directory:
    """Known addresses of entries, and the newest known leader.

    :param seeds: addresses from the settings, which may be stale.
    """

    def __init__(self, seeds: tuple[str, ...]) -> None:
        self._entries: dict[str, float] = dict.fromkeys(seeds, 0.0)
        self._epoch = 0
        self._leader = ""
        self._store_seen_at = 0.0
        self._heard_at = 0.0
        self._revision = 1

    @property
    def revision(self) -> int:
        """Return a number that increases with each change of the list of entries."""
        return self._revision

    @property
    def epoch(self) -> int:
        """Return the highest known epoch."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Return the leader's address, empty if none is known."""
        return self._leader

    def update_leader(self, epoch: int, address: str) -> None:
        """Record the leader of an epoch, unless a newer epoch is known."""
        if epoch > self._epoch:
            self._store_seen_at = self._heard_at = 0.0
        if epoch >= self._epoch:
            self._epoch, self._leader = epoch, address
        self.update_entry(address)

    def update_entry(self, address: str) -> None:
        """Record an entry as the most recently seen one, unless it can't be reached."""
        if not is_address(address):
            return
        if self._entries.pop(address, None) is None:
            self._revision += 1
        self._entries[address] = read_boot_clock()
        while len(self._entries) > MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def apply_notice(self, notice: LeaderNotice) -> None:
        """Record what a notice says of the entries and of the leader."""
        for entry in notice.entries:
            if entry.text not in self._entries:
                self.update_entry(entry.text)
        if not is_address(notice.address) or notice.epoch < self._epoch:
            return
        self.update_leader(notice.epoch, notice.address)
        now = read_boot_clock()
        seen_at = now - notice.store_age_ms / 1000
        self._store_seen_at = max(self._store_seen_at, seen_at)
        self._heard_at = max(self._heard_at, now - notice.heard_ms / 1000)

    def mark_unreachable(self, address: str) -> None:
        """Record that an address gave no handshake; if it leads, it is not heard."""
        if address == self._leader:
            self._heard_at = 0.0

    def list_others(self, *without: str) -> list[str]:
        """Return the entries except those given, the most recently seen one first."""
        return [one for one in reversed(self._entries) if one not in without]

    def build_notice(
        self, store_age_ms: int | None = None, *, with_entries: bool = True
    ) -> LeaderNotice:
        """Return a notice that names the leader, to send to another process.

        :param store_age_ms: if this process leads, the time since the store confirmed
            it. By default, the last value received from the leader plus the time since.
        :param with_entries: whether to include the addresses of the entries.
        """
        heard_ms = 0
        if store_age_ms is None:
            now = read_boot_clock()
            heard_ms = int((now - self._heard_at) * 1000)
            store_age_ms = int((now - self._store_seen_at) * 1000)
        entries = tuple(Label(one) for one in self._entries) if with_entries else ()
        return LeaderNotice(self._epoch, self._leader, store_age_ms, entries, heard_ms)


def hears_leader(notice: LeaderNotice) -> bool:
    """Tell whether the sender of a notice has recently heard the leader it names."""
    return bool(notice.address) and notice.heard_ms < LEADER_SILENCE_LIMIT_S * 1000
