"""An entry's view of one agent's runners of one service."""

from __future__ import annotations

import math
from dataclasses import dataclass

SLOW_START_S = 5.0
SLOW_START_SHARE = 0.1
STALE_AFTER_S = 1.5
PENALTY_HALF_LIFE_S = 2.0
PENALTY_LIMIT_PER_SLOT = 4.0
REPORT_WEIGHT = 0.3
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


@dataclass(slots=True)
class Candidate:
    """Load statistics of a target for one service; those from its agent are delayed.

    :param slots: requests that the runners process concurrently.
    :param latency_s: recent latency of the runners, 0 if unknown.
    :param outstanding: open requests of this entry there, always up to date.
    :param other_load: requests there from other entries; a decrease is smoothed.
    :param joined_at: when the target appeared, for its slow start.
    :param refused_until: until then, used only if there is no better target.
    :param failure_penalty: penalty for recent failures, in requests; decays.
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
    other_load: float = 0.0
    chosen_at: float = -math.inf
    refusals: int = 0
    failure_penalty: float = 0.0
    failure_penalty_at: float = 0.0

    def apply_report(
        self, slots: int, busy: int, queued: int, latency_s: float, now: float
    ) -> None:
        """Apply a load report of the agent."""
        if self.slots == 0 and slots > 0:
            self.joined_at = now
        self.slots = slots
        self.busy = busy
        self.queued = queued
        self.latency_s = latency_s
        other_load = float(max(0, busy + queued - self.outstanding))
        falls = self.reported_at <= now and other_load < self.other_load
        # All entries receive the same report at the same time. Without smoothing, all
        # would switch to the target that looked idle, and away again half a second
        # later: load would oscillate between targets and the tail latency would grow.
        # An increase applies immediately, so that no request hits a full target.
        weight = REPORT_WEIGHT if falls else 1.0
        self.other_load += weight * (other_load - self.other_load)
        self.reported_at = now

    def is_doubtful(self, now: float) -> bool:
        """Tell whether the target refused recently, or its reports have stopped."""
        return self.refused_until > now or now - self.reported_at > STALE_AFTER_S

    def compute_load(self, now: float) -> float:
        """Return the known number of requests there, with the failure penalty."""
        load = float(self.outstanding + self.other_load)
        if self.failure_penalty:
            load += self._compute_failure_penalty(now)
        return load

    def compute_utilisation(self, now: float) -> float:
        """Return the utilisation of the slots with one more request.

        A new target counts with fewer slots at first, so that it is not flooded before
        it has warmed up.
        """
        slots = float(self.slots)
        age = now - self.joined_at
        if age < SLOW_START_S:
            slots *= max(SLOW_START_SHARE, age / SLOW_START_S)
        return (self.compute_load(now) + 1.0) / slots

    def record_failure(self, now: float) -> None:
        """Increase the penalty of a target that answered with a failure.

        A target that fails every request immediately is always idle, so it would look
        like the least loaded one and attract all traffic: nearly all requests would
        fail while only one of many targets is broken. A failure therefore counts as
        load for some seconds.
        """
        limit = PENALTY_LIMIT_PER_SLOT * max(1, self.slots)
        self.failure_penalty = min(limit, self._compute_failure_penalty(now) + 1.0)
        self.failure_penalty_at = now

    def record_refusal(self, now: float, retry_after: float, jitter: float) -> None:
        """Back off from the target, twice as long for each further refusal in a row.

        :param retry_after: delay that the agent requests, seconds.
        :param jitter: 0 to 1, so that entries do not return simultaneously.
        """
        pause = MIN_BACKOFF_S * 2 ** min(self.refusals, 10)
        pause = min(MAX_BACKOFF_S, max(pause, retry_after))
        self.refusals += 1
        self.refused_until = now + pause * (0.5 + jitter)

    def record_answer(self) -> None:
        """Reset the backoff: the target accepts requests."""
        self.refusals = 0

    def _compute_failure_penalty(self, now: float) -> float:
        age = now - self.failure_penalty_at
        return self.failure_penalty * 2.0 ** (-age / PENALTY_HALF_LIFE_S)
