"""The circuit breaker, with a simulated clock."""

from __future__ import annotations

import pytest

from pistachiodeal.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.store.breaker import (
    CLOSING_ALLOWANCE,
    FAILURE_THRESHOLD,
    MAX_PAUSE_S,
    Breaker,
    BreakerState,
    create_breaker,
)
from tests.unit.fakes import Clock

CONNECTIONS = 2
TIMEOUT_S = 1.0


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def breaker(clock: Clock) -> Breaker:
    return create_breaker(
        "store",
        timeout=TIMEOUT_S,
        connections=CONNECTIONS,
        clock=clock,
        jitter=lambda: 0.5,
    )


def fail(breaker: Breaker, error: StoreError) -> None:
    with pytest.raises(type(error)), breaker.watch("step"):
        raise error


def open_by_failures(breaker: Breaker) -> None:
    for _ in range(FAILURE_THRESHOLD):
        fail(breaker, StoreUncertainError("late"))
    assert breaker.state is BreakerState.OPEN


def succeed(breaker: Breaker, clock: Clock, seconds: float = 0.001) -> None:
    with breaker.watch("step"):
        clock.now += seconds


def test_opens_on_consecutive_failures_and_refuses_with_the_remaining_time(
    breaker: Breaker, clock: Clock
) -> None:
    open_by_failures(breaker)
    with pytest.raises(StoreUnavailableError) as refused, breaker.watch("step"):
        pytest.fail("the call was made")
    wait = refused.value.retry_after
    assert 0 < wait <= MAX_PAUSE_S
    clock.now += wait
    succeed(breaker, clock)
    assert breaker.state is BreakerState.RECOVERING


def test_refused_requests_do_not_open_it(breaker: Breaker) -> None:
    for _ in range(10 * FAILURE_THRESHOLD):
        fail(breaker, StoreError("malformed"))
    assert breaker.state is BreakerState.CLOSED


def test_slow_store_does_not_make_callers_wait(breaker: Breaker, clock: Clock) -> None:
    """With a hanging store, every caller waited for the whole time-out.

    The breaker counted only calls that had ended. While hanging calls occupy all
    connections and none has failed yet, only their age shows the problem.
    """
    stuck = [breaker.watch("step") for _ in range(CONNECTIONS)]
    for call in stuck:
        call.__enter__()
    clock.now += TIMEOUT_S / 2 + 0.01
    with pytest.raises(StoreUnavailableError), breaker.watch("step"):
        pytest.fail("the call was made")
    assert breaker.state is BreakerState.OPEN


def test_recovery_admits_few_calls_at_first(breaker: Breaker, clock: Clock) -> None:
    """A recovered store failed again at once under a burst of calls.

    The breaker closed at the first success, and all waiting callers called at the same
    moment.
    """
    open_by_failures(breaker)
    clock.now += MAX_PAUSE_S
    with breaker.watch("probe"):
        with pytest.raises(StoreUnavailableError), breaker.watch("second"):
            pytest.fail("two calls at once")
    for _ in range(CLOSING_ALLOWANCE):
        succeed(breaker, clock)
    assert breaker.state is BreakerState.CLOSED


def test_failed_probe_waits_longer(breaker: Breaker, clock: Clock) -> None:
    open_by_failures(breaker)
    pauses = []
    for _ in range(6):
        with pytest.raises(StoreUnavailableError) as refused, breaker.watch("step"):
            pytest.fail("the call was made")
        pauses.append(refused.value.retry_after)
        clock.now += refused.value.retry_after
        fail(breaker, StoreUnavailableError("down"))
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[-1] <= MAX_PAUSE_S


def test_late_failure_of_an_older_call_does_not_reopen_it(
    breaker: Breaker, clock: Clock
) -> None:
    """The breaker never closed although the store was healthy.

    A call that hung before the breaker opened timed out during the recovery, and its
    failure was counted against the later calls.
    """
    stuck = breaker.watch("step")
    stuck.__enter__()
    open_by_failures(breaker)
    clock.now += MAX_PAUSE_S
    succeed(breaker, clock)
    error = StoreUncertainError("late")
    assert not stuck.__exit__(type(error), error, None)
    assert breaker.state is BreakerState.RECOVERING


def test_slow_answers_keep_a_recovering_store_to_few_calls(
    breaker: Breaker, clock: Clock
) -> None:
    open_by_failures(breaker)
    clock.now += MAX_PAUSE_S
    for _ in range(3 * FAILURE_THRESHOLD):
        succeed(breaker, clock, TIMEOUT_S * 0.9)
    assert breaker.state is BreakerState.RECOVERING
    with breaker.watch("probe"):
        with pytest.raises(StoreUnavailableError), breaker.watch("second"):
            pytest.fail("two calls at once")
