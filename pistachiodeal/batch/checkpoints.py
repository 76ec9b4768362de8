"""Deletes checkpoints from which no attempt will resume."""

from __future__ import annotations

from collections import deque

from logbook import Logger

from pistachiodeal.exceptions import StoreError
from pistachiodeal.model.tasks import TaskRecord
from pistachiodeal.store.protocols import ObjectStore

log = Logger("batch")

MAX_QUEUED = 10_000
BURST = 20


class CheckpointCleaner:
    """Deletes superseded checkpoints; drops the oldest keys when its queue is full."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._keys: deque[str] = deque(maxlen=MAX_QUEUED)

    def enqueue_superseded(self, before: str, record: TaskRecord) -> None:
        """Queue the checkpoints that a durable event has made obsolete.

        :param before: checkpoint of the record before the event.
        """
        if before and before != record.checkpoint:
            self._keys.append(before)
        if record.state.final and record.checkpoint:
            self._keys.append(record.checkpoint)

    async def clean(self) -> None:
        """Delete up to ``BURST`` checkpoints; failed deletes are retried later."""
        for _ in range(min(BURST, len(self._keys))):
            key = self._keys.popleft()
            try:
                await self._objects.delete(key)
            except StoreError as error:
                log.debug("batch: checkpoint {} not deleted: {}", key, error)
                self._keys.append(key)
                return
