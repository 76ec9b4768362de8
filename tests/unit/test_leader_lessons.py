"""What a leader learnt of neighbours is there for its successor."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.exceptions import FencedError, ProtocolError
from pistachiodeal.leader.commits import (
    CONTROL_TABLE,
    LEADER_KEY,
    Authority,
    CommitLog,
)
from pistachiodeal.leader.lessons import (
    KEEP_S,
    LESSONS_KEY,
    LessonKeeper,
    Lessons,
    decode_lessons,
    encode_lessons,
)
from pistachiodeal.scheduling.durations import DurationFit, DurationModel
from pistachiodeal.scheduling.interference import (
    DEFAULT_INTERFERENCE,
    InterferenceModel,
    PairEstimate,
)
from pistachiodeal.store.row_store import RowWrite, Transaction
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

HARSH = PairEstimate("harsh", "s", 1.4, 0.05)


async def take_lead(store: MemoryRows, epoch: int) -> CommitLog:
    """Return the writes of a leader that has just taken the row."""
    write = RowWrite(CONTROL_TABLE, LEADER_KEY, str(epoch).encode())
    result = await store.commit(Transaction((), (write,)))
    return CommitLog(
        store, Authority(epoch, result.version, 0.0, 0.0), create_quiet_log()
    )


async def lead_for(store: MemoryRows, epoch: int, model: InterferenceModel) -> None:
    """Keep the lessons of one leader for a little longer than a write takes."""
    commits = await take_lead(store, epoch)
    keeper = LessonKeeper(store, commits, model, DurationModel(), create_quiet_log())
    await curio.ignore_after(KEEP_S + 0.3, keeper.run)


def test_a_successor_knows_what_its_predecessor_learnt():
    """Symptom: after each change of the leader serving tasks are over their aim again.

    Sequence: a leader learns that a pair disturbs and is replaced. Cause: what it had
    learnt was in its memory only.
    """
    store = MemoryRows(RowsState())
    first, second = InterferenceModel(), InterferenceModel()
    first.adopt([HARSH])

    async def main() -> None:
        await lead_for(store, 1, first)
        await lead_for(store, 2, second)

    curio.run(main)
    assert second.get_interference("harsh", "s") == pytest.approx(1.4)
    assert second.get_interference("harsh", "other") == DEFAULT_INTERFERENCE


def test_a_replaced_leader_writes_no_lessons():
    store = MemoryRows(RowsState())
    model = InterferenceModel()
    model.adopt([HARSH])

    async def main() -> None:
        commits = await take_lead(store, 1)
        await take_lead(store, 2)
        keeper = LessonKeeper(
            store, commits, model, DurationModel(), create_quiet_log()
        )
        with pytest.raises(FencedError):
            await curio.timeout_after(KEEP_S + 1.0, keeper.run)
        page = await store.read(CONTROL_TABLE, LESSONS_KEY, LESSONS_KEY + "\0", 1)
        assert not page.rows

    curio.run(main)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}x",
        b"[[1]]",
        b'{"pairs":[["f","s","x",0.1]],"durations":{}}',
        b'{"pairs":[],"durations":{"q":[1]}}',
        b'{"pairs":[],"durations":{"q":["x",1,1,1,1]}}',
    ],
)
def test_lessons_of_another_writer_are_left_aside(value):
    with pytest.raises(ProtocolError):
        decode_lessons(value)


def test_what_was_seen_here_goes_before_what_was_heard():
    model = InterferenceModel()
    model.adopt([HARSH])
    model.adopt([PairEstimate("harsh", "s", 0.1, 0.05)])
    assert model.get_interference("harsh", "s") == pytest.approx(1.4)


def test_lessons_are_read_back_as_they_were():
    fit = DurationFit(3.0, 1.5, -0.5, 2.0, -0.25)
    lessons = Lessons([HARSH], {"queue": fit})
    assert decode_lessons(encode_lessons(lessons)) == lessons
