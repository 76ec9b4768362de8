"""How long a call of the store may take, learnt from the answers of the last seconds.

The load that this answers: the store is a hundred times slower for some seconds. A
transaction then takes 0.7 s, and 0.3 s more for each one ahead of it in its partition.
With a fixed limit of 1 s nearly none ended: each was given up, carried out all the
same, and sent again behind itself. A fixed limit of several seconds would let every
call on a connection that lost its other end hang for as long, on a store that answers
within 4 ms. So the limit follows the slowest answer of late.
"""

from __future__ import annotations

from pistachiodeal.clock import read_boot_clock

# A store that answers at its usual speed is given up after this long: two hundred times
# what an answer takes, and a third of what a caller waits.
MIN_TIMEOUT_S = 1.0
# Callers wait for 3 s, and leases outlive their leader by 11 s.
MAX_TIMEOUT_S = 2.5
# A transaction waits for up to three others of its partition, and reads, which wait
# for nobody, are what is mostly seen.
SAFETY_FACTOR = 4.0
# An answer counts half as much after this long, so that a second after the store has
# recovered silence is noticed as soon as before.
HALF_LIFE_S = 1.0


class AdaptiveTimeout:
    """Learns from each answer; shared by all calls of one client of the store."""

    def __init__(self) -> None:
        self._slowest_s = 0.0
        self._seen_at = 0.0

    @property
    def timeout_s(self) -> float:
        """Return how long a call that begins now may take, seconds."""
        wanted = SAFETY_FACTOR * self._decay(read_boot_clock())
        return min(max(MIN_TIMEOUT_S, wanted), MAX_TIMEOUT_S)

    def record_latency(self, took_s: float) -> None:
        """Take in an answer, whatever it says."""
        now = read_boot_clock()
        self._slowest_s = max(took_s, self._decay(now))
        self._seen_at = now

    def _decay(self, now: float) -> float:
        return float(self._slowest_s * 0.5 ** ((now - self._seen_at) / HALF_LIFE_S))
