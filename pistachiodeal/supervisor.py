"""Starts child tasks, restarts those that fail, and stops them in order."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import curio
from logbook import Logger

from pistachiodeal.exceptions import PistachiodealError

log = Logger("supervisor")

Child = Callable[[], Awaitable[None]]

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_CONSECUTIVE_FAILURES = 20
HEALTHY_AFTER_S = 10.0


class ChildFailedError(PistachiodealError):
    """A child failed too many times in a row."""

    code = "child_failed"


class Supervisor:
    """Runs named children as curio tasks.

    A child that raises is logged and restarted after exponential backoff with
    jitter; a child that returns is finished. A child that fails too many times in
    a row fails the supervisor, and with it the process. An error of a class in
    ``fatal`` does so immediately.
    """

    def __init__(self, name: str, fatal: tuple[type[Exception], ...] = ()) -> None:
        self._name = name
        self._fatal = fatal
        self._children: list[tuple[str, Child]] = []
        self._tasks: list[curio.Task] = []
        self._done = curio.Event()
        self._error: Exception | None = None

    def add(self, name: str, child: Child) -> None:
        """Register a child for :meth:`run` to start."""
        self._children.append((name, child))

    async def run(self) -> None:
        """Start all children; return when :meth:`stop` is called.

        :raises PistachiodealError: a child failed too many times in a row.
        :raises Exception: a child raised an error of a class in ``fatal``.
        """
        try:
            for name, child in self._children:
                self._tasks.append(await curio.spawn(self._supervise, name, child))
            await self._done.wait()
        finally:
            await self._cancel_children()
        if self._error is not None:
            raise self._error

    async def stop(self) -> None:
        """Cancel the children in reverse order of their registration."""
        await self._done.set()

    async def _cancel_children(self) -> None:
        while self._tasks:
            await self._tasks.pop().cancel()

    async def _supervise(self, name: str, child: Child) -> None:
        failures = 0
        while True:
            started = time.monotonic()
            try:
                await child()
                return
            except self._fatal as error:
                await self._fail(error)
                return
            except Exception as error:
                if time.monotonic() - started > HEALTHY_AFTER_S:
                    failures = 0
                failures += 1
                log.error("{}: child {} failed: {!r}", self._name, name, error)
                log.debug("{}: traceback of child {}", self._name, name, exc_info=True)
            if failures >= MAX_CONSECUTIVE_FAILURES:
                await self._fail(ChildFailedError(f"child {name}", step=self._name))
                return
            await curio.sleep(compute_backoff(failures))

    async def _fail(self, error: Exception) -> None:
        self._error = error
        await self._done.set()


def compute_backoff(failures: int) -> float:
    """Return a delay in seconds with jitter, which doubles with each failure.

    Without the jitter, all processes that lost the same peer would reconnect at
    the same instant.
    """
    longest = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(failures, 10))
    return random.uniform(longest / 2, longest)
