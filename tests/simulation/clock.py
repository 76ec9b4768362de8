"""A curio kernel whose clock jumps to the next timer when no task can run."""

from __future__ import annotations

import random
import selectors
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar
from unittest import mock

from curio import Kernel
from curio.task import ContextTask

T = TypeVar("T")

# A shorter step could be lost to rounding, and the timer would never be due.
MIN_STEP_S = 1e-6
STARTED_AT = 1_000.0


class SimulatedClock:
    """Simulated seconds; every clock of the process reads the same."""

    def __init__(self) -> None:
        self._now = STARTED_AT

    @property
    def now(self) -> float:
        """Return the simulated time, seconds."""
        return self._now

    def advance(self, step_s: float) -> None:
        """Move the time forward."""
        self._now += max(step_s, MIN_STEP_S)


class SimulatedSelector(selectors.DefaultSelector):
    """Polls its files, and advances the clock in place of waiting."""

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the files that are ready now."""
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError("every task waits, and no timer is set")
        self._clock.advance(timeout)
        return []


def run_simulated(main: Callable[[SimulatedClock], Awaitable[T]], seed: int = 1) -> T:
    """Run a coroutine function in simulated time and return its result."""
    clock = SimulatedClock()
    random.seed(seed)
    with _patch_clocks(clock):
        kernel = Kernel(selector=SimulatedSelector(clock), taskcls=ContextTask)
        with kernel:
            return kernel.run(main, clock)


@contextmanager
def _patch_clocks(clock: SimulatedClock) -> Iterator[None]:
    with (
        mock.patch.object(time, "monotonic", lambda: clock.now),
        mock.patch.object(time, "time", lambda: clock.now),
        mock.patch.object(time, "clock_gettime", lambda _: clock.now),
    ):
        yield
