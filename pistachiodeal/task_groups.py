"""Curio tasks that live and end together."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

T = TypeVar("T")

Child = Callable[[], Awaitable[None]]


async def gather(*calls: Callable[[], Awaitable[T]]) -> list[T]:
    """Make calls at once; return their results in order when all have ended.

    :raises Exception: what the first call that failed has raised.
    """
    results: dict[int, T] = {}
    failures: list[Exception] = []

    async def run_call(number: int) -> None:
        try:
            results[number] = await calls[number]()
        except Exception as error:
            failures.append(error)

    async with curio.TaskGroup(wait=all) as group:
        for number in range(len(calls)):
            await group.spawn(run_call, number)
    if failures:
        raise failures[0]
    return [results[number] for number in range(len(calls))]


async def run_until_one_ends(*children: Child) -> None:
    """Run children side by side; when one ends, cancel the others.

    :raises Exception: what the first child that failed has raised.
    """
    failures: list[Exception] = []

    # Leaving a task group doesn't raise what a child raised: a fenced journal, or
    # a worker that another agent has, would look like a child that has done its
    # work. Curio also writes a trace of each such child to standard error.
    async def run_call(child: Child) -> None:
        try:
            await child()
        except Exception as error:
            failures.append(error)

    async with curio.TaskGroup(wait=any) as group:
        for child in children:
            await group.spawn(run_call, child)
    if failures:
        raise failures[0]
    if group.exception is not None:
        raise group.exception
