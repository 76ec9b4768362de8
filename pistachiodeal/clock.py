"""Clocks: the type that tests replace, and the clock of leases and grants."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns monotonic time, seconds."""


def read_boot_clock() -> float:
    """Return seconds of a clock that also counts while the VM is suspended.

    The monotonic clock stands still in a suspended VM: a lease or grant measured
    by it would look fresh on waking, although others have seen it run out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
