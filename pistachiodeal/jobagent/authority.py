"""What an agent may do: until when leases run, and under which fencing token."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from pistachiodeal.wire.job_messages import TOKENS_GRANTED

# How long runs outlive their agent. A killed agent is back, attached and heard its
# runner's heartbeat after 6 s; a runner that vanished without a trace holds its tasks
# back for as long.
LEASE_S = 8.0
# The runner's clock may be this much slower than ours.
SLOWEST_CLOCK = 0.98


@dataclass(slots=True)
class Lease:
    """The lease of all runs on the worker, and both clocks.

    :param longest_s: the runner cuts longer leases to this.
    :param until: no lease that was ever asked for runs longer, boot clock.
    :param clock_ms: the runner's clock at ``sampled_at`` of ours.
    """

    longest_s: float = LEASE_S
    until: float = 0.0
    clock_ms: int = 0
    sampled_at: float = 0.0

    def sample(self, clock_ms: int, now: float) -> None:
        """Note the runner's clock."""
        if clock_ms > self.clock_ms:
            self.clock_ms, self.sampled_at = clock_ms, now

    def extend(self, now: float, granted_until: float) -> int:
        """Return the end of a new lease on the runner's clock, 0 for no extension."""
        until = min(now + min(LEASE_S, self.longest_s), granted_until)
        if not self.clock_ms or until <= now:
            return 0
        self.until = max(self.until, until)
        # A slow clock reaches a given reading later; so the lease is asked for as if
        # the runner's clock were the slowest allowed, and surely ends by ``until``.
        span_ms = (until - self.sampled_at) * 1000 * SLOWEST_CLOCK
        return self.clock_ms + int(span_ms)


@dataclass(slots=True)
class Authority:
    """What the leader has given this agent.

    :param granted: the lowest of the fencing tokens that it may use.
    :param granted_until: leases may run until then, boot clock.
    :param starts_until: orders of the newest directive may begin until then, boot
        clock: what the leader knew when it decided may be out of date later.
    :param starts: incarnations that were adopted under these tokens.
    """

    epoch: int = 0
    granted: int = 0
    granted_until: float = 0.0
    starts_until: float = inf
    starts: int = 0

    @property
    def token(self) -> int:
        """Return the fencing token for calls now, 0 before the first.

        It rises with each incarnation: orders for an earlier one may still be on their
        way, and a runner that has just started has seen no token yet.
        """
        return self.granted and self.granted + min(self.starts, TOKENS_GRANTED - 1)

    def set_start_limit(self, sent_at: float, starts_ms: int) -> None:
        """Take in until when the orders of a directive may begin.

        :param sent_at: when the report that it answers was sent, boot clock.
        :param starts_ms: counted from then, negative for no limit.
        """
        self.starts_until = sent_at + starts_ms / 1000 if starts_ms >= 0 else inf

    def take_token(self, granted: int) -> None:
        """Take in the lowest token that a directive grants."""
        if granted > self.granted:
            self.granted, self.starts = granted, 0
