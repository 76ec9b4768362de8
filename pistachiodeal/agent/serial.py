"""Actions in order for each key, and keys side by side."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import curio

Action = Callable[[], Awaitable[object]]


class SerialWork:
    """Runs actions in order for each key, and keys side by side in a pool.

    :param limit: most actions that wait.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0
        self._waiting: dict[str, deque[Action]] = {}
        self._ready: curio.Queue = curio.Queue()

    @property
    def full(self) -> bool:
        """Tell whether no more is taken."""
        return self._count >= self._limit

    def holds(self, key: str) -> bool:
        """Tell whether something of this key waits or goes on."""
        return key in self._waiting

    async def put(self, key: str, action: Action) -> bool:
        """Add an action; False, and nothing added, when it is full."""
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

    async def put_once(self, key: str, action: Action) -> None:
        """Add an action unless something of its key waits or goes on."""
        if not self.holds(key):
            await self.put(key, action)

    async def restart(self) -> None:
        """Take up what waits after the pool was cancelled in the midst of it."""
        self._ready = curio.Queue()
        self._waiting = {key: left for key, left in self._waiting.items() if left}
        self._count = sum(map(len, self._waiting.values()))
        for key in self._waiting:
            await self._ready.put(key)

    async def work(self) -> None:
        """Do one action after the other, for ever; several tasks run this."""
        while True:
            key = await self._ready.get()
            action = self._waiting[key].popleft()
            self._count -= 1
            await action()
            if self._waiting[key]:
                await self._ready.put(key)
            else:
                del self._waiting[key]
