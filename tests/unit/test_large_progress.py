"""Jobs whose progress is too large for one row of the store."""

from __future__ import annotations

import random

import curio
import pytest

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.progress import apply_progress, encode_progress, read_state
from pistachiodeal.jobs.progress_rows import (
    ProgressRows,
    collect_progress,
    divide_progress,
)
from pistachiodeal.jobs.record import JobRecord, build_record
from pistachiodeal.jobs.rows import PROGRESS_TABLE
from pistachiodeal.leader.commits import FencedWriter
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.store.row_store import StoredRow
from tests.standins.job_cluster import build_job, create_quiet_log, run_cluster
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_job_cluster import check_invariants, wait_for_starts
from tests.unit.test_leader_commits import write_leader_row

JOB = build_job(1)


def place_all(registry: JobRegistry, count: int, checkpoint_bytes: int) -> JobRecord:
    """Add a job whose tasks are all placed, with checkpoints that don't compress."""
    rng = random.Random(count)
    registry.add(build_job(1, count=count, steps=1), 0.0)
    record = registry.records[JOB.job_id]
    for task in record.iterate_tasks():
        place = f"side-{rng.randrange(300)}/i-{rng.getrandbits(40):010x}"
        registry.place(task, 1, place, lambda: None)
        task.checkpoint = rng.randbytes(checkpoint_bytes // 2).hex()
    return record


def read_progress(state: RowsState) -> ProgressRows:
    """Return the job's progress rows."""
    rows = [row for (table, _), row in state.rows.items() if table == PROGRESS_TABLE]
    return collect_progress(rows)[JOB.job_id]


def restore(state: RowsState, record: JobRecord) -> JobRecord:
    """Return the record that the next leader builds from the rows."""
    successor = build_record(record.job)
    rows = read_progress(state)
    assert rows.head is not None
    apply_progress(successor, rows.join(), rows.head.version)
    return successor


def create_writer(state: RowsState) -> FencedWriter:
    term = write_leader_row(state, 1, 0)
    return FencedWriter(MemoryRows(state), term, create_quiet_log())


@pytest.mark.parametrize(
    ("count", "checkpoint_bytes"), [(160, 400), (1_200, 0), (10_000, 0), (2_000, 100)]
)
def test_the_progress_of_a_wide_job_is_written_and_restored(count, checkpoint_bytes):
    """Guards against accepted jobs that never begin.

    The store refuses a row over its limit, so no decision on the job became durable.
    """

    async def main() -> None:
        state = RowsState()
        writer = create_writer(state)
        registry = JobRegistry(create_quiet_log())
        record = place_all(registry, count, checkpoint_bytes)
        await curio.timeout_after(5.0, writer.write, registry)
        successor = restore(state, record)
        assert encode_progress(successor) == encode_progress(record)
        assert read_state(state.rows[PROGRESS_TABLE, JOB.job_id].value) is record.state

    curio.run(main)


def test_progress_that_exceeds_a_transaction_is_written_without_checkpoints():
    """Guards against a job of which nothing can be written as its checkpoints grow."""

    async def main() -> None:
        state = RowsState()
        writer = create_writer(state)
        registry = JobRegistry(create_quiet_log())
        record = place_all(registry, 5_000, 400)
        await curio.timeout_after(10.0, writer.write, registry)
        successor = restore(state, record)
        for task in successor.iterate_tasks():
            mine = record.find(task.name)
            assert mine is not None
            assert (task.run, task.place, task.checkpoint) == (1, mine.place, "")

    curio.run(main)


def test_rows_that_are_not_needed_any_more_are_removed():
    """Guards against a table that grows with each wide job that has ended."""

    async def main() -> None:
        state = RowsState()
        writer = create_writer(state)
        registry = JobRegistry(create_quiet_log())
        record = place_all(registry, 3_000, 100)
        state.faults.lost = 1.0
        writing = await curio.spawn(writer.write, registry)
        while not read_parts(state):
            await curio.sleep(0.01)
        state.faults.lost = 0.0
        await writing.join()
        assert record.part_rows == len(read_parts(state)) > 1
        for task in list(record.iterate_tasks()):
            task.checkpoint = ""
        registry.mark_unsaved(task)
        await writer.write(registry)
        assert record.part_rows == len(read_parts(state)) == 1
        assert await writer.remove([record])
        assert not [key for key in state.rows if key[0] == PROGRESS_TABLE]

    curio.run(main)


def read_parts(state: RowsState) -> dict[int, bytes]:
    """Return the rows beside the head."""
    keys = [key for key in state.rows if key[0] == PROGRESS_TABLE]
    return read_progress(state).parts if keys else {}


@pytest.mark.parametrize("damage", ["missing", "mixed", "foreign"])
def test_rows_that_are_not_of_one_write_are_refused(damage):
    """Guards against tasks that run twice because their progress is read in part."""
    registry = JobRegistry(create_quiet_log())
    record = place_all(registry, 3_000, 100)
    head, *parts = divide_progress(encode_progress(record), record.state, 65_536)
    next(record.iterate_tasks()).run = 2
    _, *newer = divide_progress(encode_progress(record), record.state, 65_536)
    assert len(newer) == len(parts) > 1
    if damage == "missing":
        parts.pop()
    elif damage == "mixed":
        parts = newer
    else:
        head = b'{"parts":1e300,"state":"active"}'
    rows = ProgressRows(StoredRow(JOB.job_id, head, 1), dict(enumerate(parts, 1)))
    with pytest.raises(ProtocolError):
        rows.join()


def test_a_wide_job_survives_its_leader():
    """Guards against tasks of a wide job that are lost or run again at a takeover."""

    async def main() -> None:
        async with run_cluster(work_s=0.1, row_bytes=1_000) as cluster:
            job = build_job(1, count=300, steps=1)
            await cluster.entries[1].submit(job)
            await wait_for_starts(cluster, 50)
            assert read_parts(cluster.state)
            leader = cluster.find_leader()
            assert leader is not None
            await leader.kill()
            await cluster.wait_for_state(job, JobState.COMPLETED, 20.0)
            check_invariants(cluster)

    curio.run(main)


@pytest.mark.parametrize("number", ["01", "999999999", "0", "-1", "x", "1/2"])
def test_a_foreign_row_beside_the_progress_changes_nothing(number):
    """Guards against a leader that removes a billion rows, or takes a row for another.

    Another writer left a row beside those of a divided progress.
    """
    registry = JobRegistry(create_quiet_log())
    record = place_all(registry, 3_000, 100)
    value = encode_progress(record)
    head, *parts = divide_progress(value, record.state, 65_536)
    rows = [StoredRow(JOB.job_id, head, 1)]
    rows += [StoredRow(f"{JOB.job_id}/{n}", part, 1) for n, part in enumerate(parts, 1)]
    rows.append(StoredRow(f"{JOB.job_id}/{number}", b"odd", 1))
    found = collect_progress(rows)[JOB.job_id]
    assert max(found.parts) == len(parts)
    assert found.join() == value
