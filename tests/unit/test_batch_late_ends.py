"""Ends of attempts that come late."""

from __future__ import annotations

import curio
import orjson
import pytest

from pistachiodeal.model.tasks import TaskState
from pistachiodeal.wire.task_messages import TaskEnded
from tests.unit.test_batch_service import BatchHarness, post


@pytest.mark.parametrize("state", ["finished", "stopped"])
def test_late_end_of_an_earlier_attempt_changes_nothing(state):
    """Only the end of the attempt that is placed now counts.

    Symptom: a task was finished, or queued again, while its second attempt ran.
    Sequence: attempt 1 expires and is told so; attempt 2 starts on the same worker;
        word of attempt 1 comes once more, by an older link.
    Cause: a task's end was taken for that of whatever attempt is placed.
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
