"""Where entries are, and which of them leads, as far as a process has heard."""

from __future__ import annotations

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.wire.job_messages import Label, LeaderNotice

# A leader sends a notice every 0.25 s; a process that heard none for this long has
# likely lost it too, and is no witness that it lives.
HEARD_LIMIT_S = 0.8
# Addresses kept: more entries than a deployment of 28,000 workers has, bounded all the
# same, as VMs are replaced for years.
MOST_ENTRIES = 512


class Directory:
    """Addresses of entries.

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
        """Return a number that rises with each change of the list of entries."""
        return self._revision

    @property
    def epoch(self) -> int:
        """Return the highest epoch heard of."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Return the leader's address, empty while none is known."""
        return self._leader

    def note_leader(self, epoch: int, address: str) -> None:
        """Take in who leads; an older epoch changes nothing."""
        if epoch > self._epoch:
            self._store_seen_at = self._heard_at = 0.0
        if epoch >= self._epoch:
            self._epoch, self._leader = epoch, address
        self.note_entry(address)

    def note_entry(self, address: str) -> None:
        """Take in that an entry was heard of."""
        if not address:
            return
        if self._entries.pop(address, None) is None:
            self._revision += 1
        self._entries[address] = read_boot_clock()
        while len(self._entries) > MOST_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def apply_notice(self, notice: LeaderNotice) -> None:
        """Take in what an entry says."""
        for entry in notice.entries:
            if entry.text not in self._entries:
                self.note_entry(entry.text)
        if not notice.address or notice.epoch < self._epoch:
            return
        self.note_leader(notice.epoch, notice.address)
        now = read_boot_clock()
        seen_at = now - notice.store_age_ms / 1000
        self._store_seen_at = max(self._store_seen_at, seen_at)
        self._heard_at = max(self._heard_at, now - notice.heard_ms / 1000)

    def note_unreachable(self, address: str) -> None:
        """Take in that a process gave no handshake; it is not heard any more."""
        if address == self._leader:
            self._heard_at = 0.0

    def list_others(self, *without: str) -> list[str]:
        """Return the other entries, the one heard of last first."""
        return [one for one in reversed(self._entries) if one not in without]

    def build_notice(
        self, store_age_ms: int | None = None, *, with_entries: bool = True
    ) -> LeaderNotice:
        """Return what to tell a process that asks.

        :param store_age_ms: the leader's, if this process leads; else what was heard
            from the leader last, aged since.
        """
        heard_ms = 0
        if store_age_ms is None:
            now = read_boot_clock()
            heard_ms = int((now - self._heard_at) * 1000)
            store_age_ms = int((now - self._store_seen_at) * 1000)
        entries = tuple(Label(one) for one in self._entries) if with_entries else ()
        return LeaderNotice(self._epoch, self._leader, store_age_ms, entries, heard_ms)


def hears_leader(notice: LeaderNotice) -> bool:
    """Tell whether the sender of a notice hears the leader that it names."""
    return bool(notice.address) and notice.heard_ms < HEARD_LIMIT_S * 1000
