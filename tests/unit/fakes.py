"""Fakes shared by several tests."""

from __future__ import annotations

from functools import partial
from typing import Any

import curio

from pistachiodeal.exceptions import StoreUnavailableError


class Clock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


class FakeObjects:
    """An object store in memory.

    :ivar wait: awaited at each call, before ``before_call`` is called.
    """

    def __init__(self) -> None:
        self.down = False
        self.stored: dict[str, bytes] = {}
        self.before_call: Any = lambda: None
        self.wait: Any = partial(curio.sleep, 0)

    async def _enter(self) -> None:
        await self.wait()
        self.before_call()
        if self.down:
            raise StoreUnavailableError("down")

    async def put(self, key: str, data: bytes) -> None:
        await self._enter()
        self.stored[key] = data

    async def get(self, key: str) -> bytes | None:
        await self._enter()
        return self.stored.get(key)

    async def delete(self, key: str) -> None:
        await self._enter()
        self.stored.pop(key, None)
