"""Names of incarnations; an incarnation is one start of a runner.

A runner may restart under the same name, without any state of its earlier start. Its
time of day may have stepped back in between, so names don't tell which of two starts is
the later one. Only the incarnation that answers calls is known to be alive.
"""

from __future__ import annotations

SEPARATOR = "@"


def build_incarnation(runner: str, started_ms: int) -> str:
    """Return the name of one start of a runner.

    :param started_ms: time of day of the start on the runner's clock, milliseconds.
    """
    return f"{runner}{SEPARATOR}{started_ms}"


def get_runner(incarnation: str) -> str:
    """Return the name that all starts of a runner share.

    For a runner that doesn't distinguish its starts this is the incarnation itself.
    """
    runner, separator, _ = incarnation.rpartition(SEPARATOR)
    return runner if separator else incarnation
