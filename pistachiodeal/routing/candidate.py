"""One agent's runners of one service, as an entry sees them."""

from __future__ import annotations

import math
from dataclasses import dataclass

SLOW_START_S = 5.0
SLOW_START_SHARE = 0.1
STALE_AFTER_S = 1.5
DEBT_HALF_LIFE_S = 2.0
DEBT_LIMIT_PER_SLOT = 4.0
REPORT_WEIGHT = 0.3
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0


@dataclass(slots=True)
class Candidate:
    """Figures of a target for one service; late where the agent reports them.

    :param slots: requests that the runners take at once.
    :param latency_s: recent latency of the runners, 0 when not known.
    :param outstanding: requests of this entry that are open there, counted at once.
    :param elsewhere: work there that other entries sent; a fall counts by and by.
    :param joined_at: when the target appeared, by which it starts slowly.
    :param refused_until: taken only when nothing better is left before this time.
    :param debt: penalty for recent failures, in requests; decays.
    """

    node: str
    data_centre: str
    slots: int = 0
    busy: int = 0
    queued: int = 0
    latency_s: float = 0.0
    outstanding: int = 0
    joined_at: float = -math.inf
    refused_until: float = -math.inf
    reported_at: float = math.inf
    elsewhere: float = 0.0
    chosen_at: float = -math.inf
    refusals: int = 0
    debt: float = 0.0
    debt_at: float = 0.0

    def apply_report(
        self, slots: int, busy: int, queued: int, latency_s: float, now: float
    ) -> None:
        """Take over the agent's figures."""
        if self.slots == 0 and slots > 0:
            self.joined_at = now
        self.slots = slots
        self.busy = busy
        self.queued = queued
        self.latency_s = latency_s
        elsewhere = float(max(0, busy + queued - self.outstanding))
        falls = self.reported_at <= now and elsewhere < self.elsewhere
        # Every entry gets the same report in the same instant. Taken at its word it
        # turns them all to the target that looked idle, and half a second later all
        # away again: one would see load swing between targets and the tail grow.
        # A rise is believed at once, so that nobody runs into a full target.
        weight = REPORT_WEIGHT if falls else 1.0
        self.elsewhere += weight * (elsewhere - self.elsewhere)
        self.reported_at = now

    def is_doubtful(self, now: float) -> bool:
        """Tell whether the target refused just now, or has fallen silent."""
        return self.refused_until > now or now - self.reported_at > STALE_AFTER_S

    def compute_load(self, now: float) -> float:
        """Return the requests there, as far as known, with the failure penalty."""
        load = float(self.outstanding + self.elsewhere)
        if self.debt:
            load += self._compute_debt(now)
        return load

    def compute_utilisation(self, now: float) -> float:
        """Return the share of the slots in use once one more request is there.

        A new target counts with few slots at first, so that it is not flooded
        before it has warmed up.
        """
        slots = float(self.slots)
        age = now - self.joined_at
        if age < SLOW_START_S:
            slots *= max(SLOW_START_SHARE, age / SLOW_START_S)
        return (self.compute_load(now) + 1.0) / slots

    def note_failure(self, now: float) -> None:
        """Add to the penalty of a target that answered with a failure.

        A target that fails everything at once is always idle, so it would look
        like the least loaded one and draw all traffic. One would see the rate of
        failures rise to nearly all requests while one target of many is broken.
        A failure therefore counts as load for some seconds.
        """
        limit = DEBT_LIMIT_PER_SLOT * max(1, self.slots)
        self.debt = min(limit, self._compute_debt(now) + 1.0)
        self.debt_at = now

    def note_refusal(self, now: float, retry_after: float, jitter: float) -> None:
        """Avoid the target for a time that doubles with each refusal in a row.

        :param retry_after: what the agent asks for, seconds.
        :param jitter: 0 to 1, so that entries do not come back together.
        """
        pause = FIRST_BACKOFF_S * 2 ** min(self.refusals, 10)
        pause = min(LONGEST_BACKOFF_S, max(pause, retry_after))
        self.refusals += 1
        self.refused_until = now + pause * (0.5 + jitter)

    def note_answer(self) -> None:
        """Forget earlier refusals: the target takes requests."""
        self.refusals = 0

    def _compute_debt(self, now: float) -> float:
        age = now - self.debt_at
        return self.debt * 2.0 ** (-age / DEBT_HALF_LIFE_S)
