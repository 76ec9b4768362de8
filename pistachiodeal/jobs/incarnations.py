"""Names of incarnations: one start of a runner, told from its other starts.

A runner may start again under the same name, and then knows nothing of before. Its time
of day may have stepped back meanwhile, so that which of two starts is the later one
can't be read from their names; only whoever answers now is known to live.
"""

from __future__ import annotations

SEPARATOR = "@"


def build_incarnation(runner: str, started_ms: int) -> str:
    """Return the name of one start of a runner.

    :param started_ms: time of day of the start by the runner's clock, milliseconds.
    """
    return f"{runner}{SEPARATOR}{started_ms}"


def get_runner(incarnation: str) -> str:
    """Return the name that all starts of a runner share.

    Of a runner that doesn't tell its starts apart this is the incarnation itself.
    """
    runner, separator, _ = incarnation.rpartition(SEPARATOR)
    return runner if separator else incarnation
