"""The leader's writes: fenced, conditional, grouped."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import FencedError
from pistachiodeal.jobs.model import EndKind, JobState
from pistachiodeal.jobs.record import read_state
from pistachiodeal.jobs.rows import UNDIVIDED_PARTITION
from pistachiodeal.leader.commits import Authority, CommitLog
from pistachiodeal.leader.leadership import WRITERS, Leadership
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionResult,
)
from tests.standins.job_cluster import build_job, create_quiet_log
from tests.standins.rows import MemoryRows, RowsState


def take_office(state: RowsState, epoch: int, version: int) -> Authority:
    """Write the leader's row."""
    transaction = Transaction(
        (RowCondition("control", "leader", version),),
        (RowWrite("control", "leader", str(epoch).encode()),),
    )
    result = state.apply(transaction)
    assert result.committed
    now = read_boot_clock()
    return Authority(epoch, result.version, now, now)


def create_leader(state: RowsState) -> tuple[JobRegistry, CommitLog, list[str]]:
    """Return a leader with one job whose only task is placed."""
    events = create_quiet_log()
    registry = JobRegistry(events)
    job = build_job(1, count=1, steps=1)
    registry.add(job, 0.0)
    seen: list[str] = []
    task = next(registry.records[job.job_id].iterate_tasks())
    registry.place(task, 1, "node/worker", lambda: seen.append("ordered"))
    return (
        registry,
        CommitLog(MemoryRows(state), take_office(state, 1, 0), events),
        seen,
    )


def test_an_order_leaves_only_once_its_decision_is_durable():
    """Symptom: a run that no successor knows of. Sequence: the order leaves, the leader
    dies before its write. Cause: effects ran before the write was answered.
    """

    async def main():
        state = RowsState()
        registry, commits, seen = create_leader(state)
        assert seen == []
        await commits.write(registry)
        assert seen == ["ordered"]
        assert ("progress", build_job(1).job_id) in state.rows

    curio.run(main)


def test_a_replaced_leader_writes_and_orders_nothing():
    """Symptom: two leaders place the same task. Sequence: a successor takes the row
    before the write. Cause: the write did not demand the leader's row.
    """

    async def main():
        state = RowsState()
        registry, commits, seen = create_leader(state)
        take_office(state, 2, state.rows["control", "leader"].version)
        with pytest.raises(FencedError):
            await commits.write(registry)
        assert seen == []
        assert ("progress", build_job(1).job_id) not in state.rows

    curio.run(main)


def test_a_write_that_is_carried_out_late_does_not_bring_an_older_state_back():
    """Symptom: a task runs again after its end was acknowledged.

    Sequence: the write of a placement gets no answer; its repeat and the write of the
    task's end are carried out; then the first one is. Cause: it did not demand the
    version of the row that it replaces.
    """

    async def main():
        state = RowsState()
        registry, commits, _ = create_leader(state)
        late: list[Transaction] = []

        class LateRows(MemoryRows):
            async def commit(self, transaction: Transaction) -> TransactionResult:
                late.append(transaction)
                return await super().commit(transaction)

        commits._store = LateRows(state)  # noqa: SLF001
        await commits.write(registry)
        record = registry.records[build_job(1).job_id]
        task = next(record.iterate_tasks())
        registry.end_run(task, EndKind.DONE, "", lambda: None)
        await commits.write(registry)
        assert not state.apply(late[0]).committed
        row: StoredRow = state.rows["progress", record.job_id]
        assert read_state(row.value) is JobState.COMPLETED

    curio.run(main)


def test_a_lost_answer_is_recognised_as_our_own_write():
    """Symptom: the leader stops writing a job for ever. Sequence: a write is done and
    its answer lost; the repeat finds another version. Cause: taken for a conflict.
    """

    async def main():
        state = RowsState()
        registry, commits, seen = create_leader(state)
        state.faults.lost = 1.0
        writing = await curio.spawn(commits.write, registry)
        await curio.sleep(0.05)
        state.faults.lost = 0.0
        await curio.timeout_after(2.0, writing.join)
        assert seen == ["ordered"]
        assert registry.records[build_job(1).job_id].row_version != ABSENT

    curio.run(main)


