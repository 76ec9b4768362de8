"""Callers that wait for a task to end."""

from __future__ import annotations

import curio

from pistachiodeal.model.tasks import TaskRecord

MAX_WAITED_TASKS = 1_000


class CompletionWaiters:
    """Wakes callers when a task reaches its final state.

    At most ``MAX_WAITED_TASKS`` tasks can be waited for at the same time.
    """

    def __init__(self) -> None:
        self._events: dict[str, curio.Event] = {}
        self._counts: dict[str, int] = {}
        self._ended: list[curio.Event] = []

    def update(self, record: TaskRecord) -> None:
        """Process a changed record; callable where nothing may be awaited."""
        if record.state.final and record.spec.task_id in self._events:
            self._ended.append(self._events.pop(record.spec.task_id))

    async def wake_ended(self) -> None:
        """Wake the callers whose task has ended since the last call."""
        ended, self._ended = self._ended, []
        for event in ended:
            await event.set()

    async def wake_all(self) -> None:
        """Wake every caller because the partition is no longer served here."""
        self._ended.extend(self._events.values())
        self._events.clear()
        await self.wake_ended()

    async def wait(self, task_id: str, timeout: float) -> None:
        """Wait until the task ends or the timeout expires.

        Return at once when too many tasks are waited for.

        :param timeout: seconds.
        """
        if task_id not in self._events and len(self._counts) >= MAX_WAITED_TASKS:
            return
        event = self._events.setdefault(task_id, curio.Event())
        self._counts[task_id] = self._counts.get(task_id, 0) + 1
        try:
            await curio.ignore_after(timeout, event.wait)
        finally:
            self._remove_waiter(task_id)

    def _remove_waiter(self, task_id: str) -> None:
        self._counts[task_id] -= 1
        if not self._counts[task_id]:
            del self._counts[task_id]
            self._events.pop(task_id, None)
