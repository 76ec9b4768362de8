"""The in-memory state of a partition, built from its journal alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, replace
from typing import Any

import orjson
from logbook import Logger

from pistachiodeal.batch.events import (
    CancelAsked,
    Event,
    Failed,
    Finished,
    Placed,
    RequeueCause,
    Requeued,
    Submitted,
    decode_placed,
    decode_spec,
)
from pistachiodeal.batch.waiting import WaitingTasks
from pistachiodeal.model.tasks import TaskRecord, TaskSpec, TaskState

log = Logger("batch")

MAX_ENDED_RECORDS = 10_000
MAX_CHECKPOINT_MISSES = 3
_EVICTIONS = (RequeueCause.STOPPED, RequeueCause.EXPIRED)


class PartitionState:
    """The task records of a partition, changed by durable events only.

    An owner applies an event once its journal row is durable. A successor applies
    the same events in the same order, so both arrive at the same state.
    """

    def __init__(
        self, urgency_of: Callable[[str], int], max_ended: int = MAX_ENDED_RECORDS
    ) -> None:
        self._urgency_of = urgency_of
        self._max_ended = max_ended
        self._records: dict[str, TaskRecord] = {}
        self._ended: dict[str, None] = {}
        self.waiting = WaitingTasks()
        self.placed: dict[str, Placed] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, task_id: str) -> TaskRecord | None:
        """Return the record of a task, None if it is unknown or was pruned."""
        return self._records.get(task_id)

    def apply(self, event: Event) -> TaskRecord | None:
        """Apply a durable event; one that does not match the state has no effect."""
        if isinstance(event, Submitted):
            return self._apply_submitted(event)
        record = self._records.get(event.task_id)
        if record is None or record.state.final:
            return None
        if isinstance(event, CancelAsked):
            return self._apply_cancel(record)
        if event.attempt != record.attempt:
            log.error(
                "batch: event of attempt {} ignored, not the current attempt: {}",
                event.attempt,
                event,
            )
            return None
        if isinstance(event, Placed):
            return self._apply_placed(record, event)
        if isinstance(event, Requeued):
            return self._apply_requeued(record, event)
        return self._apply_end(record, event)

    def matches(self, record: TaskRecord, spec: TaskSpec) -> bool:
        """Return whether a submission repeats the one that created this record."""
        if record.state.final:
            spec = replace(spec, payload="")
        return record.spec == spec

    def prune(self) -> None:
        """Remove the oldest ended tasks above the limit."""
        while len(self._ended) > self._max_ended:
            task_id = next(iter(self._ended))
            del self._ended[task_id]
            del self._records[task_id]

    def dump(self) -> bytes:
        """Return this state in its snapshot form."""
        return orjson.dumps(
            {
                "records": list(self._records.values()),
                "placed": list(self.placed.values()),
            }
        )

    def load(self, data: bytes) -> None:
        """Load a snapshot into this empty state."""
        document = orjson.loads(data)
        for item in document["records"]:
            self._insert(_decode_record(item))
        for item in document["placed"]:
            placed = decode_placed(item)
            self.placed[placed.task_id] = placed

    def describe(self) -> dict[str, int]:
        """Return task counts for the status page."""
        return {
            "waiting": len(self.waiting),
            "placed": len(self.placed),
            "ended": len(self._ended),
        }

    def _insert(self, record: TaskRecord) -> None:
        self._records[record.spec.task_id] = record
        if record.state.final:
            self._ended[record.spec.task_id] = None
        elif record.state is TaskState.QUEUED:
            self._enqueue(record)

    def _enqueue(self, record: TaskRecord) -> None:
        self.waiting.add(record.spec, self._urgency_of(record.spec.profile))

    def _apply_submitted(self, event: Submitted) -> TaskRecord | None:
        if event.task_id in self._records:
            return None
        record = TaskRecord(event.spec)
        self._insert(record)
        return record

    def _apply_placed(self, record: TaskRecord, event: Placed) -> TaskRecord | None:
        if record.state is not TaskState.QUEUED:
            return None
        record.state = TaskState.PLACED
        record.worker = event.worker
        self.waiting.remove(event.task_id)
        self.placed[event.task_id] = event
        return record

    def _apply_requeued(self, record: TaskRecord, event: Requeued) -> TaskRecord | None:
        if record.state is not TaskState.PLACED:
            return None
        if event.checkpoint:
            record.checkpoint = event.checkpoint
            record.checkpoint_misses = 0
        record.reason = event.reason
        if event.cause is RequeueCause.FAILED:
            record.failures += 1
            record.failed_workers.append(record.worker)
        if event.cause is RequeueCause.VANISHED:
            record.crashes += 1
        if event.cause in _EVICTIONS:
            record.evictions += 1
        if event.cause is RequeueCause.CHECKPOINT_MISSING:
            _record_missing_checkpoint(record)
        if record.cancel_asked:
            self._end(record, TaskState.CANCELLED)
            return record
        del self.placed[event.task_id]
        record.attempt += 1
        record.worker = ""
        record.state = TaskState.QUEUED
        self._enqueue(record)
        return record

    def _apply_end(
        self, record: TaskRecord, event: Finished | Failed
    ) -> TaskRecord | None:
        if isinstance(event, Finished):
            if record.state is not TaskState.PLACED:
                return None
            record.result = event.result
            self._end(record, TaskState.FINISHED)
            return record
        record.reason = event.reason
        if record.state is TaskState.PLACED:
            record.failures += 1
            record.failed_workers.append(record.worker)
        self._end(record, TaskState.FAILED)
        return record

    def _apply_cancel(self, record: TaskRecord) -> TaskRecord:
        record.cancel_asked = True
        if record.state is TaskState.QUEUED:
            self._end(record, TaskState.CANCELLED)
        return record

    def _end(self, record: TaskRecord, state: TaskState) -> None:
        record.state = state
        record.spec = replace(record.spec, payload="")
        self.waiting.remove(record.spec.task_id)
        self.placed.pop(record.spec.task_id, None)
        self._ended[record.spec.task_id] = None


def describe_task(record: TaskRecord) -> dict[str, Any]:
    """Return the fields of a task that callers see."""
    document = asdict(record)
    spec = document.pop("spec")
    spec.pop("payload")
    return {"id": spec.pop("task_id"), **spec, **document}


def replay(state: PartitionState, events: Iterable[Event]) -> None:
    """Apply the events of a journal row."""
    for event in events:
        state.apply(event)


def _record_missing_checkpoint(record: TaskRecord) -> None:
    # If the object is lost for good, the task would be placed and refused for ever
    # and never run. An object store may make an object visible late, so the
    # checkpoint is discarded only after several attempts.
    record.checkpoint_misses += 1
    if record.checkpoint_misses >= MAX_CHECKPOINT_MISSES:
        record.checkpoint = ""
        record.checkpoint_misses = 0


def _decode_record(item: dict[str, Any]) -> TaskRecord:
    fields = dict(item)
    fields["spec"] = decode_spec(fields["spec"])
    fields["state"] = TaskState(fields["state"])
    return TaskRecord(**fields)
