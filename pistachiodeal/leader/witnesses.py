"""Whether other entries hear the leader that this one has lost."""

from __future__ import annotations

import random

from pistachiodeal.leader.directory import is_heard
from pistachiodeal.leader.leader_row import LeaderRow
from pistachiodeal.peers import PeerContext, query_leader

# A leader writes or looks at its row every 0.65 s at most: an age above this means that
# the store refuses the leader, or that its answers take long.
STORE_AGE_LIMIT_S = 1.4
# So many entries are asked whether they hear the leader. With all of them asked, its
# loss would cost calls by the square of their number: over a thousand for 35 entries.
WITNESSES = 5


async def ask_witnesses(peers: PeerContext, row: LeaderRow) -> bool | None:
    """Tell whether another entry hears the leader of a row; None if none answers."""
    answered = 0
    others = peers.directory.list_others(peers.address, row.address)
    random.shuffle(others)
    for address in others:
        notice = await query_leader(peers, address)
        if notice is None:
            continue
        fresh = notice.store_age_ms < STORE_AGE_LIMIT_S * 1000
        if notice.epoch >= row.epoch and is_heard(notice) and fresh:
            return True
        answered += 1
        if answered == WITNESSES:
            break
    return False if answered else None
