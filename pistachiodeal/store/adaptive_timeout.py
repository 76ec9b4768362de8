"""A time-out for store calls that follows the latency of recent answers.

A store that is a hundred times slower for some seconds needs 0.7 s for a transaction,
and 0.3 s more for each one ahead of it in its partition. With a fixed time-out of 1 s,
nearly every transaction timed out, was carried out all the same, and was sent again to
queue behind itself. A fixed time-out of several seconds would make each call on a dead
connection hang for that long, on a store that normally answers within 4 ms. Therefore
the time-out is a multiple of the slowest recent answer.
"""

from __future__ import annotations

from pistachiodeal.clock import read_boot_clock

# Time-out at the store's usual speed: two hundred times the usual latency, and a third
# of the time that a caller waits.
MIN_TIMEOUT_S = 1.0
# Callers wait for 3 s, and leases run for 11 s after their leader has gone.
MAX_TIMEOUT_S = 2.5
# A transaction queues behind up to three others of its partition, while most observed
# latencies are those of reads, which don't queue.
SAFETY_FACTOR = 4.0
# The weight of a latency halves in this time, so that about a second after the store
# has recovered a dead connection is detected as quickly as before.
HALF_LIFE_S = 1.0


class AdaptiveTimeout:
    """Derives the time-out from latencies; shared by all calls of one store client."""

    def __init__(self) -> None:
        self._slowest_s = 0.0
        self._seen_at = 0.0

    @property
    def timeout_s(self) -> float:
        """Return the time-out of a call that begins now, seconds."""
        wanted = SAFETY_FACTOR * self._decay(read_boot_clock())
        return min(max(MIN_TIMEOUT_S, wanted), MAX_TIMEOUT_S)

    def record_latency(self, took_s: float) -> None:
        """Record the latency of an answer, successful or not."""
        now = read_boot_clock()
        self._slowest_s = max(took_s, self._decay(now))
        self._seen_at = now

    def _decay(self, now: float) -> float:
        return float(self._slowest_s * 0.5 ** ((now - self._seen_at) / HALF_LIFE_S))
