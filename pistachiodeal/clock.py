"""The type of clocks, which tests replace by one of their own."""

from collections.abc import Callable

Clock = Callable[[], float]
"""Returns monotonic time, seconds."""
