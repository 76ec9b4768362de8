"""Selection of the entries that an agent keeps links to."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from pistachiodeal.agent.directory import MergedDirectory, choose_entries
from pistachiodeal.agent.peers import EntryPeer
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import AgentSettings

FAILURES_BEFORE_SUBSTITUTE = 2

Peers = Mapping[str, EntryPeer]


class EntrySelector:
    """Selects a few entries for requests, and the owners of this worker's runs."""

    def __init__(
        self,
        settings: AgentSettings,
        directory: MergedDirectory,
        list_needed_partitions: Callable[[], set[int]],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._list_needed_partitions = list_needed_partitions
        self._clock = clock

    def choose(self, peers: Peers) -> set[str]:
        """Return the addresses of the entries that the agent should be linked to.

        :param peers: the entries that are linked or being dialled, by address.
        """
        count = self._settings.entry_links
        agent = self._settings.node
        data_centre = self._settings.data_centre
        entries = self._directory.entries
        first = choose_entries(agent, data_centre, entries, count)
        # A selected entry that is down or shutting down is still dialled; a
        # substitute keeps the number of usable links constant meanwhile.
        avoided = self._list_avoided(peers)
        second = choose_entries(agent, data_centre, entries, count, avoided)
        wanted = {entry.address for entry in (*first, *second)}
        wanted |= self._list_owner_addresses()
        if not any(peer.link for peer in peers.values()):
            # All entries may have been replaced while this agent was partitioned
            # from them; then only the addresses from the settings are of use.
            wanted |= self._choose_seeds(peers, count)
        return wanted

    def _list_avoided(self, peers: Peers) -> set[str]:
        now = self._clock()
        return {
            peer.address
            for peer in peers.values()
            if peer.failures >= FAILURES_BEFORE_SUBSTITUTE or peer.avoid_until > now
        }

    def _list_owner_addresses(self) -> set[str]:
        owners = map(self._directory.get_owner, self._list_needed_partitions())
        return {owner.address for owner in owners if owner and owner.address}

    def _choose_seeds(self, peers: Peers, count: int) -> set[str]:
        known = [a for a in self._settings.entries if a in peers]
        if len(known) >= min(count, len(self._settings.entries)):
            return set(known)
        seeds = self._settings.entries
        return set(known) | set(random.sample(seeds, min(count, len(seeds))))
