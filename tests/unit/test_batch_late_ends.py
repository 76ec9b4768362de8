"""Late reports of the end of an earlier attempt."""

from __future__ import annotations

import curio
import orjson
import pytest

from pistachiodeal.model.tasks import TaskState
from pistachiodeal.wire.task_messages import TaskEnded
from tests.unit.test_batch_service import BatchHarness, post


@pytest.mark.parametrize("state", ["finished", "stopped"])
def test_late_end_of_an_earlier_attempt_changes_nothing(state):
    """Only the end of the currently placed attempt counts.

    Attempt 1 expires, attempt 2 starts on the same worker, and the end of attempt 1 is
    reported again over an older link. It used to be applied to the placed attempt, so
    the task was finished or requeued while attempt 2 ran.
    """

    async def main():
        harness = BatchHarness()
        entry = harness.entry("a")
        await harness.round(entry)
        session = await harness.connect(entry)
        answer = await entry.service.handle(post("k1"))
        task_id = orjson.loads(answer.body)["id"]
        await harness.place(entry, session)
        harness.agent.end(task_id, "expired", "")
        late = next(iter(harness.agent.ended.values()))
        await entry.service.receive(session, late)
        await harness.deliver(entry, session)
        await harness.report(entry, session)
        await harness.place(entry, session)
        assert harness.agent.started == [(task_id, 1), (task_id, 2)]

        again = TaskEnded(task_id, 1, state, "old", "", late.used, 0)
        await entry.service.receive(session, again)
        await harness.deliver(entry, session)
        record = entry.server(task_id).state.find(task_id)
        assert (record.state, record.attempt) == (TaskState.PLACED, 2)

    curio.run(main)
