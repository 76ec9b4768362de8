"""The leader's fenced and conditional transactions."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import FencedError
from pistachiodeal.jobs.model import EndKind, JobState
from pistachiodeal.jobs.progress import read_state
from pistachiodeal.jobs.rows import UNDIVIDED_PARTITION
from pistachiodeal.leader import commits
from pistachiodeal.leader.commits import FencedWriter, LeaderTerm
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


def write_leader_row(state: RowsState, epoch: int, version: int) -> LeaderTerm:
    """Write the leader's row."""
    transaction = Transaction(
        (RowCondition("control", "leader", version),),
        (RowWrite("control", "leader", str(epoch).encode()),),
    )
    result = state.apply(transaction)
    assert result.committed
    now = read_boot_clock()
    return LeaderTerm(epoch, result.version, now, now)


def create_leader(state: RowsState) -> tuple[JobRegistry, FencedWriter, list[str]]:
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
        FencedWriter(MemoryRows(state), write_leader_row(state, 1, 0), events),
        seen,
    )


def test_an_order_leaves_only_once_its_decision_is_durable():
    """Guards against a run that no successor knows of.

    If effects ran before the write was answered, an order could be sent by a leader
    that crashes before its write.
    """

    async def main():
        state = RowsState()
        registry, fenced_writer, seen = create_leader(state)
        assert seen == []
        await fenced_writer.write(registry)
        assert seen == ["ordered"]
        assert ("progress", build_job(1).job_id) in state.rows

    curio.run(main)


def test_a_replaced_leader_writes_and_orders_nothing():
    """Guards against two leaders that place the same task.

    A successor replaces the leader's row before the write, and the write was not
    conditional on that row.
    """

    async def main():
        state = RowsState()
        registry, fenced_writer, seen = create_leader(state)
        write_leader_row(state, 2, state.rows["control", "leader"].version)
        with pytest.raises(FencedError):
            await fenced_writer.write(registry)
        assert seen == []
        assert ("progress", build_job(1).job_id) not in state.rows

    curio.run(main)


def test_a_write_that_is_carried_out_late_does_not_bring_an_older_state_back():
    """Guards against a task that runs again after its end was acknowledged.

    The write of a placement gets no answer. Its retry and the write of the task's end
    are carried out, and then the first write, which was not conditional on the version
    of the row.
    """

    async def main():
        state = RowsState()
        registry, fenced_writer, _ = create_leader(state)
        late: list[Transaction] = []

        class LateRows(MemoryRows):
            async def commit(self, transaction: Transaction) -> TransactionResult:
                late.append(transaction)
                return await super().commit(transaction)

        fenced_writer._store = LateRows(state)  # noqa: SLF001
        await fenced_writer.write(registry)
        record = registry.records[build_job(1).job_id]
        task = next(record.iterate_tasks())
        registry.end_run(task, EndKind.DONE, "", lambda: None)
        await fenced_writer.write(registry)
        assert not state.apply(late[0]).committed
        row: StoredRow = state.rows["progress", record.job_id]
        assert read_state(row.value) is JobState.COMPLETED

    curio.run(main)


def test_a_lost_answer_is_recognised_as_our_own_write():
    """Guards against a leader that never writes a job again.

    A write is carried out but its answer is lost. The retry finds another version,
    which was taken for a conflict.
    """

    async def main():
        state = RowsState()
        registry, fenced_writer, seen = create_leader(state)
        state.faults.lost = 1.0
        writing = await curio.spawn(fenced_writer.write, registry)
        await curio.sleep(0.05)
        state.faults.lost = 0.0
        await curio.timeout_after(2.0, writing.join)
        assert seen == ["ordered"]
        assert registry.records[build_job(1).job_id].row_version != ABSENT

    curio.run(main)


