"""Asks other entries whether they still hear a leader that this entry has lost."""

from __future__ import annotations

import random

from pistachiodeal.leader.directory import hears_leader
from pistachiodeal.leader.leader_row import LeaderRow
from pistachiodeal.peers import PeerContext, query_leader

# A leader writes or reads its row at least every 0.65 s. A greater age than this means
# that the store refuses the leader or answers slowly.
STORE_AGE_LIMIT_S = 1.4
# A probe ends after this many answers. If each entry asked all others, the loss of a
# leader would cost a number of calls quadratic in the number of entries: over a
# thousand for 35 entries.
MAX_ANSWERS = 5


async def probe_leader_via_peers(peers: PeerContext, row: LeaderRow) -> bool | None:
    """Tell whether another entry hears a row's leader, None if no entry answers."""
    answered = 0
    others = peers.directory.list_others(peers.address, row.address)
    random.shuffle(others)
    for address in others:
        notice = await query_leader(peers, address)
        if notice is None:
            continue
        fresh = notice.store_age_ms < STORE_AGE_LIMIT_S * 1000
        if notice.epoch >= row.epoch and hears_leader(notice) and fresh:
            return True
        answered += 1
        if answered == MAX_ANSWERS:
            break
    return False if answered else None
