"""A circuit breaker that fails store calls fast while the store is down or slow.

Michael Nygard, *Release It!*, "Circuit Breaker". It opens on consecutive failures
and, since a slow store hurts callers as much as one that is down, on calls that
stay in flight too long. Recovery is jittered; it admits one concurrent call at first
and one more for each success, so that a recovered store meets no burst of calls.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum

import logbook

from pistachiodeal.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)

log = logbook.Logger("pistachiodeal.store")

FAILURE_THRESHOLD = 3
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
LATENCY_WEIGHT = 0.1
SLOW_FACTOR = 4.0
MAX_CALLS = 512
CLOSING_ALLOWANCE = 32


class BreakerState(StrEnum):
    """States of a breaker."""

    CLOSED = "closed"
    OPEN = "open"
    RECOVERING = "recovering"


@dataclass(eq=False, slots=True)
class _Call:
    started_at: float
    generation: int


class Breaker:
    """Monitors the calls to one store and refuses new ones while it fails or is slow.

    :param timeout: seconds after which a call to the store times out.
    :param connections: concurrent calls of the store's client; when that many are
        slow, a further call would only queue behind them.
    """

    def __init__(
        self,
        peer: str,
        timeout: float,
        connections: int,
        clock: Callable[[], float],
        jitter: Callable[[], float],
    ) -> None:
        self._peer = peer
        self._timeout = timeout
        self._connections = connections
        self._clock = clock
        self._jitter = jitter
        self._state = BreakerState.CLOSED
        self._calls: dict[_Call, None] = {}
        self._generation = 0
        self._failures = 0
        self._reopen_count = 0
        self._open_until = 0.0
        self._allowance = 0
        self._typical_s = 0.0

    @property
    def state(self) -> BreakerState:
        """Return the state."""
        return self._state

    @property
    def slow_s(self) -> float:
        """Return the age from which a call counts as slow, in seconds.

        It is a multiple of the store's usual latency, between a quarter and a half
        of the time-out.
        """
        usual = SLOW_FACTOR * self._typical_s
        return min(max(usual, self._timeout / 4), self._timeout / 2)

    @contextmanager
    def watch(self, step: str) -> Iterator[None]:
        """Monitor one call, made inside the block.

        :raises StoreUnavailableError: refused; the call must not be made.
        """
        call = self._begin(step)
        try:
            yield
        except (StoreUnavailableError, StoreUncertainError):
            self._end(call, failed=True)
            raise
        except StoreError:
            # The store rejected the request, so it is healthy.
            self._end(call, failed=False)
            raise
        except BaseException:
            self._cancel(call)
            raise
        else:
            self._end(call, failed=False)

    def _begin(self, step: str) -> _Call:
        now = self._clock()
        if self._state is BreakerState.CLOSED and self._is_saturated(now):
            self._open(now, "calls in flight are slow")
        self._admit(now, step)
        call = _Call(now, self._generation)
        self._calls[call] = None
        return call

    def _admit(self, now: float, step: str) -> None:
        if len(self._calls) >= MAX_CALLS:
            raise self._refuse("too many store calls in flight", step, self._pause())
        if self._state is BreakerState.CLOSED:
            return
        if self._state is BreakerState.OPEN:
            if now < self._open_until:
                wait = self._open_until - now
                raise self._refuse("the circuit breaker is open", step, wait)
            self._start_recovery()
        if self._count_current() >= self._allowance:
            raise self._refuse("the store is recovering", step, self._pause())

    def _end(self, call: _Call, failed: bool) -> None:
        now = self._clock()
        age = now - call.started_at
        del self._calls[call]
        if call.generation != self._generation:
            # The call began before the breaker last opened, so its result is outdated.
            return
        if failed:
            self._record_failure(now, "calls failed")
        elif age > self.slow_s:
            self._record_slow(now, "calls were slow")
        else:
            self._record_success(age)

    def _cancel(self, call: _Call) -> None:
        """End a cancelled call; only its age says anything about the store."""
        now = self._clock()
        del self._calls[call]
        slow = now - call.started_at > self.slow_s
        if slow and call.generation == self._generation:
            self._record_slow(now, "slow calls were cancelled")

    def _record_success(self, age: float) -> None:
        self._failures = 0
        self._typical_s += LATENCY_WEIGHT * (age - self._typical_s)
        if self._state is BreakerState.RECOVERING:
            self._raise_allowance()

    def _record_slow(self, now: float, reason: str) -> None:
        if self._state is BreakerState.RECOVERING:
            # A store that is slow but answers still gets a few concurrent calls;
            # otherwise nothing at all would be written while it is slow.
            self._allowance = max(1, self._allowance // 2)
            return
        self._record_failure(now, reason)

    def _record_failure(self, now: float, reason: str) -> None:
        self._failures += 1
        recovering = self._state is BreakerState.RECOVERING
        if recovering or self._failures >= FAILURE_THRESHOLD:
            self._open(now, reason)

    def _open(self, now: float, reason: str) -> None:
        pause = self._pause()
        self._reopen_count += 1
        self._state = BreakerState.OPEN
        self._open_until = now + pause
        self._generation += 1
        self._failures = 0
        log.notice(
            "store: circuit breaker of {} opens for {:.2f} s: {}",
            self._peer,
            pause,
            reason,
        )

    def _start_recovery(self) -> None:
        self._state = BreakerState.RECOVERING
        self._allowance = 1

    def _raise_allowance(self) -> None:
        self._allowance += 1
        if self._allowance < CLOSING_ALLOWANCE:
            return
        self._state = BreakerState.CLOSED
        self._reopen_count = 0
        log.notice("store: circuit breaker of {} is closed again", self._peer)

    def _pause(self) -> float:
        pause = min(INITIAL_PAUSE_S * 2.0**self._reopen_count, MAX_PAUSE_S)
        return pause * (0.5 + self._jitter())

    def _is_saturated(self, now: float) -> bool:
        """Tell whether slow calls occupy all connections of the client."""
        if len(self._calls) < self._connections:
            return False
        begun = now - self.slow_s
        generation = self._generation
        slow = sum(
            call.generation == generation and call.started_at < begun
            for call in self._calls
        )
        return slow >= self._connections

    def _count_current(self) -> int:
        generation = self._generation
        return sum(call.generation == generation for call in self._calls)

    def _refuse(self, detail: str, step: str, wait: float) -> StoreUnavailableError:
        return StoreUnavailableError(
            detail, step=step, peer=self._peer, retry_after=wait
        )


def create_breaker(
    peer: str,
    *,
    timeout: float,
    connections: int,
    clock: Callable[[], float] = time.monotonic,
    jitter: Callable[[], float] = random.random,
) -> Breaker:
    """Return a closed breaker; ``jitter`` returns a random number in [0, 1)."""
    return Breaker(peer, timeout, connections, clock, jitter)