def test_a_slow_write_does_not_delay_another_decision():
    """Guards against 1.0 s from a decision to its order on a store that takes 0.5 s.

    A second job's run is decided during the write of the first. With one writer, the
    second decision waited for that write and then for its own.
    """

    async def main() -> dict[int, float]:
        state = RowsState()
        term = write_leader_row(state, 1, 0)
        state.faults.slow_s = 0.4
        events = create_quiet_log()
        leadership = Leadership(
            MemoryRows(state), term, lambda queue: queue, LimitSettings(), events
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
                await group.spawn(leadership._run_writer, writer)
            decide(1)
            await leadership._notify_changed()
            await curio.sleep(0.05)
            decide(2)
            await leadership._notify_changed()
            await group.spawn(curio.sleep, 1.1)
        return ordered

    ordered = curio.run(main)
    # With one writer, the second order was sent after 0.8 s.
    assert ordered[1] < 0.6
    assert ordered[2] < 0.7


def test_a_job_is_never_written_twice_at_a_time():
    """Guards against a newer state of a job being overwritten by an older one.

    A job changes again while its row is being written. Two concurrent writes of the row
    could be carried out in the wrong order.
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
    """Guards against two more writes of 0.7 s for each lost answer of a slow store.

    A write is carried out but its answer is lost, so the retry finds the row changed.
    It only adopted the new version and wrote the same value again.
    """

    async def main() -> tuple[int, list[str]]:
        state = RowsState()
        registry, fenced_writer, seen = create_leader(state)
        before = state.transactions
        state.faults.lost = 1.0
        writer = await curio.spawn(fenced_writer.write, registry)
        while state.transactions == before:
            await curio.sleep(0.005)
        state.faults.lost = 0.0
        await writer.join()
        return state.transactions - before, seen

    assert curio.run(main) == (1, ["ordered"])


def test_a_removal_leaves_no_submission_without_its_progress():
    """Guards against a job that ended long ago and runs again under the next leader.

    The leader crashes while it removes the job's rows, progress first, or it leaves
    behind a row in the old partition. The fake store refuses transactions over several
    partitions.
    """

    async def main() -> RowsState:
        state = RowsState()
        state.faults.transaction_s = 0.001
        registry, fenced_writer, _ = create_leader(state)
        record = registry.records[build_job(1).job_id]
        record.undivided = True
        for partition in ("", UNDIVIDED_PARTITION):
            write = RowWrite("jobs", record.job_id, b"row", partition)
            state.apply(Transaction((), (write,)))
        await fenced_writer.write(registry)
        assert await fenced_writer.remove([record])
        return state

    state = curio.run(main)
    assert ("jobs", build_job(1).job_id) not in state.rows
    assert ("progress", build_job(1).job_id) not in state.rows
    assert not state.undivided
    removed = [table for table, row in state.changes if row.removed]
    assert removed[-1] == "progress"


def test_a_confirmation_counts_from_before_the_write():
    """Guards against a task that runs twice.

    A write takes 0.3 s, and the leader's row is replaced right after it was carried
    out. If the confirmation counted from the answer, leases could outlast the time that
    the successor waits for them.
    """

    async def main() -> tuple[float, float]:
        state = RowsState()
        registry, fenced_writer, _ = create_leader(state)
        state.faults.slow_s = 0.3
        asked_at = read_boot_clock()
        await fenced_writer.write(registry)
        return fenced_writer.confirmed_at, asked_at

    confirmed_at, asked_at = curio.run(main)
    assert asked_at <= confirmed_at < asked_at + 0.2


def test_a_job_whose_row_is_rejected_does_not_hold_up_others(monkeypatch):
    """Guards against jobs that never begin since they share a transaction with it.

    The same batch was written again without end.
    """
    monkeypatch.setattr(commits, "REJECTED_RETRY_S", 0.2)

    async def main():
        state = RowsState(row_bytes=1_000)
        registry, writer, seen = create_leader(state)
        registry.add(build_job(2, count=100, steps=1), 0.0)
        wide = registry.records[build_job(2).job_id]
        for task in wide.iterate_tasks():
            registry.place(task, 1, "node/worker", lambda: seen.append("wide"))
        await curio.timeout_after(1.0, writer.write, registry)
        assert seen == ["ordered"]
        assert registry.is_unsaved(wide.job_id)
        assert not registry.has_writable
        assert registry.begin_writes(10) == []
        state.row_bytes = 65_536
        await curio.sleep(0.25)
        assert registry.has_writable
        registry.mark_unsaved(task)
        await curio.timeout_after(1.0, writer.write, registry)
        assert seen == ["ordered", *["wide"] * 100]
        assert not registry.is_unsaved(wide.job_id)

    curio.run(main)
