"""The breaker, with a clock of its own."""

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


def test_opens_on_failures_in_a_row_and_refuses_with_the_time_left(
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
    """Store slow rather than down.

    Symptom: every caller waits for the whole time-out.
    Sequence: the store stops answering; calls hold all connections; no call
    has failed yet, so nothing but their age tells.
    Cause: the breaker counted only calls that had ended.
    """
    stuck = [breaker.watch("step") for _ in range(CONNECTIONS)]
    for call in stuck:
        call.__enter__()
    clock.now += TIMEOUT_S / 2 + 0.01
    with pytest.raises(StoreUnavailableError), breaker.watch("step"):
        pytest.fail("the call was made")
    assert breaker.state is BreakerState.OPEN


def test_recovery_is_no_wave(breaker: Breaker, clock: Clock) -> None:
    """A store that comes back meets few calls at first.

    Symptom: the store falls over again as soon as it is back.
    Sequence: an outage ends; all that waited calls in the same moment.
    Cause: the breaker closed at the first success.
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
    """Answers that are late belong to the time before the opening.

    Symptom: the breaker never closes although the store is well.
    Sequence: a call hangs; the breaker opens and recovers; the call times out.
    Cause: its failure was counted against the calls after it.
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
