"""Decides which event follows from the end of an attempt."""

from __future__ import annotations

from pistachiodeal.batch.events import (
    Event,
    Failed,
    Finished,
    RequeueCause,
    Requeued,
)
from pistachiodeal.model.tasks import TaskRecord, TaskState
from pistachiodeal.scheduling.crash_attribution import CRASH_RESET_S, CRASHES_TO_GIVE_UP
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import UNKNOWN_RUN, StartRefused, TaskEnded

CHECKPOINT_MISSING = "checkpoint_missing"
MILLI = 1000

_CAUSES = {
    RunState.STOPPED: RequeueCause.STOPPED,
    RunState.EXPIRED: RequeueCause.EXPIRED,
    UNKNOWN_RUN: RequeueCause.REFUSED,
}


def is_current(record: TaskRecord | None, attempt: int, worker: str) -> bool:
    """Return whether a message refers to the currently placed attempt."""
    return (
        record is not None
        and record.state is TaskState.PLACED
        and record.attempt == attempt
        and record.worker == worker
    )


def decide_end(record: TaskRecord, ended: TaskEnded, max_attempts: int) -> Event | None:
    """Return the event for the end of a task's current attempt.

    :returns: None if this version does not know the state.
    """
    if ended.state == RunState.FINISHED:
        return Finished(ended.task_id, ended.attempt, ended.result)
    if ended.state == RunState.FAILED:
        return _decide_failure(record, ended, max_attempts)
    if ended.state == UNKNOWN_RUN and 0 < ended.run_ms < CRASH_RESET_S * MILLI:
        return _decide_crash(record, ended)
    cause = _CAUSES.get(ended.state)
    if cause is None:
        return None
    return Requeued(ended.task_id, ended.attempt, cause, ended.checkpoint, ended.state)


def decide_refusal(refused: StartRefused) -> Requeued:
    """Return the event for an attempt that its agent never started."""
    missing = refused.code == CHECKPOINT_MISSING
    cause = RequeueCause.CHECKPOINT_MISSING if missing else RequeueCause.REFUSED
    reason = f"{refused.code}: {refused.detail}"
    return Requeued(refused.task_id, refused.attempt, cause, reason=reason)


def _decide_crash(record: TaskRecord, ended: TaskEnded) -> Event:
    # The agent saw the run active, but the worker no longer knows it: the worker has
    # crashed. If this counted as an attempt that never started, a task that crashes
    # every worker would be restarted for ever.
    reason = "its worker ended under it"
    if record.crashes + 1 >= CRASHES_TO_GIVE_UP and not record.cancel_asked:
        return Failed(ended.task_id, ended.attempt, reason)
    return Requeued(
        ended.task_id,
        ended.attempt,
        RequeueCause.VANISHED,
        ended.checkpoint,
        reason,
    )


def _decide_failure(record: TaskRecord, ended: TaskEnded, max_attempts: int) -> Event:
    reason = ended.result or "failed without a reason"
    if record.failures + 1 >= max_attempts and not record.cancel_asked:
        return Failed(ended.task_id, ended.attempt, reason)
    return Requeued(
        ended.task_id, ended.attempt, RequeueCause.FAILED, ended.checkpoint, reason
    )
