"""An executor that runs the actions of a key in order, and keys concurrently."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import curio

Action = Callable[[], Awaitable[object]]


class KeyedExecutor:
    """Runs the actions of each key in order, and different keys concurrently.

    :param limit: maximum number of waiting actions.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0
        self._waiting: dict[str, deque[Action]] = {}
        self._ready: curio.Queue = curio.Queue()

    @property
    def full(self) -> bool:
        """Return whether no more actions are accepted."""
        return self._count >= self._limit

    def is_active(self, key: str) -> bool:
        """Return whether an action of this key is waiting or running."""
        return key in self._waiting

    async def submit(self, key: str, action: Action) -> bool:
        """Add an action; if the limit is reached, add nothing and return False."""
        if self.full:
            return False
        self._count += 1
        actions = self._waiting.get(key)
        if actions is not None:
            actions.append(action)
            return True
        self._waiting[key] = deque([action])
        await self._ready.put(key)
        return True

    async def submit_if_idle(self, key: str, action: Action) -> None:
        """Add an action unless one of the same key is waiting or running."""
        if not self.is_active(key):
            await self.submit(key, action)

    async def restart(self) -> None:
        """Schedule the waiting actions again after the pool was cancelled."""
        self._ready = curio.Queue()
        self._waiting = {key: left for key, left in self._waiting.items() if left}
        self._count = sum(map(len, self._waiting.values()))
        for key in self._waiting:
            await self._ready.put(key)

    async def run_actions(self) -> None:
        """Run actions until cancelled; each task of the pool runs this method."""
        while True:
            key = await self._ready.get()
            action = self._waiting[key].popleft()
            self._count -= 1
            await action()
            if self._waiting[key]:
                await self._ready.put(key)
            else:
                del self._waiting[key]
