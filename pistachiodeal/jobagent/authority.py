"""The leases that an agent may grant, and the fencing token that it uses."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from pistachiodeal.wire.job_messages import TOKENS_GRANTED

# How long runs may continue without their agent. A killed agent takes 6 s to restart,
# attach to the leader and receive its runner's heartbeat. A longer lease would delay
# the tasks of a runner that vanished without notice, which wait until it expires.
LEASE_S = 8.0
# The slowest rate of the runner's clock relative to the agent's.
SLOWEST_CLOCK = 0.98


@dataclass(slots=True)
class Lease:
    """The lease of all runs on the worker, and the offset of the runner's clock.

    :param longest_s: the runner shortens longer leases to this, seconds.
    :param until: latest end of all leases granted so far, also by the agent's former
        process, seconds of the boot clock.
    :param clock_ms: the runner's clock at ``sampled_at``, milliseconds.
    :param sampled_at: when ``clock_ms`` was read, seconds of the boot clock.
    """

    longest_s: float = LEASE_S
    until: float = 0.0
    clock_ms: int = 0
    sampled_at: float = 0.0

    @property
    def span_s(self) -> float:
        """Return how long a lease lasts at most, seconds."""
        return min(LEASE_S, self.longest_s)

    def sample(self, clock_ms: int, now: float) -> None:
        """Record a reading of the runner's clock."""
        if clock_ms > self.clock_ms:
            self.clock_ms, self.sampled_at = clock_ms, now

    def extend(self, now: float, granted_until: float) -> int:
        """Return the end of a new lease on the runner's clock, 0 if there is none."""
        until = min(now + self.span_s, granted_until)
        if not self.clock_ms or until <= now:
            return 0
        self.until = max(self.until, until)
        # A slow clock reaches a given reading later. The end is computed for the
        # slowest clock allowed, so that the lease has ended by ``until`` in any case.
        span_ms = (until - self.sampled_at) * 1000 * SLOWEST_CLOCK
        return self.clock_ms + int(span_ms)


@dataclass(slots=True)
class Authority:
    """What the leader permits this agent.

    :param epoch: the highest epoch of a leader that has sent a directive.
    :param granted: the lowest of the fencing tokens that the agent may use.
    :param granted_until: leases may last until then, seconds of the boot clock.
    :param starts_until: orders of the newest directive may be started until then,
        seconds of the boot clock; after that, the knowledge on which the leader decided
        may be out of date.
    :param token_increments: how often the token was raised since the last grant, for
        each incarnation that was adopted or verified.
    """

    epoch: int = 0
    granted: int = 0
    granted_until: float = 0.0
    starts_until: float = inf
    token_increments: int = 0

    @property
    def token(self) -> int:
        """Return the fencing token for calls, 0 before the leader has granted one.

        It increases with each incarnation: orders for an earlier one may still be in
        transit, and a runner that has just started has not seen any token.
        """
        return self.granted and self.granted + min(
            self.token_increments, TOKENS_GRANTED - 1
        )

    def set_start_limit(self, sent_at: float, starts_ms: int) -> None:
        """Set the time until which orders of a directive may be started.

        :param sent_at: when the report that the directive answers was sent, seconds of
            the boot clock.
        :param starts_ms: milliseconds after ``sent_at``, negative for no limit.
        """
        self.starts_until = sent_at + starts_ms / 1000 if starts_ms >= 0 else inf

    def set_token(self, granted: int) -> None:
        """Set the lowest token that a directive grants, if it is higher than before."""
        if granted > self.granted:
            self.granted, self.token_increments = granted, 0
