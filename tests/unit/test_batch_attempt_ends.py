"""Attempts that were refused or whose worker crashed."""

import orjson

from pistachiodeal.batch.decisions import decide_end, decide_refusal
from pistachiodeal.batch.events import (
    Event,
    Failed,
    Placed,
    RequeueCause,
    Requeued,
    Submitted,
    decode_events,
    encode_events,
)
from pistachiodeal.batch.partition import MAX_CHECKPOINT_MISSES, PartitionState
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskSpec, TaskState
from pistachiodeal.scheduling.crash_attribution import CRASHES_TO_GIVE_UP
from pistachiodeal.wire.task_messages import UNKNOWN_RUN, StartRefused, TaskEnded

SIZE = Resources(1_000, 1_024)
SPEC = TaskSpec("0001-k", "press", "hall", "batch", SIZE)


def create_state() -> PartitionState:
    """Return a state with one queued task that has a checkpoint."""
    state = PartitionState(lambda profile: 0)
    state.apply(Submitted(SPEC))
    state.apply(Placed(SPEC.task_id, 1, "w1", SIZE, 30_000))
    state.apply(Requeued(SPEC.task_id, 1, RequeueCause.STOPPED, "saved"))
    return state


def refuse_next(state: PartitionState, code: str) -> Event:
    """Place the task again and let its agent refuse it."""
    record = state.find(SPEC.task_id)
    assert record is not None
    state.apply(Placed(SPEC.task_id, record.attempt, "w1", SIZE, 30_000))
    refused = StartRefused(SPEC.task_id, record.attempt, code, "")
    event = decide_refusal(refused)
    state.apply(event)
    return event


def test_a_missing_checkpoint_is_discarded_after_some_attempts():
    """A task whose checkpoint object is lost is not placed and refused for ever.

    Each refusal used to requeue the evicted task with the same checkpoint, so that it
    never ran.
    """
    state = create_state()
    for misses in range(MAX_CHECKPOINT_MISSES):
        record = state.find(SPEC.task_id)
        assert record is not None
        assert (record.checkpoint, record.checkpoint_misses) == ("saved", misses)
        event = refuse_next(state, "checkpoint_missing")
        assert decode_events(orjson.loads(orjson.dumps(encode_events([event])))) == [
            event
        ]
        successor = PartitionState(lambda profile: 0)
        successor.load(state.dump())
        state = successor
    record = state.find(SPEC.task_id)
    assert record is not None
    assert (record.checkpoint, record.state) == ("", TaskState.QUEUED)
    assert record.evictions == 1
    assert record.failures == 0


def test_other_refusals_keep_the_checkpoint():
    state = create_state()
    for _ in range(5 * MAX_CHECKPOINT_MISSES):
        refuse_next(state, "checkpoint_unavailable")
    record = state.find(SPEC.task_id)
    assert record is not None
    assert (record.checkpoint, record.checkpoint_misses) == ("saved", 0)


def crash_next(state: PartitionState, run_ms: int) -> Event:
    """Place the task again and let its worker crash after ``run_ms``."""
    record = state.find(SPEC.task_id)
    assert record is not None
    state.apply(Placed(SPEC.task_id, record.attempt, "w1", SIZE, 30_000))
    ended = TaskEnded(
        SPEC.task_id, record.attempt, UNKNOWN_RUN, "", "", Resources(), run_ms
    )
    event = decide_end(record, ended, max_attempts=3)
    assert event is not None
    state.apply(event)
    return event


def test_a_task_that_crashes_its_workers_fails():
    """A task that crashes every worker it runs on is not restarted for ever.

    The agent saw the run active and later no trace of it, which used to count as an
    attempt that never started. The number of crashes survives journal and snapshots.
    """
    state = create_state()
    for _ in range(CRASHES_TO_GIVE_UP - 1):
        assert isinstance(crash_next(state, 8), Requeued)
        successor = PartitionState(lambda profile: 0)
        successor.load(state.dump())
        state = successor
    assert isinstance(crash_next(state, 8), Failed)
    record = state.find(SPEC.task_id)
    assert record is not None
    assert record.state is TaskState.FAILED


def test_a_worker_crash_after_a_long_run_does_not_count_against_the_task():
    state = create_state()
    for _ in range(2 * CRASHES_TO_GIVE_UP):
        assert isinstance(crash_next(state, 60_000), Requeued)
        assert isinstance(crash_next(state, 0), Requeued)
