"""A supervisor: starts children, restarts those that fail, stops them in order."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

Child = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs named children as curio tasks.

    A child that raises is logged and restarted after a growing, jittered pause;
    one that returns is done. A child that fails too often in a row fails the
    supervisor, and with it the process.
    """

    def add(self, name: str, child: Child) -> None:
        """Register a child, to be started by :meth:`run`."""
        raise NotImplementedError

    async def run(self) -> None:
        """Start all children; return when :meth:`stop` was called.

        :raises PistachiodealError: a child failed too often.
        """
        raise NotImplementedError

    async def stop(self) -> None:
        """Cancel the children, the last one added first."""
        raise NotImplementedError