def test_a_slow_store_holds_up_only_what_it_is_asked():
    """Symptom: 1.0 s from a decision to its order on a store that takes 0.5 s.

    Sequence: a write is on its way; another job's run is decided. Cause: there was one
    writer, so the second decision waited for the first answer and then for its own.
    """

    async def main() -> dict[int, float]:
        state = RowsState()
        authority = take_office(state, 1, 0)
        state.faults.slow_s = 0.4
        events = create_quiet_log()
        leadership = Leadership(
            MemoryRows(state), authority, lambda queue: queue, LimitSettings(), events
        )
        ordered: dict[int, float] = {}
        began_at = read_boot_clock()

        def decide(number: int) -> None:
            job = build_job(number, count=1, steps=1)
            leadership.registry.add(job, 0.0)
            task = next(leadership.registry.records[job.job_id].iterate_tasks())
            leadership.registry.place(
                task,
                1,
                "node/worker",
                lambda: ordered.setdefault(number, read_boot_clock() - began_at),
            )

        async with curio.TaskGroup(wait=any) as group:
            for writer in range(WRITERS):
                await group.spawn(leadership._keep_writing, writer)
            decide(1)
            await leadership._touch()
            await curio.sleep(0.05)
            decide(2)
            await leadership._touch()
            await group.spawn(curio.sleep, 1.1)
        return ordered

    ordered = curio.run(main)
    # By one writer the second order left after 0.8 s.
    assert ordered[1] < 0.6
    assert ordered[2] < 0.7


def test_a_job_is_never_written_twice_at_a_time():
    """Symptom: an older state of a job comes back.

    Sequence: a job changes again while its row is being written. Cause to guard
    against: two writes of one row on their way, carried out in the wrong order.
    """
    registry, _, _ = create_leader(RowsState())
    batch = registry.begin_writes(10)
    assert [record.job_id for record, _ in batch] == [build_job(1).job_id]
    task = next(batch[0][0].iterate_tasks())
    registry.requeue(task)
    assert registry.has_unsaved
    assert not registry.has_writable
    assert registry.begin_writes(10) == []
    registry.finish_write(build_job(1).job_id)
    assert registry.has_writable
    assert len(registry.begin_writes(10)) == 1


def test_a_write_whose_answer_was_lost_is_not_written_once_more():
    """Symptom: each lost answer of a slow store costs two more writes of 0.7 s.

    Sequence: a write is done and its answer is lost; the repeat finds the row changed.
    Cause: it only took the new version, and wrote the same value again.
    """

    async def main() -> tuple[int, list[str]]:
        state = RowsState()
        registry, commits, seen = create_leader(state)
        before = state.transactions
        state.faults.lost = 1.0
        writer = await curio.spawn(commits.write, registry)
        while state.transactions == before:
            await curio.sleep(0.005)
        state.faults.lost = 0.0
        await writer.join()
        return state.transactions - before, seen

    assert curio.run(main) == (1, ["ordered"])


def test_a_removal_leaves_no_submission_without_its_progress():
    """Symptom: a job that ended long ago runs again under the next leader.

    Sequence: its rows are removed, and the leader dies in between, or a row in the old
    partition is left behind. Cause: progress went first, or only one place was looked
    at. The stand-in refuses a transaction over several partitions.
    """

    async def main() -> RowsState:
        state = RowsState()
        state.faults.transaction_s = 0.001
        registry, commits, _ = create_leader(state)
        record = registry.records[build_job(1).job_id]
        record.undivided = True
        for partition in ("", UNDIVIDED_PARTITION):
            write = RowWrite("jobs", record.job_id, b"row", partition)
            state.apply(Transaction((), (write,)))
        await commits.write(registry)
        assert await commits.remove([record])
        return state

    state = curio.run(main)
    assert ("jobs", build_job(1).job_id) not in state.rows
    assert ("progress", build_job(1).job_id) not in state.rows
    assert not state.undivided
    removed = [table for table, row in state.changes if row.removed]
    assert removed[-1] == "progress"


def test_the_right_of_a_leader_counts_from_before_its_write():
    """Symptom: a task runs twice. Sequence: a write takes 0.3 s; the row is replaced
    right after it was done. Cause: the right counted from the answer, and leases that
    hang on it outlived what the successor waits for.
    """

    async def main() -> tuple[float, float]:
        state = RowsState()
        registry, commits, _ = create_leader(state)
        state.faults.slow_s = 0.3
        asked_at = read_boot_clock()
        await commits.write(registry)
        return commits.confirmed_at, asked_at

    confirmed_at, asked_at = curio.run(main)
    assert asked_at <= confirmed_at < asked_at + 0.2
