"""When a caller that is turned away should come back.

The load that this answers: the store is away for 4 to 9 s, and callers try a handful
of times. Told to come back each second, they have used up their tries before it is
back. How long an outage still lasts is not known; as long as it has lasted already is
the best guess for outages whose lengths differ a lot. So four tries reach over 8 s.
"""

from __future__ import annotations

import random

# An HTTP header gives whole seconds, and a first try elsewhere is worth making soon.
SHORTEST_S = 1.0
# Beyond this, a caller would still wait when the store has long been back.
LONGEST_S = 8.0
# Callers that were turned away together come back over this share of their wait, so
# that they are no wave.
SPREAD = 0.3


def choose_retry_after_s(away_s: float, dice: random.Random) -> float:
    """Return the seconds after which a caller should come back.

    :param away_s: for how long what it needs has been away.
    """
    wait_s = min(LONGEST_S, max(SHORTEST_S, away_s))
    return wait_s * dice.uniform(1.0, 1.0 + SPREAD)
