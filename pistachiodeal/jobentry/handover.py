"""Gives the lead to another entry: at a planned stop, or to one that is fitter.

What goes wrong without it: a leader that stops leaves its row vacant and closes its
links; each follower finds that out, reads the row, and campaigns. Between two
placements 0.9 to 1.1 s passed, and 5.3 s where the store was a hundred times slower and
the first to campaign was stopped next. Here the leader itself writes its successor into
the row, and tells everybody where to go once the successor leads.
"""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.events import EventLog
from pistachiodeal.jobentry.seat import PeerServer
from pistachiodeal.leader.election import Election
from pistachiodeal.leader.fitness import MUCH_FITTER, is_weak

log = Logger("handover")

# How often a weak leader looks for a fitter follower.
CHECK_INTERVAL_S = 1.0
# A successor has to read its row and to dial this process, which is slow where the
# store is; one that doesn't in this time is gone, and the row says so to others.
SUCCESSOR_TIMEOUT_S = 1.5
POLL_S = 0.01


class HandOver:
    """Gives the lead away.

    :param fitness: of this process.
    """

    def __init__(
        self,
        peer_server: PeerServer,
        election: Election,
        events: EventLog,
        fitness: float,
    ) -> None:
        self._peer_server = peer_server
        self._election = election
        self._events = events
        self._fitness = fitness

    async def run(self) -> None:
        """Make way for a fitter follower in a calm moment, for ever.

        On a large fleet a weak leader is slow to decide, while entries with several
        times as much only follow.
        """
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            leadership = self._peer_server.leadership
            follower = self._peer_server.find_fittest()
            if leadership is None or follower is None or not leadership.calm:
                continue
            fitter = follower.holder.fitness >= MUCH_FITTER * self._fitness
            if is_weak(self._fitness) and fitter:
                await self.transfer_leadership("a fitter entry follows")

    async def leave(self) -> bool:
        """Stop leading, and never lead again; False if nobody could take over."""
        await self._election.retire()
        if self._peer_server.leadership is None:
            return True
        return await self.transfer_leadership("this entry is stopping")

    async def transfer_leadership(self, why: str) -> bool:
        """Hand over to the fittest follower; tell whether it was done."""
        leadership = self._peer_server.leadership
        follower = self._peer_server.find_fittest()
        if leadership is None or follower is None:
            return False
        leadership.pause()
        epoch = await self._election.hand_over(follower.holder)
        if not epoch:
            await leadership.go_on()
            return False
        self._events.emit(
            "leader.handed_over", epoch=epoch, to=follower.holder.node, why=why
        )
        await self._peer_server.appoint(follower, epoch)
        await curio.ignore_after(SUCCESSOR_TIMEOUT_S, self._wait_for_successor)
        await self._peer_server.yield_leadership(epoch)
        return True

    async def _wait_for_successor(self) -> None:
        """Wait until the successor has told this process that it leads."""
        while self._peer_server.leadership is not None:
            await curio.sleep(POLL_S)
