"""Helpers that run several curio tasks as a group."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

T = TypeVar("T")

Child = Callable[[], Awaitable[None]]


async def gather(*calls: Callable[[], Awaitable[T]]) -> list[T]:
    """Run calls concurrently; return their results in order when all have ended.

    :raises Exception: the exception of the first call that failed.
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


async def run_until_first_exit(*children: Child) -> None:
    """Run children concurrently; when one ends, cancel the others.

    :raises Exception: the exception of the first child that failed.
    """
    failures: list[Exception] = []

    # A task group doesn't re-raise exceptions of its children: a fenced journal, or
    # a worker taken over by another agent, would look like a child that finished
    # normally. Curio also writes a traceback of each such child to standard error.
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
