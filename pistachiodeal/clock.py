"""Clock type, which tests replace, and the clock used for leases and grants."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns monotonic time in seconds."""


def read_boot_clock() -> float:
    """Return seconds of a clock that also advances while the VM is suspended.

    The monotonic clock stops in a suspended VM: a lease or grant measured by it
    would still look valid on resume, although it has expired for all others.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
