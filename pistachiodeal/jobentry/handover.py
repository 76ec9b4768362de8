"""Transfers leadership to another entry, on a planned stop or to a fitter entry.

Without it, a stopping leader leaves its row vacant and closes its links; each follower
detects that, reads the row and campaigns. That left 0.9 to 1.1 s between two
placements, and 5.3 s where the store was a hundred times slower and the first
campaigner was stopped next. Here the leader writes its successor into the row and, once
the successor leads, sends its address to all peers.
"""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.events import EventLog
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.leader.election import Election
from pistachiodeal.leader.fitness import HANDOVER_FITNESS_RATIO, is_below_minimum

log = Logger("handover")

# How often a leader checks whether it should make way for a fitter follower.
CHECK_INTERVAL_S = 1.0
# A successor has to read its row, which takes long if the store is slow, and dial this
# process. One that doesn't do so in this time has failed, and the others detect that
# by the row.
SUCCESSOR_TIMEOUT_S = 1.5
POLL_S = 0.01


class HandOver:
    """Transfers leadership to the fittest follower.

    :param fitness: fitness of this process.
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
        """Transfer leadership to a much fitter follower when stable; run for ever.

        On a large fleet a weak leader schedules slowly, while entries with several
        times its fitness only follow.
        """
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            leadership = self._peer_server.leadership
            follower = self._peer_server.find_fittest()
            if leadership is None or follower is None or not leadership.stable:
                continue
            fitter = (
                follower.candidate.fitness >= HANDOVER_FITNESS_RATIO * self._fitness
            )
            if is_below_minimum(self._fitness) and fitter:
                await self.transfer_leadership("a fitter entry follows")

    async def leave(self) -> bool:
        """Stop leading for good; return False if no follower could take over."""
        await self._election.stop_campaigning()
        if self._peer_server.leadership is None:
            return True
        return await self.transfer_leadership("this entry is stopping")

    async def transfer_leadership(self, why: str) -> bool:
        """Transfer leadership to the fittest follower; return whether it was done."""
        leadership = self._peer_server.leadership
        follower = self._peer_server.find_fittest()
        if leadership is None or follower is None:
            return False
        leadership.pause()
        epoch = await self._election.hand_over(follower.candidate)
        if not epoch:
            await leadership.resume()
            return False
        self._events.emit(
            "leader.handed_over", epoch=epoch, to=follower.candidate.node, why=why
        )
        await self._peer_server.appoint(follower, epoch)
        await curio.ignore_after(SUCCESSOR_TIMEOUT_S, self._wait_for_successor)
        await self._peer_server.yield_leadership(epoch)
        return True

    async def _wait_for_successor(self) -> None:
        """Wait until the successor has notified this process that it leads."""
        while self._peer_server.leadership is not None:
            await curio.sleep(POLL_S)
